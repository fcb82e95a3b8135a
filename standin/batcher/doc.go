// Package batcher simulates the continuous batching of a model engine with
// limited memory. It is the core of the model engine stand-in.
//
// One step decodes one token for each running stream and prefills a bounded
// number of prompt tokens. The step's duration grows with the batch, with the
// memory that the batch holds and with the prompt tokens that it prefills.
// When memory fills during decoding the batcher preempts as engines do: the
// latest arrival among the streams of the lowest priority loses its memory and
// is recomputed when there is memory again. The package uses no clock and no
// goroutine: its user decides what a step's duration means, so that it can run
// in real or in simulated time.
package batcher
