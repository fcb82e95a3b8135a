// Package gatekeeper decides which requests run on one model engine and when.
//
// All requests of an engine pass through its side, so the gatekeeper knows the
// requests that it has started; it learns of other used memory from the engine's
// reports. It predicts the memory of the running streams at a number of future
// steps, the horizons. Each step of a batch adds one token to each stream: after
// t more steps, a stream that still runs holds its context plus t tokens, and
// the estimator's survival curve gives the probability that it still runs. The
// mean and variance of the sum over all streams give an upper bound with a
// configured confidence. A request is admitted if the bound stays within the
// memory limit at each horizon at which the request itself uses memory; Options
// has further limits. If no request is running, the next one is admitted whatever
// its size.
//
// A request that doesn't fit waits for a short time or is refused as not run,
// with the wait after which the forecast leaves room for it and for the queued
// requests. If memory fills up nevertheless, the gatekeeper selects a stream and
// pauses it before the engine preempts one.
//
// Checks, the generations of ClassCheck, are expected to have only a few tokens.
// They are started before other requests, may use memory that is reserved for
// them, and are paused last.
//
// A request in this package is one run of a generation. Its RequestID need only
// be unique; a side passes the ID of the generation.
//
// The package uses no clock, no goroutines and no I/O. A Gatekeeper is not safe
// for concurrent use.
package gatekeeper

//go:generate go tool stringer -linecomment -type=ActionKind -output=actionkind_string.go
