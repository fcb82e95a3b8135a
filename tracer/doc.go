// Package tracer reads, writes and generates workload traces: the requests of
// clients, their arrival times and the lengths of their outputs. In a replay, no
// policy of package replayer but the oracle knows the length of an output before it
// ends.
//
// A trace is in the JSON Lines format. The first line is the header, which
// describes the engines, the delay between regions and the faults. Each further
// line is one request. docs/design/replay.md documents the keys and the
// distributions of the generator.
package tracer
