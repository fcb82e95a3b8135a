package gateway

import (
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/balancer"
	"github.com/currantwood/currantwood/budgeter"
	"github.com/currantwood/currantwood/crashkeeper"
)

// allPeers is the id under which the balancer holds the summed load of all
// other gateways.
const allPeers currantwood.VMID = "others"

// OwnLoads returns the load that this gateway has in flight at each upstream.
func (g *Gateway) OwnLoads() balancer.Loads {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.OwnLoads()
}

// SetPeerLoads replaces the summed load of the other gateways at each
// upstream.
func (g *Gateway) SetPeerLoads(now time.Time, loads balancer.Loads) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.SetPeerLoads(now, allPeers, loads)
}

// RetryUsage returns how much of each group's retry budget this gateway has used.
func (g *Gateway) RetryUsage(now time.Time) budgeter.GroupUsage {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.OwnUsage(now)
}

// SetPeerRetryUsage replaces the retry budget use of the other gateways and the
// number of gateways, this one included.
func (g *Gateway) SetPeerRetryUsage(now time.Time, uses budgeter.GroupUsage, gateways int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.SetOthersUsage(now, uses, gateways)
	g.balancer.SetGatewayCount(gateways)
}

// takeRetryBudget reports whether the retry budget of the group allows a retry,
// and charges it if so.
func (g *Gateway) takeRetryBudget(now time.Time, id currantwood.GroupID, urgency budgeter.RetryReason) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.budget.Allows(now, id, urgency) {
		return false
	}
	g.budget.Retried(now, id)
	return true
}

// RecentCrashes returns the recent crashes to report to other gateways.
func (g *Gateway) RecentCrashes(now time.Time) []crashkeeper.Crash {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.crashes.Recent(now)
}

// RecordCrashes records crashes that another gateway has seen.
func (g *Gateway) RecordCrashes(now time.Time, crashes []crashkeeper.Crash) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range crashes {
		g.crashes.Record(now, c)
	}
}
