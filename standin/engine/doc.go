// Package engine is the model engine stand-in: it serves the HTTP API that
// docs/PROTOCOLS.md describes on top of package batcher, with faults that POST
// /faults sets.
//
// Token I of a stream has the text "I:H " where H is a hash of the stream's id,
// so that a reader detects lost tokens, repeated tokens and tokens of another
// stream from the text alone.
package engine
