// Package batcher simulates the continuous batching of a model engine with
// limited memory. It is the core of the model engine stand-in.
//
// A stream's context is its prompt and its output so far. One step prefills a
// bounded number of context tokens and decodes one token for each running
// stream whose context is computed. The step's duration grows with the number
// of streams that decode, with the memory that running streams hold and with
// the tokens that it prefills.
//
// When memory fills during decoding the batcher preempts as engines do: the
// latest arrival among the streams of the lowest priority loses its memory and
// is recomputed when there is memory again. The package uses no clock and no
// goroutine: its user decides what a step's duration means, so that it can run
// in real or in simulated time.
package batcher
