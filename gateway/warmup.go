package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/balancer"
	"github.com/currantwood/currantwood/noticekeeper"
	"github.com/currantwood/currantwood/placement/warmupkeeper"
	"github.com/currantwood/currantwood/ratekeeper"
	"github.com/currantwood/currantwood/upstreamkeeper"
)

// failureOutcome returns what the failure of an exchange means for the health of its
// upstream. A time-out at a cold upstream doesn't count, as it may be slow without a fault;
// broken is whether the upstream broke the exchange instead.
func (q *request) failureOutcome(view upstreamkeeper.View, broken bool) balancer.Outcome {
	now := q.g.Now()
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	if !broken && q.g.warmUps.IsLimited(now, warmUpUpstream(view)) {
		return balancer.Neutral
	}
	return balancer.Failed
}

func warmUpUpstream(view upstreamkeeper.View) warmupkeeper.Upstream {
	return warmupkeeper.Upstream{ID: view.ID, Group: view.Group, Incarnation: view.Incarnation}
}

// noteWarmUps notes the cold periods that directory records state, and returns those that
// have begun or ended. The caller holds mu.
func (g *Gateway) noteWarmUps(now time.Time, events []upstreamkeeper.Event) []warmupkeeper.Change {
	var changes []warmupkeeper.Change
	for _, e := range events {
		switch e.Change {
		case upstreamkeeper.Appeared, upstreamkeeper.Restarted, upstreamkeeper.Cooled, upstreamkeeper.Warmed:
			if view, ok := g.upstreams.Get(e.Record.ID); ok {
				changes = append(changes, g.warmUps.ApplyRecord(now, warmUpUpstream(view), view.ColdUntil))
			}
		}
	}
	return changes
}

// noteStateWarmUp notes the cold period that an upstream stated with its state. One that says
// that it is warm is ignored, as a state may be outdated.
func (g *Gateway) noteStateWarmUp(now time.Time, id currantwood.UpstreamID, state currantwood.UpstreamState) {
	if state.WarmUp.Left <= 0 {
		return
	}
	g.mu.Lock()
	view, ok := g.upstreams.Get(id)
	var change warmupkeeper.Change
	if ok {
		upstream := warmupkeeper.Upstream{ID: id, Group: view.Group, Incarnation: state.Incarnation}
		change = g.warmUps.Observe(now, time.Time{}, upstream, state.WarmUp)
	}
	g.mu.Unlock()
	g.logWarmUps("", change)
}

// learnWarmUp notes the cold period that another gateway tells of. The caller holds mu.
func (g *Gateway) learnWarmUp(now time.Time, id currantwood.UpstreamID, notice noticekeeper.Notice) warmupkeeper.Change {
	upstream := warmupkeeper.Upstream{ID: id, Incarnation: notice.Incarnation}
	if view, ok := g.upstreams.Get(id); ok {
		upstream.Group = view.Group
	}
	return g.warmUps.Learn(now, warmupkeeper.Period{Upstream: upstream, Until: notice.ColdUntil})
}

// withWarmUps adds cold periods to notices.
func withWarmUps(notices noticekeeper.Notices, periods []warmupkeeper.Period) noticekeeper.Notices {
	if len(periods) > 0 && notices == nil {
		notices = make(noticekeeper.Notices, len(periods))
	}
	for _, p := range periods {
		notice := notices[p.Upstream.ID]
		if notice.Incarnation > p.Upstream.Incarnation {
			continue
		}
		if notice.Incarnation < p.Upstream.Incarnation {
			// What an earlier incarnation said doesn't count any more.
			notice = noticekeeper.Notice{Incarnation: p.Upstream.Incarnation}
		}
		notice.ColdUntil = p.Until
		notices[p.Upstream.ID] = notice
	}
	return notices
}

// logWarmUps logs the cold periods that have begun or ended. from is the gateway that told
// of them, if one did.
func (g *Gateway) logWarmUps(from currantwood.VMID, changes ...warmupkeeper.Change) {
	for _, c := range changes {
		if c == (warmupkeeper.Change{}) {
			continue
		}
		message := "cold period of an upstream ended"
		if c.Cold {
			message = "cold period of an upstream began"
		}
		g.Logger.Info(message, zap.String("upstream", string(c.Upstream.ID)), zap.String("group", string(c.Upstream.Group)), zap.Int64("incarnation", c.Upstream.Incarnation),
			zap.Stringer("source", c.Source), zap.String("from", string(from)), zap.Duration("left", c.Left))
	}
}

// OwnWarmUpRates returns this gateway's demand at cold upstreams and what it has sent them.
func (g *Gateway) OwnWarmUpRates(now time.Time) ratekeeper.Rates {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.warmUps.Own(now)
}

// SetFleetWarmUpRates sets the demand of all others at cold upstreams and what they have
// sent them. gateways counts all that are heard from.
func (g *Gateway) SetFleetWarmUpRates(now time.Time, rates ratekeeper.Rates, gateways int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.warmUps.SetFleet(now, rates, gateways)
}

// promiseCold notes that a request was refused and told when this gateway may send a cold
// upstream another one.
func (g *Gateway) promiseCold(id currantwood.UpstreamID) {
	g.instruments.refusedCold.Inc(1)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.warmUps.Promise(g.Now(), id)
}
