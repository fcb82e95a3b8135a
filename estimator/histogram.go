package estimator

import (
	"math"
	"time"

	"github.com/currantwood/currantwood"
)

const (
	// buckets cover lengths from 1 to 2^17 tokens.
	buckets = 68
	// perOctave is the number of buckets to a doubling.
	perOctave = 4
)

// maxStep is the largest weight of one observation before a histogram is
// scaled down.
const maxStep = 1e6

// histogram is a life table: how many streams reached each bucket, and how many
// of them ended in it, with weights that decay. A stream that still runs counts
// in the buckets that it has reached, so that lengths which grow are learnt
// before the first long stream ends. The zero value is empty.
type histogram struct {
	// reached and ended are relative to step; 0 <= ended[i] <= reached[i].
	reached [buckets]float32
	ended   [buckets]float32
	// step is the weight of the next observation; it grows instead of all the
	// others shrinking.
	step float64
	// seen is when step was last changed.
	seen time.Time
}

// age lets earlier observations lose weight: the share 1/memory for this
// observation, and half for each halfLife of time.
func (h *histogram) age(now time.Time, memory float64, halfLife time.Duration) {
	if h.step == 0 {
		h.step = 1
	} else {
		h.step *= memory / (memory - 1)
		h.step *= math.Exp2(float64(now.Sub(h.seen)) / float64(halfLife))
	}
	h.seen = now
	if h.step > maxStep {
		h.rescale()
	}
}

func (h *histogram) rescale() {
	for i := range h.reached {
		h.reached[i] = float32(float64(h.reached[i]) / h.step)
		h.ended[i] = float32(float64(h.ended[i]) / h.step)
	}
	h.step = 1
}

// reach counts a stream that reached the buckets from first up to last.
func (h *histogram) reach(first, last int) {
	if h.step == 0 {
		h.step = 1
	}
	for i := first; i <= last; i++ {
		h.reached[i] += float32(h.step)
	}
}

// end counts a stream that ended in a bucket that it was counted to have
// reached.
func (h *histogram) end(bucket int) {
	h.ended[bucket] += float32(h.step)
}

// lean mixes the life table with a prior density that counts as priorCount
// streams. The result is a density: it sums to 1.
func (h *histogram) lean(prior *density, priorCount float64) density {
	var mixed density
	step := max(h.step, 1)
	alive, priorAlive := 1.0, 1.0
	for i := range mixed {
		ended := float64(h.ended[i])/step + priorCount*prior[i]
		reached := float64(h.reached[i])/step + priorCount*priorAlive
		hazard := 1.0
		if reached > 0 && i < buckets-1 {
			hazard = min(ended/reached, 1)
		}
		mixed[i] = alive * hazard
		alive -= mixed[i]
		priorAlive = max(priorAlive-prior[i], 0)
	}
	return mixed
}

// density is a probability for each bucket.
type density [buckets]float64

// broadPrior is what is believed of lengths when nothing was seen: lognormal
// around priorMedian tokens.
func broadPrior() density {
	const (
		priorMedian = 250
		priorSigma  = 1.2
	)
	var d density
	sum := 0.0
	for i := range d {
		z := math.Log(upper(i)/priorMedian) / priorSigma
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
	return min(int(math.Log2(float64(length))*perOctave), buckets-1)
}

// upper returns the upper end of a bucket in tokens.
func upper(bucket int) float64 {
	return math.Exp2(float64(bucket+1) / perOctave)
}
