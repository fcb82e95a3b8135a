package currantwood

import "fmt"

// ConfigurationField is a field of a configuration document that a finding may point to.
type ConfigurationField uint8

//go:generate go tool stringer -linecomment -type=ConfigurationField -output=configurationfield_string.go

// The fields. ConfigurationPlace.Index is the entry's index in its list. Part is the index
// within Route.Split for FieldRouteGroup, and that of the key for FieldCustomerKey.
const (
	FieldVersion         ConfigurationField = iota + 1 // version
	FieldRoutes                                        // routes
	FieldRoute                                         // route
	FieldRouteHost                                     // route-host
	FieldRoutePrefix                                   // route-prefix
	FieldRouteKind                                     // route-kind
	FieldRouteTimeout                                  // route-timeout
	FieldRouteTarget                                   // route-target
	FieldRouteGapTarget                                // route-gap-target
	FieldRouteAttempts                                 // route-attempts
	FieldRouteAnonymous                                // route-anonymous
	FieldRouteRegions                                  // route-regions
	FieldRouteGroup                                    // route-group
	FieldGroup                                         // group
	FieldGroupWarmUpTime                               // group-warm-up-time
	FieldGroupWarmUpRate                               // group-warm-up-rate
	FieldCustomers                                     // customers
	FieldCustomer                                      // customer
	FieldCustomerKeys                                  // customer-keys
	FieldCustomerKey                                   // customer-key
	FieldCustomerRegions                               // customer-regions
	FieldLimits                                        // limits
	FieldLimitBody                                     // limit-body
)

// ConfigurationPlace is one field in a configuration document.
type ConfigurationPlace struct {
	Field       ConfigurationField
	Index, Part int
}

// DocumentPosition is where a value stands in the text of a document.
type DocumentPosition struct {
	File string `json:"file"`
	// Line counts from 1; 0 means unknown.
	Line int `json:"line"`
	// Key is the path of the value, with the names of the document; empty for the whole.
	Key string `json:"key"`
}

// String returns file, line and key, separated by colons, without those that are unknown.
func (p DocumentPosition) String() string {
	text := p.File
	if p.Line > 0 {
		text += fmt.Sprintf(":%d", p.Line)
	}
	if p.Key != "" {
		text += ": " + p.Key
	}
	return text
}

// DocumentError is the reason why a document can't be decoded.
type DocumentError struct {
	Position DocumentPosition
	Reason   string
}

func (e *DocumentError) Error() string { return e.Position.String() + ": " + e.Reason }

// ConfigurationDocument is a configuration with those parts of its document that gateways
// don't need, for the check before it is sent.
type ConfigurationDocument struct {
	Configuration
	// Customers are those of the document, in its order. Configuration.Keys has one
	// holder for each key, also if several customers state it.
	Customers []DocumentCustomer
	// GroupList has the groups in the order of the document. Configuration.Groups has
	// only the last one of each name.
	GroupList []Group
	// Replaced are the values that the decoder replaces by others.
	Replaced []ReplacedValue
	// Repeated are the keys that their object states more than once.
	Repeated []DocumentPosition
	// Locate returns the position of a place. If the document doesn't state the value, the
	// line is that of the entry it would be in.
	Locate func(ConfigurationPlace) DocumentPosition
}

// DocumentCustomer is a customer as a configuration document states it.
type DocumentCustomer struct {
	ID   CustomerID
	Keys []string
	// Holder is what gateways know of the customer.
	Holder KeyHolder
}

// ReplacedValue is a value of a document that the decoder replaces.
type ReplacedValue struct {
	Place ConfigurationPlace
	// Value is the value as stated, By what gateways use in its place.
	Value, By string
}
