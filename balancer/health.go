package balancer

import (
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/upstreamkeeper"
)

// Outcome says what the end of a request means for the health of its upstream.
type Outcome uint8

// What the end of a request means.
const (
	Served  Outcome = iota + 1 // served
	Failed                     // failed
	Neutral                    // neutral
	// Errored is the end of a request that the upstream's application answered with an
	// error.
	Errored // answered with an error
)

// Ended records the end of a request. The load is the one that Started was
// given, without the prompt tokens that have been prefilled since.
func (b *Balancer) Ended(now time.Time, view upstreamkeeper.View, load Load, outcome Outcome) {
	u := b.upstreams[view.ID]
	if u == nil || u.view.Incarnation != view.Incarnation {
		return
	}
	u.own.Subtract(load)
	p := b.group(view.Group).prober
	switch outcome {
	case Served:
		p.Ended(now, view.ID, true)
	case Failed:
		p.Ended(now, view.ID, false)
	case Neutral:
		p.EndedNeutral(view.ID)
	case Errored:
		p.EndedInError(now, view.ID)
	}
}

// EjectStalled ejects the upstreams that hold requests without making progress, and
// returns those that it has just ejected.
func (b *Balancer) EjectStalled(now time.Time) []currantwood.UpstreamID {
	b.setSlow(b.slow, false)
	b.slow = b.notices.Slow(now)
	b.setSlow(b.slow, true)
	var stalled []currantwood.UpstreamID
	for _, g := range b.groups {
		stalled = append(stalled, g.prober.EjectStalled(now)...)
	}
	return stalled
}

// setSlow tells the probers whether upstreams may be slow without being faulty.
func (b *Balancer) setSlow(ids []currantwood.UpstreamID, slow bool) {
	for _, id := range ids {
		if u := b.upstreams[id]; u != nil {
			b.group(u.view.Group).prober.SetSlow(id, slow)
		}
	}
}

// EjectedCount returns the number of upstreams of a group that are ejected.
func (b *Balancer) EjectedCount(now time.Time, id currantwood.GroupID) int {
	g := b.groups[id]
	if g == nil {
		return 0
	}
	count := 0
	for _, member := range g.members {
		if g.prober.Ejected(now, member) {
			count++
		}
	}
	return count
}
