package estimator

import (
	"math"

	"github.com/currantwood/currantwood"
)

// Curve is the distribution of one kind of stream's length at one moment. It
// is not changed after it was made.
type Curve struct {
	// survival[i] is the probability that a stream is longer than the lower
	// end of bucket i. survival[0] is 1; it never rises; the last one is 0.
	survival [buckets + 1]float32
}

func newCurve(d *density) *Curve {
	c := &Curve{}
	above := 0.0
	for i := buckets - 1; i >= 0; i-- {
		above += d[i]
		c.survival[i] = float32(above)
	}
	c.survival[0] = 1
	return c
}

// Survival returns the probability that a stream is longer than the given
// number of tokens.
func (c *Curve) Survival(tokens float64) float64 {
	if tokens <= 1 {
		return 1
	}
	at := position(tokens)
	bucket := int(at)
	if bucket >= buckets {
		return 0
	}
	part := at - float64(bucket)
	low, high := float64(c.survival[bucket]), float64(c.survival[bucket+1])
	return low + part*(high-low)
}

// tabled is the number of lengths whose position is looked up, since admission
// asks for thousands of them.
const tabled = 4096

// positions has the position of each whole length below tabled.
var positions = makePositions()

func makePositions() (table [tabled]float32) {
	for tokens := 1; tokens < tabled; tokens++ {
		table[tokens] = float32(math.Log2(float64(tokens)) * perOctave)
	}
	return table
}

// position returns where a length lies, in buckets. Lengths below tabled are
// rounded down to whole tokens.
func position(tokens float64) float64 {
	if tokens < tabled {
		return float64(positions[int(tokens)])
	}
	return math.Log2(tokens) * perOctave
}

// Remaining returns what a stream that has produced soFar tokens has left, at
// the given quantile.
func (c *Curve) Remaining(soFar currantwood.TokenCount, quantile float64) currantwood.TokenCount {
	now := c.Survival(float64(soFar))
	if now <= 0 {
		return soFar / 4
	}
	target := now * (1 - quantile)
	low, high := 0, buckets
	for low < high {
		middle := (low + high) / 2
		if float64(c.survival[middle]) <= target {
			high = middle
		} else {
			low = middle + 1
		}
	}
	return max(currantwood.TokenCount(c.invert(low, target))-soFar, 1)
}

// invert returns the length at which survival falls to target, within the
// bucket that ends at index above.
func (c *Curve) invert(above int, target float64) float64 {
	if above == 0 {
		return 1
	}
	high, low := float64(c.survival[above-1]), float64(c.survival[above])
	part := 1.0
	if high > low {
		part = (high - target) / (high - low)
	}
	return math.Exp2((float64(above-1) + part) / perOctave)
}
