package peermessenger

import (
	"cmp"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/capacity/limitkeeper"
	"github.com/currantwood/currantwood/peerwire"
)

const (
	// maxLoadLevels bounds the upstreams whose levels one state names. Each takes 25 to 70
	// bytes.
	maxLoadLevels = 128
	// maxLimits bounds the limits in one digest. Each takes about 14 bytes.
	maxLimits = 512
	// maxEstimateBytes bounds what speeds and limits take in one digest, where limits are left
	// out for it: 512 of both with names of 64 bytes take 77 KB, too much for a datagram.
	maxEstimateBytes = 32 << 10
	// maxEstimateBytesPerSecond bounds what the collector sends of speeds and limits. With
	// 2,200 gateways and 512 upstreams, digests each 250 ms would take 117 MB/s.
	maxEstimateBytesPerSecond = 4e6
	// levelScale is the factor of the figures in peerwire.LoadLevels, and limitScale that of
	// the shares in peerwire.ConcurrencyLimit.
	levelScale, limitScale = 100, 1000
	// maxLevelFactor is by how much a mean speed may be above or below the usual one: what an
	// upstream may state, times what one measurement may add (maxWorkFactor in package balancer).
	maxLevelFactor = 1.5 * maxSpeedFactor
)

// estimateInterval returns the time until the next digests with speeds and limits, if those
// of now took so many bytes for each of the recipients.
func estimateInterval(bytes, recipients int) time.Duration {
	seconds := float64(bytes) * float64(recipients) / maxEstimateBytesPerSecond
	return max(speedInterval, time.Duration(math.Ceil(seconds*float64(time.Second))))
}

// estimates are the speeds and limits of a digest; the zero value if they aren't due.
type estimates struct {
	speeds []*peerwire.Speed
	limits []*peerwire.ConcurrencyLimit
	// due distinguishes estimates that are empty from those that aren't due.
	due bool
}

// known reports whether any upstream states the time on which limits are based. Otherwise
// digests are as without limits.
func (e estimates) known() bool { return len(e.speeds) > 0 || len(e.limits) > 0 }

// size returns the bytes that the estimates take in a digest.
func (e estimates) size() int {
	return proto.Size(&peerwire.Digest{Speeds: e.speeds, Limits: e.limits, HasLimits: e.known()})
}

// dropExcessLimits leaves out the highest limits if the digest would be too long.
func (e *estimates) dropExcessLimits() {
	excess := e.size() - maxEstimateBytes
	for excess > 0 && len(e.limits) > 0 {
		last := len(e.limits) - 1
		excess -= proto.Size(&peerwire.Digest{Limits: e.limits[last:]})
		e.limits = e.limits[:last]
	}
}

// addTo sets the estimates of a digest.
func (e estimates) addTo(digest *peerwire.Digest) {
	digest.Speeds, digest.Limits, digest.HasLimits = e.speeds, e.limits, e.known()
}

// takeEstimates returns the estimates for the digests of now, and sets when they are due
// again.
func (m *Messenger) takeEstimates(now time.Time, recipients int) estimates {
	m.mu.Lock()
	due := intervalPassed(now, &m.digestSpeedsAt, max(speedInterval, m.digestSpeedInterval))
	m.mu.Unlock()
	if !due {
		return estimates{}
	}
	e := estimates{speeds: encodeSpeeds(m.Gateway.AllSpeeds(now)), limits: encodeLimits(m.Gateway.AllLimits(now)), due: true}
	e.dropExcessLimits()
	interval := estimateInterval(e.size(), recipients)
	m.mu.Lock()
	m.digestSpeedInterval = interval
	m.mu.Unlock()
	return e
}

