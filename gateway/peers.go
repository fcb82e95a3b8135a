package gateway

import (
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/balancer"
	"github.com/currantwood/currantwood/budgeter"
	"github.com/currantwood/currantwood/crashkeeper"
)

// allPeers names the sum of what the other gateways have in flight.
const allPeers currantwood.VMID = "others"

// OwnLoads is what this gateway has in flight.
func (g *Gateway) OwnLoads() balancer.Loads {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.Own()
}

// TakePeerLoads takes what the other gateways have in flight.
func (g *Gateway) TakePeerLoads(now time.Time, loads balancer.Loads) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.SyncPeer(now, allPeers, loads)
}

// Uses is what this gateway has used of the retry budgets.
func (g *Gateway) Uses(now time.Time) budgeter.Uses {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.Used(now)
}

// TakePeerUses takes what the other gateways have used, and how many gateways
// there are.
func (g *Gateway) TakePeerUses(now time.Time, uses budgeter.Uses, gateways int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.TakeOthers(now, uses, gateways)
	g.balancer.SyncGateways(gateways)
}

// mayRepeat reports whether the budget allows a repeat, and counts it then.
func (g *Gateway) mayRepeat(now time.Time, id currantwood.GroupID, urgency budgeter.Urgency) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.budget.Allows(now, id, urgency) {
		return false
	}
	g.budget.Repeated(now, id)
	return true
}

// Crashes returns the crashes that other gateways should be told.
func (g *Gateway) Crashes(now time.Time) []crashkeeper.Crash {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.crashes.Recent(now)
}

// TakeCrashes takes crashes that another gateway has seen.
func (g *Gateway) TakeCrashes(now time.Time, crashes []crashkeeper.Crash) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range crashes {
		g.crashes.Note(now, c)
	}
}
