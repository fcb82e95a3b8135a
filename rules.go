package currantwood

import "time"

// Customer is one customer line of the rules file.
type Customer struct {
	ID CustomerID
	// KeyHash is the lower-case hex SHA-256 of the key that the customer
	// sends in Authorization. Keys themselves are never published.
	KeyHash string
	// Weight is the customer's part in the fair shares; at least 1.
	Weight uint32
	// MaxStreams bounds the customer's requests in flight over all entries;
	// 0 means no bound but the fair share.
	MaxStreams uint32
	// AskedBy is never empty.
	AskedBy string
	Comment string
}

// Rule is one rule line of the rules file. The first rule that matches in file
// order decides.
type Rule struct {
	ID RuleID
	// Customer is empty when the rule matches every customer.
	Customer CustomerID
	// Method is empty when the rule matches every method.
	Method string
	// Path matches exactly, or by prefix when it ends in "*".
	Path string
	// Model is empty when the rule matches every model or none.
	Model ModelID
	// Group is the group of upstreams that serve the rule; never empty.
	Group GroupID
	Class Class
	// Repeatable is false for work that may run at most once.
	Repeatable bool
	Priority   Priority
	// Deadline bounds a request from its arrival to its final answer; > 0.
	Deadline time.Duration
	// Window is how long an operation key is remembered; > 0 exactly when
	// Repeatable is false.
	Window time.Duration
	// AskedBy is never empty.
	AskedBy string
	Comment string
}

// Rules is one parsed rules text. It is not changed after it was parsed.
type Rules struct {
	// Customers and Rules keep the order of the file. Names are unique.
	Customers []Customer
	Rules     []Rule
}

// Head is the accepted text at one revision.
type Head struct {
	Revision    Revision
	Publication PublicationID
	Text        string
}
