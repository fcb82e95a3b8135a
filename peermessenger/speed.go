package peermessenger

import (
	"cmp"
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
	// maxSpeedFactor is by how much a mean speed may be above or below the usual one.
	// Upstreams that state more are ignored where their responses are decoded; the rest
	// allows for rounding.
	maxSpeedFactor = 100.1
	// maxSpeedWeight bounds the weight of one sum, which is about the number of responses
	// within some seconds. A higher one would outweigh the sums of all other gateways.
	maxSpeedWeight = 1e6
)

// speedsDue reports whether speeds are to be sent now in messages of one kind, the last of
// which with speeds was sent at sentAt, and if so notes that in sentAt. Called with mu held.
func speedsDue(now time.Time, sentAt *time.Time) bool {
	return intervalPassed(now, sentAt, speedInterval)
}

// intervalPassed reports whether an interval has passed since sentAt, and if so sets sentAt
// to now.
func intervalPassed(now time.Time, sentAt *time.Time, interval time.Duration) bool {
	if now.Sub(*sentAt) < interval {
		return false
	}
	*sentAt = now
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
		if sum.Weight > 0 && sum.Weight <= maxSpeedWeight && sum.Speed >= sum.Weight/maxSpeedFactor && sum.Speed <= sum.Weight*maxSpeedFactor {
			sums[currantwood.UpstreamID(s.GetUpstream())] = sum
		}
	}
	return sums
}
