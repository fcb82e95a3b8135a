// Package batcher is the stepping core of the model engine stand-in: a
// continuous batch over limited memory.
//
// One step decodes one token for each running stream and prefills a bounded
// number of prompt tokens. The step's duration grows with the batch, with the
// memory that the batch holds and with the prompt tokens that it prefills.
// When memory fills during decoding the batcher preempts as engines do: the
// last stream to come, among those of the lowest priority, loses its memory
// and is computed anew when there is room. The core has no clock and no
// goroutine: whoever drives it decides what a step's duration means.
package batcher
