// Package gatekeeper decides what runs on one model engine and when.
//
// It is the side's admission: since all work of an engine passes its side, the
// gatekeeper knows exactly what is in flight. It admits a request while the
// predicted peak of the engine's memory, over the lives of all that is running,
// stays below the limit at a stated confidence. The prediction uses that a
// batch gives each stream one token a step: after t more steps a stream holds
// its context plus t tokens if it is still running, and the estimator's curve
// says how likely that is. Mean and variance over all streams give the bound.
//
// What doesn't fit waits shortly or is refused as not run, with the time at
// which the same prediction has room for it. When memory fills all the same,
// the gatekeeper pauses a stream of its own choice before the engine preempts
// one.
//
// The package has no clock, no goroutine and no input or output. A Gatekeeper
// is not safe for concurrent use.
package gatekeeper

//go:generate go tool stringer -linecomment -type=ActionKind -output=actionkind_string.go
