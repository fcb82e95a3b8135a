// Package tracer reads, writes and generates workload traces: the requests of
// clients, their arrival times and the lengths of their outputs, which are hidden
// from the policies.
//
// A trace is in the JSON Lines format. The first line is the header, which
// describes the engines, the links and the faults. Each further line is one
// request. docs/design/replay.md documents the keys and the distributions of the
// generator.
package tracer
