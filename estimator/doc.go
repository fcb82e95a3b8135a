// Package estimator predicts the output length of streams that are still
// running.
//
// It keeps a decaying histogram of finished lengths for each customer and rule.
// Buckets are a quarter of an octave wide, so a quantile is right to within
// about a tenth of the length. A pair with few observations leans on the rule's
// histogram, that on the one over everything, and that on a broad prior. Old
// observations lose weight with the number that follow and with time, so that
// a shift of lengths is learnt within a few dozen streams.
//
// What a running stream has left is the histogram conditioned on the tokens
// that it has produced.
package estimator
