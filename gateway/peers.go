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
	return g.balancer.Own()
}

// TakePeerLoads replaces the summed load of the other gateways at each
// upstream.
func (g *Gateway) TakePeerLoads(now time.Time, loads balancer.Loads) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.SyncPeer(now, allPeers, loads)
}

// Uses returns how much of each group's retry budget this gateway has used.
func (g *Gateway) Uses(now time.Time) budgeter.Uses {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.Used(now)
}

// TakePeerUses replaces the retry budget use of the other gateways and the
// number of gateways, this one included.
func (g *Gateway) TakePeerUses(now time.Time, uses budgeter.Uses, gateways int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.TakeOthers(now, uses, gateways)
	g.balancer.SyncGateways(gateways)
}

// takeRetryBudget reports whether the retry budget of the group allows a retry,
// and charges it if so.
func (g *Gateway) takeRetryBudget(now time.Time, id currantwood.GroupID, urgency budgeter.Urgency) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.budget.Allows(now, id, urgency) {
		return false
	}
	g.budget.Repeated(now, id)
	return true
}

// Crashes returns the recent crashes to report to other gateways.
func (g *Gateway) Crashes(now time.Time) []crashkeeper.Crash {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.crashes.Recent(now)
}

// TakeCrashes records crashes that another gateway has seen.
func (g *Gateway) TakeCrashes(now time.Time, crashes []crashkeeper.Crash) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range crashes {
		g.crashes.Note(now, c)
	}
}
