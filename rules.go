package currantwood

import "time"

// Customer is a customer declared in the rules file.
type Customer struct {
	ID CustomerID
	// KeyHash is the lower-case hex SHA-256 of the API key that the customer
	// sends in the Authorization header. API keys themselves are never
	// published.
	KeyHash string
	// Weight is the customer's weight in fair sharing; at least 1.
	Weight uint32
	// MaxStreams limits the customer's generations, of both ClassStream and
	// ClassCheck, in flight across all entries; 0 means that only the fair share
	// limits them.
	MaxStreams uint32
	// AskedBy is who requested this declaration; never empty.
	AskedBy string
	Comment string
}

// Rule is a routing rule of the rules file. The first matching rule in file order
// applies.
type Rule struct {
	ID RuleID
	// Customer is empty if the rule matches every customer.
	Customer CustomerID
	// Method is empty if the rule matches every method.
	Method string
	// Path matches exactly, or by prefix if it ends in "*".
	Path string
	// Model is empty if the rule matches requests for any model and without one.
	Model ModelID
	// Group is the upstream group that serves matching requests; never empty.
	Group GroupID
	Class Class
	// Repeatable is false for work that may be executed at most once.
	Repeatable bool
	Priority   Priority
	// Deadline limits the time from a request's arrival to its final response; > 0.
	Deadline time.Duration
	// Window is how long an operation key is remembered; > 0 if and only if
	// Repeatable is false.
	Window time.Duration
	// AskedBy is who requested this rule; never empty.
	AskedBy string
	Comment string
}

// Rules is a parsed rules text. It is immutable once parsed.
type Rules struct {
	// Customers and Rules are in file order. Their IDs are unique.
	Customers []Customer
	Rules     []Rule
}

// RulesHead is the accepted rules text at one revision.
type RulesHead struct {
	Revision    Revision
	Publication PublicationID
	Text        string
}
