package peermessenger

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/capacity/speedkeeper"
	"github.com/currantwood/currantwood/peerwire"
)

const (
	// speedInterval is the time between two messages with speeds. An estimate covers some
	// seconds, so states and digests needn't all have them.
	speedInterval = 250 * time.Millisecond
	// maxSpeeds bounds the speeds in one datagram. One takes about 25 bytes.
	maxSpeeds = 512
)

// speedsDue reports whether speeds are to be sent now, and notes that they are. Called with
// mu held.
func (m *Messenger) speedsDue(now time.Time) bool {
	if now.Sub(m.speedsSentAt) < speedInterval {
		return false
	}
	m.speedsSentAt = now
	return true
}

// encodeSpeeds encodes the sums with the highest weights.
func encodeSpeeds(sums speedkeeper.Sums) []*peerwire.Speed {
	out := make([]*peerwire.Speed, 0, len(sums))
	for id, sum := range sums {
		out = append(out, &peerwire.Speed{Upstream: string(id), Weight: float32(sum.Weight), Speed: float32(sum.Speed)})
	}
	slices.SortFunc(out, func(a, b *peerwire.Speed) int {
		return cmp.Or(cmp.Compare(b.GetWeight(), a.GetWeight()), cmp.Compare(a.GetUpstream(), b.GetUpstream()))
	})
	return out[:min(len(out), maxSpeeds)]
}

// decodeSpeeds decodes sums without those that no observations can add up to.
func decodeSpeeds(speeds []*peerwire.Speed) speedkeeper.Sums {
	sums := make(speedkeeper.Sums, len(speeds))
	for _, s := range speeds {
		sum := speedkeeper.Sum{Weight: float64(s.GetWeight()), Speed: float64(s.GetSpeed())}
		if sum.Weight > 0 && sum.Speed > 0 && !math.IsInf(sum.Weight, 0) && !math.IsInf(sum.Speed, 0) {
			sums[currantwood.UpstreamID(s.GetUpstream())] = sum
		}
	}
	return sums
}
