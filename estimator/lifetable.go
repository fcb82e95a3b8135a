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

// maxWeight is the weight of an observation above which a life table is
// normalized, so that the float32 sums stay finite.
const maxWeight = 1e6

// lifeTable counts how many streams reached each bucket and how many of them
// ended in it, with decaying weights. A stream that still runs counts in the
// buckets that it has reached, so that longer lengths are learned before the
// first long stream ends. The zero value is empty.
type lifeTable struct {
	// reached and ended are sums of weights; divided by weight, they are numbers
	// of streams. ended[i] may exceed reached[i], since weight may have grown
	// between the time that a stream reached the bucket and its end there.
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
func (t *lifeTable) decay(now time.Time, streams float64, halfLife time.Duration) {
	if t.weight == 0 {
		t.weight = 1
	} else {
		t.weight *= streams / (streams - 1)
		t.weight *= math.Exp2(float64(now.Sub(t.decayedAt)) / float64(halfLife))
	}
	t.decayedAt = now
	if t.weight > maxWeight {
		t.normalize()
	}
}

// normalize scales all sums so that the next observation has weight 1.
func (t *lifeTable) normalize() {
	for i := range t.reached {
		t.reached[i] = float32(float64(t.reached[i]) / t.weight)
		t.ended[i] = float32(float64(t.ended[i]) / t.weight)
	}
	t.weight = 1
}

// addReached counts a stream in the buckets from first to last, which it
// reached.
func (t *lifeTable) addReached(first, last int) {
	if t.weight == 0 {
		t.weight = 1
	}
	for i := first; i <= last; i++ {
		t.reached[i] += float32(t.weight)
	}
}

// addEnded counts a stream that ended in a bucket. The stream must be counted
// as having reached the bucket.
func (t *lifeTable) addEnded(bucket int) {
	t.ended[bucket] += float32(t.weight)
}

// withPrior combines the life table with a prior that counts as priorWeight
// streams. The result sums to 1.
func (t *lifeTable) withPrior(prior *distribution, priorWeight float64) distribution {
	var combined distribution
	weight := max(t.weight, 1)
	alive, priorAlive := 1.0, 1.0
	for i := range combined {
		ended := float64(t.ended[i])/weight + priorWeight*prior[i]
		reached := float64(t.reached[i])/weight + priorWeight*priorAlive
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

// distribution holds the probability of each bucket; they sum to 1.
type distribution [bucketCount]float64

// defaultPrior returns the distribution of lengths that is assumed without
// observations: lognormal with a median of priorMedian tokens.
func defaultPrior() distribution {
	const (
		priorMedian = 250
		priorSigma  = 1.2
	)
	var d distribution
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
