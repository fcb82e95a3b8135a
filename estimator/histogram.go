package estimator

import (
	"math"
	"time"

	"github.com/currantwood/currantwood"
)

const (
	// bucketCount is the number of buckets, which cover lengths from 1 to 2^17
	// tokens.
	bucketCount = 68
	// bucketsPerOctave is the number of buckets for a doubling of the length.
	bucketsPerOctave = 4
)

// maxWeight is the weight of an observation above which a histogram is
// normalized.
const maxWeight = 1e6

// histogram is a life table: how many streams reached each bucket and how many
// of them ended in it, with decaying weights. A stream that still runs counts
// in the buckets that it has reached, so that longer lengths are learned before
// the first long stream ends. The zero value is empty.
type histogram struct {
	// reached and ended are relative to weight; 0 <= ended[i] <= reached[i].
	reached [bucketCount]float32
	ended   [bucketCount]float32
	// weight is the weight of the next observation. It grows so that the
	// earlier ones need not be scaled down each time.
	weight float64
	// decayedAt is when weight was last increased.
	decayedAt time.Time
}

// decay reduces the weight of earlier observations: by the share 1/streams for
// the next observation, and by half for each halfLife of time.
func (h *histogram) decay(now time.Time, streams float64, halfLife time.Duration) {
	if h.weight == 0 {
		h.weight = 1
	} else {
		h.weight *= streams / (streams - 1)
		h.weight *= math.Exp2(float64(now.Sub(h.decayedAt)) / float64(halfLife))
	}
	h.decayedAt = now
	if h.weight > maxWeight {
		h.normalize()
	}
}

// normalize scales all weights so that the next observation has weight 1.
func (h *histogram) normalize() {
	for i := range h.reached {
		h.reached[i] = float32(float64(h.reached[i]) / h.weight)
		h.ended[i] = float32(float64(h.ended[i]) / h.weight)
	}
	h.weight = 1
}

// addReached counts a stream in the buckets from first to last, which it
// reached.
func (h *histogram) addReached(first, last int) {
	if h.weight == 0 {
		h.weight = 1
	}
	for i := first; i <= last; i++ {
		h.reached[i] += float32(h.weight)
	}
}

// addEnded counts a stream that ended in a bucket. The stream must be counted
// as having reached the bucket.
func (h *histogram) addEnded(bucket int) {
	h.ended[bucket] += float32(h.weight)
}

// withPrior combines the life table with a prior density that counts as
// priorWeight streams. The result sums to 1.
func (h *histogram) withPrior(prior *density, priorWeight float64) density {
	var combined density
	weight := max(h.weight, 1)
	alive, priorAlive := 1.0, 1.0
	for i := range combined {
		ended := float64(h.ended[i])/weight + priorWeight*prior[i]
		reached := float64(h.reached[i])/weight + priorWeight*priorAlive
		hazard := 1.0
		if reached > 0 && i < bucketCount-1 {
			hazard = min(ended/reached, 1)
		}
		combined[i] = alive * hazard
		alive -= combined[i]
		priorAlive = max(priorAlive-prior[i], 0)
	}
	return combined
}

// density has the probability of each bucket.
type density [bucketCount]float64

// defaultPrior returns the distribution of lengths that is assumed without
// observations: lognormal with a median of priorMedian tokens.
func defaultPrior() density {
	const (
		priorMedian = 250
		priorSigma  = 1.2
	)
	var d density
	sum := 0.0
	for i := range d {
		z := math.Log(bucketEnd(i)/priorMedian) / priorSigma
		d[i] = math.Exp(-z * z / 2)
		sum += d[i]
	}
	for i := range d {
		d[i] /= sum
	}
	return d
}

// bucketOf returns the bucket of a length.
func bucketOf(length currantwood.TokenCount) int {
	if length <= 1 {
		return 0
	}
	return min(int(math.Log2(float64(length))*bucketsPerOctave), bucketCount-1)
}

// bucketEnd returns the upper end of a bucket in tokens.
func bucketEnd(bucket int) float64 {
	return math.Exp2(float64(bucket+1) / bucketsPerOctave)
}
