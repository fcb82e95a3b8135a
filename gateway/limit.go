package gateway

import (
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/balancer"
	"github.com/currantwood/currantwood/capacity/limitkeeper"
	"github.com/currantwood/currantwood/connkeeper"
	"github.com/currantwood/currantwood/upstreamkeeper"
)

// measuredIntervals is the number of intervals between events whose mean is one measurement
// of a stream. The state of the upstream is known as of the stream's start, so later ones say
// less of it.
const measuredIntervals = 16

// observeWork notes how long an upstream took for a call or, if stream is true, between the
// events of a stream.
func (g *Gateway) observeWork(view upstreamkeeper.View, x *connkeeper.Exchange, took time.Duration, stream bool) {
	if x.Answer.RelativeTime <= 0 || x.Answer.OtherInstance {
		return
	}
	sample := balancer.WorkSample{Running: x.Answer.Running, Slots: x.Answer.Slots, RelativeTime: x.Answer.RelativeTime, Duration: took, Stream: stream}
	now := g.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.ObserveWork(now, view, sample)
}

// observeInterval counts an event of a stream and notes the mean interval once enough have
// arrived.
func (g *Gateway) observeInterval(up *upstreamStream) {
	if up.intervals > measuredIntervals {
		return
	}
	if up.intervals == measuredIntervals {
		g.observeWork(up.view, up.exchange, up.lastEventAt.Sub(up.firstEventAt)/measuredIntervals, true)
	}
	up.intervals++
}

// OwnLoadLevels returns what this gateway has observed of the upstreams' concurrency.
func (g *Gateway) OwnLoadLevels(now time.Time) limitkeeper.Sums {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.OwnLoadLevels(now)
}

// LearnLoadLevels notes what another gateway has observed of the upstreams' concurrency.
func (g *Gateway) LearnLoadLevels(now time.Time, from currantwood.VMID, sums limitkeeper.Sums) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.LearnLoadLevels(now, from, sums)
}

// AllLimits returns the concurrency limits below the slots, by what all gateways have
// reported to this one.
func (g *Gateway) AllLimits(now time.Time) limitkeeper.Limits {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.AllLimits(now)
}

// LimitedUpstreams returns the number of upstreams with a concurrency limit below their slots.
func (g *Gateway) LimitedUpstreams(now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.LimitedUpstreams(now)
}

// LearnLimits notes the concurrency limits that the collector has estimated.
func (g *Gateway) LearnLimits(now time.Time, limits limitkeeper.Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.LearnLimits(now, limits)
}
