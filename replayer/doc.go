// Package replayer plays a trace through the decision cores and the batcher of
// the engine stand-in, stepped by the trace's clock.
//
// There is no network model: a message between regions takes the trace's
// one-way delay, one within a region takes none. Each region has one entry with
// its own picker, limiter and late view; each engine has one gatekeeper. A
// caller that is refused comes back when it was told to, until its deadline. The
// same trace, policy, load and seed give the same result.
package replayer