// encodeLimits encodes the lowest limits.
func encodeLimits(limits limitkeeper.Limits) []*peerwire.ConcurrencyLimit {
	out := make([]*peerwire.ConcurrencyLimit, 0, len(limits))
	for id, share := range limits {
		if scaled := math.Ceil(share * limitScale); scaled < limitScale {
			out = append(out, &peerwire.ConcurrencyLimit{Upstream: string(id), Share: uint32(max(1, scaled))})
		}
	}
	slices.SortFunc(out, func(a, b *peerwire.ConcurrencyLimit) int {
		return cmp.Or(cmp.Compare(a.GetShare(), b.GetShare()), cmp.Compare(a.GetUpstream(), b.GetUpstream()))
	})
	return out[:min(len(out), maxLimits)]
}

// decodeLimits decodes limits without those outside the range.
func decodeLimits(limits []*peerwire.ConcurrencyLimit) limitkeeper.Limits {
	out := make(limitkeeper.Limits, len(limits))
	for _, l := range limits {
		if l.GetShare() > 0 && l.GetShare() < limitScale {
			out[currantwood.UpstreamID(l.GetUpstream())] = float64(l.GetShare()) / limitScale
		}
	}
	return out
}

// encodeLoadLevels encodes the sums with the highest weights.
func encodeLoadLevels(sums limitkeeper.Sums) []*peerwire.LoadLevels {
	type weighted struct {
		id     currantwood.UpstreamID
		weight float64
	}
	order := make([]weighted, 0, len(sums))
	for id, sum := range sums {
		order = append(order, weighted{id, sum.Weight()})
	}
	slices.SortFunc(order, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.id, b.id))
	})
	out := make([]*peerwire.LoadLevels, 0, min(len(order), maxLoadLevels))
	for _, w := range order[:min(len(order), maxLoadLevels)] {
		sum := sums[w.id]
		if encoded := encodeLevels(w.id, &sum); encoded != nil {
			out = append(out, encoded)
		}
	}
	return out
}

// encodeLevels encodes the levels from the first to the last that has weight; nil if none
// has.
func encodeLevels(id currantwood.UpstreamID, sum *limitkeeper.Sum) *peerwire.LoadLevels {
	first, end := limitkeeper.Levels, 0
	for i, l := range sum {
		if scaleLevel(l.Weight) > 0 {
			first, end = min(first, i), i+1
		}
	}
	if first >= end {
		return nil
	}
	out := &peerwire.LoadLevels{Upstream: string(id), First: uint32(first)}
	for _, l := range sum[first:end] {
		out.Weights = append(out.Weights, scaleLevel(l.Weight))
		out.Running = append(out.Running, scaleLevel(l.Running))
		out.Speeds = append(out.Speeds, scaleLevel(l.Speed))
	}
	return out
}

func scaleLevel(value float64) uint32 {
	return uint32(min(math.MaxUint32, max(0, math.Round(value*levelScale))))
}

// decodeLoadLevels decodes sums without those that no observations can add up to.
func decodeLoadLevels(levels []*peerwire.LoadLevels) limitkeeper.Sums {
	sums := make(limitkeeper.Sums, len(levels))
	for _, l := range levels {
		if sum, ok := decodeLevels(l); ok {
			sums[currantwood.UpstreamID(l.GetUpstream())] = sum
		}
	}
	return sums
}

func decodeLevels(l *peerwire.LoadLevels) (sum limitkeeper.Sum, ok bool) {
	count := uint64(len(l.GetWeights()))
	if count == 0 || count != uint64(len(l.GetRunning())) || count != uint64(len(l.GetSpeeds())) || uint64(l.GetFirst())+count > limitkeeper.Levels {
		return sum, false
	}
	for i, scaled := range l.GetWeights() {
		level := limitkeeper.Level{Weight: float64(scaled) / levelScale, Running: float64(l.GetRunning()[i]) / levelScale, Speed: float64(l.GetSpeeds()[i]) / levelScale}
		// Each figure may be rounded by half a hundredth.
		weight, speed := level.Weight+1.0/levelScale, level.Speed+1.0/levelScale
		if level.Speed > maxSpeedWeight || level.Running > weight || level.Speed > weight*maxLevelFactor || level.Weight > speed*maxLevelFactor {
			return sum, false
		}
		sum[int(l.GetFirst())+i] = level
	}
	return sum, true
}
