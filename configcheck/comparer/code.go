package comparer

// Code is the kind of a difference. Its text is stable.
type Code uint8

//go:generate go tool stringer -linecomment -type=Code

// The kinds of differences. docs/design/configuration-check.md describes each.
const (
	RequestsNew       Code = iota + 1 // requests-new
	RequestsRefused                   // requests-refused
	RouteNew                          // route-new
	RouteRemoved                      // route-removed
	GroupOfRequests                   // group-of-requests
	RegionsNarrowed                   // regions-narrowed
	RegionsWidened                    // regions-widened
	TimeoutShorter                    // timeout-shorter
	TimeoutLonger                     // timeout-longer
	APIKeyRequired                    // api-key-required
	APIKeyNotRequired                 // api-key-not-required
	HandlingChanged                   // handling-changed
	APIKeysWithdrawn                  // api-keys-withdrawn
	APIKeysNew                        // api-keys-new
	APIKeysMoved                      // api-keys-moved
	CustomerPriority                  // customer-priority
	GroupNew                          // group-new
	GroupRemoved                      // group-removed
	GroupProperties                   // group-properties
	LimitLowered                      // limit-lowered
	LimitRaised                       // limit-raised
)

// MarshalText returns the text of the code, for JSON.
func (i Code) MarshalText() ([]byte, error) { return []byte(i.String()), nil }
