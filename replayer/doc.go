// Package replayer simulates the routing and admission of a trace's requests.
//
// It is a discrete-event simulation in virtual time. The policies under test
// and the batcher of the engine stand-in run unchanged. Messages between
// regions take the trace's one-way delay, those within a region arrive at once.
// Each region has one entry with its own picker, limiter and delayed load
// reports; each engine has one gatekeeper. A refused client retries after the
// time that the refusal states, until its deadline. The result is determined by
// the trace, policy, load and seed.
package replayer
