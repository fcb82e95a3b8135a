package gateway

import (
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/upstreamkeeper"
)

// leavingRetention is how long an upstream counts as leaving for the retry budget: its runs
// are moved or have ended by then.
const leavingRetention = 4 * time.Second

// leavingUpstream is an upstream that is leaving, or gone a moment ago.
type leavingUpstream struct {
	group currantwood.GroupID
	since time.Time
}

// noteLeavingUpstreams notes which upstreams leave by these events. The caller holds mu.
func (g *Gateway) noteLeavingUpstreams(now time.Time, events []upstreamkeeper.Event) {
	for _, e := range events {
		switch e.Change {
		case upstreamkeeper.Leaving, upstreamkeeper.Removed:
			if _, known := g.leaving[e.Record.ID]; !known {
				g.leaving[e.Record.ID] = leavingUpstream{group: e.Record.Group, since: now}
			}
		case upstreamkeeper.Appeared, upstreamkeeper.Restarted:
			delete(g.leaving, e.Record.ID)
		}
	}
	g.countLeavingRuns(now)
}

// countLeavingRuns tells the retry budget how many runs all gateways have at upstreams that
// leave. The caller holds mu.
func (g *Gateway) countLeavingRuns(now time.Time) {
	if len(g.leaving) == 0 {
		return
	}
	runs := make(map[currantwood.GroupID]int)
	for id, l := range g.leaving {
		if now.Sub(l.since) > leavingRetention {
			delete(g.leaving, id)
			runs[l.group] += 0
			continue
		}
		runs[l.group] += max(0, g.balancer.TotalLoad(now, id).Requests)
	}
	for group, count := range runs {
		g.budget.SetLeaving(now, group, count)
	}
}
