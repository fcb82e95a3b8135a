package gateway

import (
	"time"

	"go.uber.org/zap"

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

// noteLeavingUpstreams notes which upstreams leave by these events, for the retry budget and
// for the estimate of losses. The caller holds mu.
func (g *Gateway) noteLeavingUpstreams(now time.Time, events []upstreamkeeper.Event) {
	if len(events) == 0 {
		return
	}
	var returned []currantwood.GroupID
	left := make(map[currantwood.GroupID][]currantwood.UpstreamRecord)
	for _, e := range events {
		switch e.Change {
		case upstreamkeeper.Leaving, upstreamkeeper.Removed:
			if _, known := g.leaving[e.Record.ID]; !known {
				g.leaving[e.Record.ID] = leavingUpstream{group: e.Record.Group, since: now}
				// A removal after the notice is the same loss.
				if view, _ := g.upstreams.Get(e.Record.ID); e.Change == upstreamkeeper.Leaving || !view.LeaveAnnounced {
					left[e.Record.Group] = append(left[e.Record.Group], e.Record)
				}
			}
		case upstreamkeeper.Appeared, upstreamkeeper.Restarted:
			if l, known := g.leaving[e.Record.ID]; known {
				returned = append(returned, l.group)
				delete(g.leaving, e.Record.ID)
			}
		}
	}
	for group, records := range left {
		g.balancer.Left(now, group, records)
	}
	g.countLeavingRuns(now, returned...)
	g.balancer.RefreshLosses(now)
}

// countLeavingRuns tells the retry budget how many runs all gateways have at upstreams that
// leave, also for the groups named, in which none may be left. The caller holds mu.
func (g *Gateway) countLeavingRuns(now time.Time, also ...currantwood.GroupID) {
	if len(g.leaving) == 0 && len(also) == 0 {
		return
	}
	runs := make(map[currantwood.GroupID]int)
	for _, group := range also {
		runs[group] = 0
	}
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

// refreshLosses applies the estimate of losses again, as it falls with time, and logs when it
// begins and ceases to differ among upstreams.
func (g *Gateway) refreshLosses(now time.Time) {
	g.mu.Lock()
	g.balancer.RefreshLosses(now)
	count := g.balancer.HighLossUpstreams()
	changed := (count > 0) != g.lossesDiffer
	g.lossesDiffer = count > 0
	g.mu.Unlock()
	if changed {
		g.Logger.Info("losses of upstreams began or ceased to differ", zap.Bool("differ", count > 0), zap.Int("upstreams", count))
	}
}
