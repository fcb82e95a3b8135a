// Package engine is the model engine stand-in: the batcher core behind the
// HTTP calls of docs/PROTOCOLS.md, with faults that are switched by a call.
//
// Token I of a stream has the text "I:G " where G is a hash of the stream's
// id, so that whoever reads the text can tell a lost, repeated or mixed token
// from the text alone.
package engine
