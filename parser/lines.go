package parser

import (
	"math"
	"path"
	"strings"

	"github.com/currantwood/currantwood"
)

func (p *parser) parseCustomer(name word, f *fields, askedBy, reason string) *Problem {
	if !namePattern.MatchString(name.text) {
		return p.newProblem("a name in kebab case", name)
	}
	id := currantwood.CustomerID(name.text)
	if _, declared := p.declared.customers[id]; declared {
		return p.newProblem("a customer that is not declared yet", name)
	}
	f.rejectUnknownKeys(customerKeys)
	customer := currantwood.Customer{
		ID:         id,
		KeyHash:    f.requiredText("key-hash", hashPattern, "the SHA-256 of the customer's key in 64 lower-case hex digits"),
		Weight:     f.optionalNumber("weight", 1, 1, math.MaxInt32),
		MaxStreams: f.optionalNumber("max-streams", 0, 1, math.MaxInt32),
		AskedBy:    askedBy,
		Comment:    reason,
	}
	if _, declared := p.declared.keyHashes[customer.KeyHash]; declared {
		value, _ := f.find("key-hash")
		f.fail("a key that no other customer has", value)
	}
	if f.problem != nil {
		return f.problem
	}
	p.declared.customers[id] = struct{}{}
	p.declared.keyHashes[customer.KeyHash] = struct{}{}
	p.rules.Customers = append(p.rules.Customers, customer)
	return nil
}

func (p *parser) parseRule(name word, f *fields, askedBy, reason string) *Problem {
	if !namePattern.MatchString(name.text) {
		return p.newProblem("a name in kebab case", name)
	}
	id := currantwood.RuleID(name.text)
	if _, declared := p.declared.rules[id]; declared {
		return p.newProblem("a rule name that is not used yet", name)
	}
	f.rejectUnknownKeys(ruleKeys)
	rule := currantwood.Rule{
		ID:         id,
		Customer:   currantwood.CustomerID(f.optionalText("customer", namePattern, "the name of a customer")),
		Method:     f.optionalText("method", methodPattern, "an HTTP method in capitals"),
		Path:       f.requiredText("path", pathPattern, "a path that begins with /, with * at most at its end and without a query"),
		Model:      currantwood.ModelID(f.optionalText("model", modelPattern, "the name of a model")),
		Group:      currantwood.GroupID(f.requiredText("group", namePattern, "a name in kebab case")),
		Class:      f.requiredClass(),
		Repeatable: f.requiredRepeatable(),
		Priority:   currantwood.Priority(f.optionalNumber("priority", 0, 0, maxPriority)),
		Deadline:   f.optionalDuration("deadline"),
		Window:     f.optionalDuration("window"),
		AskedBy:    askedBy,
		Comment:    reason,
	}
	f.checkRule(rule)
	if f.problem != nil {
		return f.problem
	}
	if value, ok := f.find("customer"); ok {
		p.references = append(p.references, reference{customer: rule.Customer, line: p.line, column: value.column})
	}
	p.declared.rules[id] = struct{}{}
	p.rules.Rules = append(p.rules.Rules, rule)
	return nil
}

// checkRule reports invalid combinations of fields. Generations, the requests of
// classes stream and check, are never run under an operation key, so their rules
// must be repeatable.
func (f *fields) checkRule(rule currantwood.Rule) {
	if value, ok := f.find("path"); ok && !isCleanPath(rule.Path) {
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

// isCleanPath reports whether a path pattern has no empty segments and no dot
// segments. Matcher.Match of package matcher matches no request whose path has any.
// The * of a prefix pattern doesn't count: /a/.* is not clean, as /a/. is not.
func isCleanPath(pattern string) bool {
	trimmed := strings.TrimSuffix(strings.TrimSuffix(pattern, "*"), "/")
	return trimmed == "" || path.Clean(trimmed) == trimmed
}
