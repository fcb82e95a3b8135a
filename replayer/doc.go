// Package replayer simulates the routing and admission of a trace's requests.
//
// It is a discrete-event simulation in virtual time. Clients send their requests
// to the entry of a region, which picks an engine and sends the request to the
// side of that engine. A side is the process beside one engine: it starts, queues
// or refuses requests.
//
// The picker, limiter, promiser and gatekeeper that entries and sides use, and
// the batcher of the engine stand-in, run without changes. Clients, entries and
// the network are simulated, and the baseline policies are implemented here. Each
// entry has its own selector, delayed load reports and, depending on the policy,
// limiter and promiser. Each side has its own admission.
//
// Messages within a region arrive at once, those between regions after the
// trace's one-way delay. Two things take effect at once in all regions: the
// cancellation of a request at its deadline, and the end of a request for its
// entry's accounting.
//
// A refused client retries after the delay that the refusal states, unless that
// is past its deadline. The result is determined by the trace, policy, load and
// seed.
package replayer
