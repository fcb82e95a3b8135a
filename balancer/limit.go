package balancer

import (
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/capacity/limitkeeper"
	"github.com/currantwood/currantwood/upstreamkeeper"
)

const (
	// workAverageDivisor is the reciprocal of the weight of a measurement in a group's usual
	// time.
	workAverageDivisor = 64
	// maxWorkFactor bounds the part of one measurement, since calls and outputs differ in
	// length by much more than upstreams in speed. A slow period counts twice, as it shows in
	// the upstream's figure and in the measurement: in the worst case of limitkeeper's model a
	// limit without a knee is too low for 8% of the time, and for 15% with a bound of 2 (trials).
	maxWorkFactor = 1.5
)

// WorkSample is what one response shows of how long work takes at its upstream.
type WorkSample struct {
	// Running and Slots are the numbers of running requests and of slots, and RelativeTime
	// how long work takes; all as the response states them.
	Running, Slots int
	RelativeTime   float64
	// Duration is the gateway's own measurement: the time to the whole response of a call or,
	// if Stream is set, the mean time between events.
	Duration time.Duration
	Stream   bool
}

// ObserveWork notes how long work has taken at an upstream beside how many requests. It does
// nothing if the response doesn't state a relative time.
func (b *Balancer) ObserveWork(now time.Time, view upstreamkeeper.View, sample WorkSample) {
	if sample.RelativeTime <= 0 || sample.Running <= 0 || sample.Slots <= 0 || sample.Duration <= 0 {
		return
	}
	g := b.group(view.Group)
	usual := &g.usualCallTime
	if sample.Stream {
		usual = &g.usualEventInterval
	}
	if *usual == 0 {
		*usual = float64(sample.Duration)
	}
	factor := min(maxWorkFactor, max(1.0/maxWorkFactor, float64(sample.Duration) / *usual))
	*usual += *usual * (factor - 1) / workAverageDivisor
	b.limits.Observe(now, view.ID, sample.Running, sample.Slots, sample.RelativeTime*factor)
}

// OwnLoadLevels returns what this gateway has observed of the upstreams' concurrency.
func (b *Balancer) OwnLoadLevels(now time.Time) limitkeeper.Sums { return b.limits.Own(now) }

// LearnLoadLevels notes what another gateway has observed of the upstreams' concurrency.
func (b *Balancer) LearnLoadLevels(now time.Time, from currantwood.VMID, sums limitkeeper.Sums) {
	b.limits.Learn(now, from, sums)
}

// AllLimits returns the concurrency limits below the slots, by what this gateway has
// observed and others have reported to it.
func (b *Balancer) AllLimits(now time.Time) limitkeeper.Limits { return b.limits.All(now) }

// LimitedUpstreams returns the number of upstreams with a concurrency limit below their slots.
func (b *Balancer) LimitedUpstreams(now time.Time) int { return b.limits.Limited(now) }

// LearnLimits notes the concurrency limits that the collector has estimated.
func (b *Balancer) LearnLimits(now time.Time, limits limitkeeper.Limits) {
	b.limits.LearnLimits(now, limits)
}
