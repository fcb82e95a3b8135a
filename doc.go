// Package currantwood holds what every part of the system shares: the
// interfaces towards outside systems and between the stages of the pipeline,
// the named types of ids and units, and the kinds of refusal.
//
// Implementations live in the packages below, one exported type each. A
// function that decides takes the present time as an argument and does no
// input or output.
package currantwood

//go:generate go tool stringer -linecomment -type=Class,Ran,Kind,Role,UpstreamKind,Pool,EventKind,OrderKind -output=enums_string.go
