// Package matcher finds the customer of a key and the rule of a request.
package matcher

import (
	"crypto/sha256"
	"encoding/hex"
	"path"
	"slices"
	"strings"

	"github.com/currantwood/currantwood"
)

// Request is what of a request decides on its rule.
type Request struct {
	Customer currantwood.CustomerID
	Method   string
	// Path is decoded and without its query.
	Path string
	// Model is empty where the request names none.
	Model currantwood.ModelID
}

// place is where a rule stands in the index. Rules of one place differ only in
// method and model, so that few are left to compare one by one.
type place struct {
	// customer is empty for rules of every customer.
	customer currantwood.CustomerID
	// path is without the star of a prefix.
	path   string
	prefix bool
}

// Matcher is an index over one rules text. It is not changed after New and
// may be used by many goroutines.
type Matcher struct {
	rules     []currantwood.Rule
	customers map[currantwood.CustomerID]currantwood.Customer
	byHash    map[string]currantwood.CustomerID
	// places hold positions in rules, in ascending order.
	places map[place][]int
	// prefixLengths are the distinct lengths of prefixes, ascending.
	prefixLengths []int
}

// New builds the index.
func New(rules currantwood.Rules) *Matcher {
	m := &Matcher{
		rules:     rules.Rules,
		customers: make(map[currantwood.CustomerID]currantwood.Customer, len(rules.Customers)),
		byHash:    make(map[string]currantwood.CustomerID, len(rules.Customers)),
		places:    make(map[place][]int, len(rules.Rules)),
	}
	for _, customer := range rules.Customers {
		m.customers[customer.ID] = customer
		m.byHash[customer.KeyHash] = customer.ID
	}
	for i, rule := range rules.Rules {
		at := place{customer: rule.Customer, path: rule.Path}
		if prefix, ok := strings.CutSuffix(rule.Path, "*"); ok {
			at.path, at.prefix = prefix, true
			m.prefixLengths = append(m.prefixLengths, len(prefix))
		}
		m.places[at] = append(m.places[at], i)
	}
	slices.Sort(m.prefixLengths)
	m.prefixLengths = slices.Compact(m.prefixLengths)
	return m
}

// HashKey returns the form in which a rules text holds a customer's key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// CustomerByKey returns the customer who holds the key.
func (m *Matcher) CustomerByKey(key string) (currantwood.Customer, bool) {
	id, ok := m.byHash[HashKey(key)]
	if !ok {
		return currantwood.Customer{}, false
	}
	return m.Customer(id)
}

// Customer returns a customer by name.
func (m *Matcher) Customer(id currantwood.CustomerID) (currantwood.Customer, bool) {
	customer, ok := m.customers[id]
	return customer, ok
}

// Rule returns a rule by name.
func (m *Matcher) Rule(id currantwood.RuleID) (currantwood.Rule, bool) {
	at := slices.IndexFunc(m.rules, func(rule currantwood.Rule) bool { return rule.ID == id })
	if at < 0 {
		return currantwood.Rule{}, false
	}
	return m.rules[at], true
}

// Match returns the first rule in file order that matches. A path with dot
// segments or empty segments matches none: an upstream that resolves them
// could run other work than the rule speaks of.
func (m *Matcher) Match(request Request) (currantwood.Rule, bool) {
	if !clean(request.Path) {
		return currantwood.Rule{}, false
	}
	first := len(m.rules)
	for _, customer := range [...]currantwood.CustomerID{request.Customer, ""} {
		first = m.firstAt(place{customer: customer, path: request.Path}, request, first)
		for _, length := range m.prefixLengths {
			if length > len(request.Path) {
				break
			}
			at := place{customer: customer, path: request.Path[:length], prefix: true}
			first = m.firstAt(at, request, first)
		}
	}
	if first == len(m.rules) {
		return currantwood.Rule{}, false
	}
	return m.rules[first], true
}

// firstAt returns the first matching position at a place, or best where that
// comes before it.
func (m *Matcher) firstAt(at place, request Request, best int) int {
	for _, i := range m.places[at] {
		if i >= best {
			return best
		}
		if matches(m.rules[i], request) {
			return i
		}
	}
	return best
}

func matches(rule currantwood.Rule, request Request) bool {
	if rule.Method != "" && rule.Method != request.Method {
		return false
	}
	return rule.Model == "" || rule.Model == request.Model
}

// clean reports whether the path is rooted and in its shortest form, but for a
// slash at its end.
func clean(p string) bool {
	if !strings.HasPrefix(p, "/") {
		return false
	}
	trimmed := strings.TrimSuffix(p, "/")
	return p == "/" || path.Clean(trimmed) == trimmed
}
