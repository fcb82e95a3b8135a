package estimator

import (
	"math"

	"github.com/currantwood/currantwood"
)

// Curve is the survival function of a stream's output length. It is immutable.
type Curve struct {
	// survival[i] is the probability that a stream is longer than the lower end
	// of bucket i. It starts at 1, never increases and ends at 0.
	survival [bucketCount + 1]float32
}

func newCurve(d *distribution) *Curve {
	c := &Curve{}
	survival := 0.0
	for i := bucketCount - 1; i >= 0; i-- {
		survival += d[i]
		c.survival[i] = float32(survival)
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
	position := bucketPosition(tokens)
	bucket := int(position)
	if bucket >= bucketCount {
		return 0
	}
	fraction := position - float64(bucket)
	atStart, atEnd := float64(c.survival[bucket]), float64(c.survival[bucket+1])
	return atStart + fraction*(atEnd-atStart)
}

// positionTableSize bounds the lengths whose bucket position is precomputed,
// since a forecast of the gatekeeper looks up thousands.
const positionTableSize = 4096

// positionTable has the bucket position of each whole length below
// positionTableSize.
var positionTable = makePositionTable()

func makePositionTable() (table [positionTableSize]float32) {
	for tokens := 1; tokens < positionTableSize; tokens++ {
		table[tokens] = float32(math.Log2(float64(tokens)) * bucketsPerOctave)
	}
	return table
}

// bucketPosition returns the position of a length on the bucket scale, as a
// bucket index with a fraction. Lengths below positionTableSize are rounded
// down to whole tokens.
func bucketPosition(tokens float64) float64 {
	if tokens < positionTableSize {
		return float64(positionTable[int(tokens)])
	}
	return math.Log2(tokens) * bucketsPerOctave
}

// Remaining returns the given quantile (0 to 1) of the remaining length of a
// stream that has produced soFar tokens. If the survival at soFar is 0, there is
// no distribution to take the quantile of, and it returns a quarter of soFar.
func (c *Curve) Remaining(soFar currantwood.TokenCount, quantile float64) currantwood.TokenCount {
	now := c.Survival(float64(soFar))
	if now <= 0 {
		return soFar / 4
	}
	target := now * (1 - quantile)
	low, high := 0, bucketCount
	for low < high {
		middle := (low + high) / 2
		if float64(c.survival[middle]) <= target {
			high = middle
		} else {
			low = middle + 1
		}
	}
	return max(currantwood.TokenCount(c.lengthAt(low, target))-soFar, 1)
}

// lengthAt returns the length at which survival falls to target, interpolated
// within bucket end-1; 1 if end is 0.
func (c *Curve) lengthAt(end int, target float64) float64 {
	if end == 0 {
		return 1
	}
	atStart, atEnd := float64(c.survival[end-1]), float64(c.survival[end])
	fraction := 1.0
	if atStart > atEnd {
		fraction = (atStart - target) / (atStart - atEnd)
	}
	return math.Exp2((float64(end-1) + fraction) / bucketsPerOctave)
}
