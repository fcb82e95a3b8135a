package linter

// Code is the kind of a finding. Its text is stable.
type Code uint8

//go:generate go tool stringer -linecomment -type=Code

// The kinds of findings. docs/design/configuration-check.md describes each.
const (
	NotDecoded              Code = iota + 1 // not-decoded
	KeyRepeated                             // key-repeated
	KindUnknown                             // kind-unknown
	NumberOutOfRange                        // number-out-of-range
	APIKeyEmpty                             // api-key-empty
	VersionNotHigher                        // version-not-higher
	NoRoutes                                // no-routes
	PrefixWithoutSlash                      // prefix-without-slash
	PrefixNotAPath                          // prefix-not-a-path
	HostNotMatched                          // host-not-matched
	RouteShadowed                           // route-shadowed
	GroupMissing                            // group-missing
	GroupRepeated                           // group-repeated
	NoAPIKeys                               // no-api-keys
	CustomerWithoutAPIKey                   // customer-without-api-key
	APIKeyShared                            // api-key-shared
	APIKeyNotSendable                       // api-key-not-sendable
	CustomerNotAdmitted                     // customer-not-admitted
	RegionsMalformed                        // regions-malformed
	RegionsDisjoint                         // regions-disjoint
	RegionUnknown                           // region-unknown
	TimeoutNotPositive                      // timeout-not-positive
	TargetAboveTimeout                      // target-above-timeout
	GapTargetAboveTimeout                   // gap-target-above-timeout
	AttemptsOverBudget                      // attempts-over-budget
	BodyOverMemory                          // body-over-memory
	WarmUpWithoutRate                       // warm-up-without-rate
	WarmUpWithoutTime                       // warm-up-without-time
	RevocationBeforeApplied                 // revocation-before-applied
)

// MarshalText returns the text of the code, for JSON.
func (i Code) MarshalText() ([]byte, error) { return []byte(i.String()), nil }
