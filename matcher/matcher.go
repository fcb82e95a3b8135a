// Package matcher finds the customer of an API key and the rule of a request.
package matcher

import (
	"crypto/sha256"
	"encoding/hex"
	"path"
	"slices"
	"strings"

	"github.com/currantwood/currantwood"
)

// Request holds the properties of a request that determine its rule.
type Request struct {
	Customer currantwood.CustomerID
	Method   string
	// Path is the decoded path without the query.
	Path string
	// Model is empty if the request names none.
	Model currantwood.ModelID
}

// indexKey is the key of a rule in the index. Of the conditions of rules with the same
// key, only method and model can differ; these are compared rule by rule.
type indexKey struct {
	// customer is empty for rules that apply to all customers.
	customer currantwood.CustomerID
	// path is an exact path or, if prefix is set, a prefix without its star.
	path   string
	prefix bool
}

// Matcher is an index of one set of rules and customers. It is immutable and safe for
// concurrent use.
type Matcher struct {
	rules              []currantwood.Rule
	customers          map[currantwood.CustomerID]currantwood.Customer
	customersByKeyHash map[string]currantwood.CustomerID
	// index holds the positions in rules of each key's rules, in ascending order.
	index map[indexKey][]int
	// prefixLengths holds the distinct lengths of the prefixes, in ascending order.
	prefixLengths []int
}

// New returns a Matcher for rules.
func New(rules currantwood.Rules) *Matcher {
	m := &Matcher{
		rules:              rules.Rules,
		customers:          make(map[currantwood.CustomerID]currantwood.Customer, len(rules.Customers)),
		customersByKeyHash: make(map[string]currantwood.CustomerID, len(rules.Customers)),
		index:              make(map[indexKey][]int, len(rules.Rules)),
	}
	for _, customer := range rules.Customers {
		m.customers[customer.ID] = customer
		m.customersByKeyHash[customer.KeyHash] = customer.ID
	}
	for i, rule := range rules.Rules {
		key := indexKey{customer: rule.Customer, path: rule.Path}
		if prefix, ok := strings.CutSuffix(rule.Path, "*"); ok {
			key.path, key.prefix = prefix, true
			m.prefixLengths = append(m.prefixLengths, len(prefix))
		}
		m.index[key] = append(m.index[key], i)
	}
	slices.Sort(m.prefixLengths)
	m.prefixLengths = slices.Compact(m.prefixLengths)
	return m
}

// HashAPIKey returns the hash by which a rules text identifies a customer's API key: the
// hexadecimal SHA-256.
func HashAPIKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// CustomerByAPIKey returns the customer with the given API key, and false if there is
// none.
func (m *Matcher) CustomerByAPIKey(key string) (currantwood.Customer, bool) {
	id, ok := m.customersByKeyHash[HashAPIKey(key)]
	if !ok {
		return currantwood.Customer{}, false
	}
	return m.Customer(id)
}

// Customer returns the customer with the given ID, and false if there is none.
func (m *Matcher) Customer(id currantwood.CustomerID) (currantwood.Customer, bool) {
	customer, ok := m.customers[id]
	return customer, ok
}

// Rule returns the rule with the given ID, and false if there is none.
func (m *Matcher) Rule(id currantwood.RuleID) (currantwood.Rule, bool) {
	i := slices.IndexFunc(m.rules, func(rule currantwood.Rule) bool { return rule.ID == id })
	if i < 0 {
		return currantwood.Rule{}, false
	}
	return m.rules[i], true
}

// Match returns the first rule, in the order of the rules text, that matches a
// request, and false if there is none. A path with dot segments or empty segments
// matches no rule: an upstream that resolves them could run work that the rule
// doesn't cover.
func (m *Matcher) Match(request Request) (currantwood.Rule, bool) {
	if !isCanonicalPath(request.Path) {
		return currantwood.Rule{}, false
	}
	first := len(m.rules)
	for _, customer := range [...]currantwood.CustomerID{request.Customer, ""} {
		first = m.firstMatch(indexKey{customer: customer, path: request.Path}, request, first)
		for _, length := range m.prefixLengths {
			if length > len(request.Path) {
				break
			}
			key := indexKey{customer: customer, path: request.Path[:length], prefix: true}
			first = m.firstMatch(key, request, first)
		}
	}
	if first == len(m.rules) {
		return currantwood.Rule{}, false
	}
	return m.rules[first], true
}

// firstMatch returns the position of the first rule under key that matches the
// request, or best if that is lower or none matches.
func (m *Matcher) firstMatch(key indexKey, request Request, best int) int {
	for _, i := range m.index[key] {
		if i >= best {
			return best
		}
		if matchesMethodAndModel(m.rules[i], request) {
			return i
		}
	}
	return best
}

func matchesMethodAndModel(rule currantwood.Rule, request Request) bool {
	if rule.Method != "" && rule.Method != request.Method {
		return false
	}
	return rule.Model == "" || rule.Model == request.Model
}

// isCanonicalPath reports whether p is absolute and, apart from a trailing slash, in
// its shortest form.
func isCanonicalPath(p string) bool {
	if !strings.HasPrefix(p, "/") {
		return false
	}
	trimmed := strings.TrimSuffix(p, "/")
	return p == "/" || path.Clean(trimmed) == trimmed
}
