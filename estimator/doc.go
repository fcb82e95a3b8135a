// Package estimator predicts the output length of streams that are still
// running.
//
// It keeps a life table of stream lengths, with decaying weights, for each pair
// of customer and rule. Buckets are a quarter of an octave wide, so a quantile
// is accurate to about a tenth of the length. The life table of a pair is
// combined with the distribution of its rule, which is combined with the global
// one, which is combined with a broad prior; each of these counts as
// Options.PriorWeight observations. Observations lose weight with the number of
// later ones and with time, so a shift of lengths is learned within a few dozen
// streams.
//
// The remaining length of a running stream follows from the distribution on the
// condition that the stream is longer than what it has produced.
package estimator
