// Package currantwood declares the types that all packages share: interfaces to
// external systems and between pipeline stages, named types for identifiers and
// units, and the kinds of refusal.
//
// Implementations live in subpackages, one exported type each. Decision logic
// takes the current time as an argument and performs no I/O.
package currantwood

//go:generate go tool stringer -linecomment -type=Class,Ran,Kind,Role,UpstreamKind,Pool,EventKind,OrderKind -output=enums_string.go
