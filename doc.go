// Package currantwood declares the types that all packages share: interfaces to
// external systems and between pipeline stages, named types for identifiers and
// units, and the kinds of refusal.
//
// The types serve two sets of processes. Gateways use Configuration, Route and the
// other types of routing.go, gatewaysettings.go and keyed.go; entries and sides use
// Rules, Rule, Demand and most of the rest.
//
// Implementations live in subpackages, one main exported type each. Decision logic
// takes the current time as an argument and performs no I/O.
package currantwood

//go:generate go tool stringer -linecomment -type=Class,Ran,Kind,Role,UpstreamKind,Pool,EventKind,OrderKind,SuspectKind -output=enums_string.go
