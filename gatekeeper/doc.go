// Package gatekeeper decides which requests run on one model engine and when.
//
// All requests of an engine pass through its side, so the gatekeeper knows
// exactly what is in flight. It admits a request if the engine's predicted peak
// memory, over the lifetimes of all running streams, stays below the limit with
// a configured confidence. Each step of a batch adds one token to each stream:
// after t more steps, a stream that still runs holds its context plus t tokens,
// and the estimator's survival curve gives the probability that it still runs.
// The bound is computed from the mean and variance of the sum over all streams.
//
// A request that doesn't fit waits for a short time or is refused as not run,
// with the time at which the same prediction has room for it. If memory fills
// up nevertheless, the gatekeeper selects a stream and pauses it before the
// engine preempts one.
//
// The package uses no clock, no goroutines and no I/O. A Gatekeeper is not safe
// for concurrent use.
package gatekeeper

//go:generate go tool stringer -linecomment -type=ActionKind -output=actionkind_string.go
