package balancer

import (
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/prober"
	"github.com/currantwood/currantwood/upstreamkeeper"
)

// group holds the upstreams of one group.
type group struct {
	config currantwood.Group
	prober *prober.Prober
	// bindings holds the regions to which requests are bound.
	bindings Bindings
	// boundShare is the share of the latest requests that were bound to regions.
	boundShare float64
	// members are all upstreams of the group, and regions the same by region.
	members []currantwood.UpstreamID
	regions []regionMembers
	// averageSampleTokens and averageSampleTime are exponential moving averages
	// of PrefillSample.Tokens and, in nanoseconds, PrefillSample.Duration.
	averageSampleTokens, averageSampleTime float64
	// usualCallTime and usualEventInterval are exponential moving averages of
	// WorkSample.Duration, in nanoseconds; 0 before the first.
	usualCallTime, usualEventInterval float64
}

// prefillTimePerToken estimates how long an engine of the group takes to prefill
// a prompt token.
func (g *group) prefillTimePerToken() time.Duration {
	return time.Duration(g.averageSampleTime / g.averageSampleTokens)
}

// excessPrefillWait returns how much longer than q.MaxPrefillWait the prompt
// would wait for those queued before it, at an upstream where work takes relativeTime. It
// is negative if the wait is shorter, and 0 if there is no limit.
func (g *group) excessPrefillWait(c Choice, q Query, relativeTime float64) time.Duration {
	if q.MaxPrefillWait <= 0 {
		return 0
	}
	wait := relativeTime * float64(c.Load.PrefillTokens) * float64(g.prefillTimePerToken())
	return time.Duration(wait) - q.MaxPrefillWait
}

// usableMemory returns how much memory of an engine with a load may be in use after the
// request of a query: all but q.SpareMemory. An engine without load may be used whole, as a
// generation that is too large to leave the spare memory would find no engine otherwise.
func (g *group) usableMemory(load Load, q Query) currantwood.TokenCount {
	total := g.config.Engine.MemoryTokens
	if load.Requests == 0 {
		return total
	}
	return currantwood.TokenCount(float64(1-q.SpareMemory) * float64(total))
}

// hasCapacity reports whether an engine has a free slot, and usable memory for the load of
// the query. An upstream that isn't an engine always has capacity.
func hasCapacity(g *group, c Choice, q Query) bool {
	e := g.config.Engine
	if e == nil {
		return true
	}
	return c.Load.MemoryTokens+q.Load.MemoryTokens <= g.usableMemory(c.Load, q) && c.Load.Requests < e.Slots
}

// fitsEmpty reports whether an engine without any load has memory for the query's.
func (g *group) fitsEmpty(q Query) bool {
	return g.config.Engine != nil && g.config.Engine.Slots > 0 && q.Load.MemoryTokens <= g.config.Engine.MemoryTokens
}

// PrefillSample measures how long an upstream took to prefill a prompt and those
// queued before it.
type PrefillSample struct {
	// Tokens counts the tokens of all these prompts.
	Tokens currantwood.TokenCount
	// Duration is the time from sending the prompt to its first event.
	Duration time.Duration
}

// PrefillEnded records that an upstream has prefilled the prompt of a request.
// promptTokens is the PrefillTokens of the load that Started was given. sample is
// the zero value if there is no measurement, as for a moved run: it waits for the
// prompts queued before it, but its own is hardly prefilled again.
func (b *Balancer) PrefillEnded(view upstreamkeeper.View, promptTokens currantwood.TokenCount, sample PrefillSample) {
	if u := b.upstreams[view.ID]; u != nil && u.view.Incarnation == view.Incarnation {
		u.own.PrefillTokens = max(0, u.own.PrefillTokens-promptTokens)
	}
	if sample.Tokens > 0 {
		g := b.group(view.Group)
		g.averageSampleTokens += (float64(sample.Tokens) - g.averageSampleTokens) / prefillAverageDivisor
		g.averageSampleTime += (float64(sample.Duration) - g.averageSampleTime) / prefillAverageDivisor
	}
}
