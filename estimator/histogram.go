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

// histogram counts lengths with weights that decay. The zero value is empty.
type histogram struct {
	// weights are at least 0, relative to step.
	weights [buckets]float32
	// step is the weight of the next observation; it grows instead of all the
	// others shrinking.
	step float64
	// total is the sum of weights.
	total float64
	// seen is when the last observation came.
	seen time.Time
}

// observe adds a length. Each one takes the share 1/memory from all before it,
// and each halfLife of time takes half.
func (h *histogram) observe(now time.Time, bucket int, memory float64, halfLife time.Duration) {
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
	h.weights[bucket] += float32(h.step)
	h.total += h.step
}

func (h *histogram) rescale() {
	h.total = 0
	for i := range h.weights {
		h.weights[i] = float32(float64(h.weights[i]) / h.step)
		h.total += float64(h.weights[i])
	}
	h.step = 1
}

// count returns the effective number of observations.
func (h *histogram) count() float64 {
	if h.step == 0 {
		return 0
	}
	return h.total / h.step
}

// lean mixes the histogram with a prior density that counts as priorCount
// observations. The result is a density: it sums to 1.
func (h *histogram) lean(prior *density, priorCount float64) density {
	var mixed density
	count := h.count()
	whole := count + priorCount
	for i := range mixed {
		own := 0.0
		if h.step > 0 {
			own = float64(h.weights[i]) / h.step
		}
		mixed[i] = (own + priorCount*prior[i]) / whole
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
