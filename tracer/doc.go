// Package tracer reads, writes and generates traces: what callers asked for and
// when, with the output lengths that no policy may see.
//
// A trace is JSON Lines. The first line is the header: the engines, the links
// and the faults. Each other line is one request. docs/design/replay.md
// documents the keys and the distributions of the generator.
package tracer
