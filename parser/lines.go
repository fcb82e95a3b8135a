package parser

import (
	"math"
	"path"
	"strings"

	"github.com/currantwood/currantwood"
)

func (p *parsing) parseCustomer(name word, f *fields, asker, reason string) *Problem {
	if !namePattern.MatchString(name.text) {
		return p.expected("a name in kebab case", name)
	}
	id := currantwood.CustomerID(name.text)
	if _, taken := p.names.customers[id]; taken {
		return p.expected("a customer that is not declared yet", name)
	}
	f.only(customerKeys)
	customer := currantwood.Customer{
		ID:         id,
		KeyHash:    f.required("key-hash", hashPattern, "the SHA-256 of the customer's key in 64 lower-case hex digits"),
		Weight:     f.number("weight", 1, 1, math.MaxInt32),
		MaxStreams: f.number("max-streams", 0, 1, math.MaxInt32),
		AskedBy:    asker,
		Comment:    reason,
	}
	if _, taken := p.names.hashes[customer.KeyHash]; taken {
		value, _ := f.find("key-hash")
		f.fail("a key that no other customer has", value)
	}
	if f.problem != nil {
		return f.problem
	}
	p.names.customers[id] = struct{}{}
	p.names.hashes[customer.KeyHash] = struct{}{}
	p.rules.Customers = append(p.rules.Customers, customer)
	return nil
}

func (p *parsing) parseRule(name word, f *fields, asker, reason string) *Problem {
	if !namePattern.MatchString(name.text) {
		return p.expected("a name in kebab case", name)
	}
	id := currantwood.RuleID(name.text)
	if _, taken := p.names.rules[id]; taken {
		return p.expected("a rule name that is not used yet", name)
	}
	f.only(ruleKeys)
	rule := currantwood.Rule{
		ID:         id,
		Customer:   currantwood.CustomerID(f.text("customer", namePattern, "the name of a customer")),
		Method:     f.text("method", methodPattern, "an HTTP method in capitals"),
		Path:       f.required("path", pathPattern, "a path that begins with /, with * at most at its end and without a query"),
		Model:      currantwood.ModelID(f.text("model", modelPattern, "the name of a model")),
		Group:      currantwood.GroupID(f.required("group", namePattern, "a name in kebab case")),
		Class:      f.class(),
		Repeatable: f.repeatable(),
		Priority:   currantwood.Priority(f.number("priority", 0, 0, maxPriority)),
		Deadline:   f.duration("deadline"),
		Window:     f.duration("window"),
		AskedBy:    asker,
		Comment:    reason,
	}
	f.checkRule(rule)
	if f.problem != nil {
		return f.problem
	}
	if value, ok := f.find("customer"); ok {
		p.references = append(p.references, reference{customer: rule.Customer, line: p.line, column: value.column})
	}
	p.names.rules[id] = struct{}{}
	p.rules.Rules = append(p.rules.Rules, rule)
	return nil
}

// checkRule refuses fields that contradict each other.
func (f *fields) checkRule(rule currantwood.Rule) {
	if value, ok := f.find("path"); ok && !cleanPath(rule.Path) {
		f.fail("a path without empty segments and dot segments", value)
	}
	onEngine := rule.Class == currantwood.ClassStream || rule.Class == currantwood.ClassCheck
	if rule.Deadline == 0 {
		f.fail("deadline=", f.end)
	}
	if value, _ := f.find("repeatable"); onEngine && !rule.Repeatable {
		f.fail("yes, since generations are never run under an operation key", value)
	}
	if value, ok := f.find("model"); ok && !onEngine {
		f.fail("no model, since plain services have none", value)
	}
	value, ok := f.find("window")
	if ok && rule.Repeatable {
		f.fail("no window, since the rule is repeatable", value)
	}
	if !ok && !rule.Repeatable {
		f.fail("window=, since the rule is not repeatable", f.end)
	}
	if ok && rule.Window < rule.Deadline {
		f.fail("a window no shorter than the deadline", value)
	}
}

// cleanPath reports whether requests can match the path at all.
func cleanPath(pattern string) bool {
	trimmed := strings.TrimSuffix(strings.TrimSuffix(pattern, "*"), "/")
	return trimmed == "" || path.Clean(trimmed) == trimmed
}
