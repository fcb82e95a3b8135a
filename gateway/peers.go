package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/balancer"
	"github.com/currantwood/currantwood/budgeter"
)

// allPeers is the id under which the balancer holds the summed load of all
// other gateways.
const allPeers currantwood.VMID = "others"

// SetCollects sets whether this gateway is the collector.
func (g *Gateway) SetCollects(collects bool) { g.collects.Store(collects) }

// OwnLoads returns the load that this gateway has in flight at each upstream, and what
// waits for one that it holds.
func (g *Gateway) OwnLoads() balancer.Loads {
	g.mu.Lock()
	defer g.mu.Unlock()
	loads := g.balancer.OwnLoads()
	for _, claim := range g.room.keeper.Claims() {
		load := loads[claim.Upstream]
		load.Add(balancer.Load{Requests: claim.Work.Requests, MemoryTokens: claim.Work.Memory})
		loads[claim.Upstream] = load
	}
	return loads
}

// SetPeerLoads sets the summed load of the other gateways at each upstream.
func (g *Gateway) SetPeerLoads(now time.Time, loads balancer.Loads) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.SetPeerLoads(now, allPeers, loads)
	g.countLeavingRuns(now)
	g.offerUpdate(now)
}

// RetryUsage returns the requests and retries that this gateway has sent to each
// group within the window of the retry budget.
func (g *Gateway) RetryUsage(now time.Time) budgeter.GroupUsage {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.OwnUsage(now)
}

// Established reports whether this process knows all that its VM has spent of the
// retry budgets.
func (g *Gateway) Established(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.Established(now)
}

// SetBudgetPeers sets what is known of the other gateways' use of the retry budgets.
func (g *Gateway) SetBudgetPeers(now time.Time, peers budgeter.Peers) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.SetPeers(now, peers)
	g.balancer.SetGatewayCount(peers.Gateways)
}

// budgetFields returns the log fields of what decides on a retry: the usage here and
// at the other gateways, and the age and number of their reports.
func (g *Gateway) budgetFields(now time.Time, id currantwood.GroupID) []zap.Field {
	g.mu.Lock()
	defer g.mu.Unlock()
	own, peers, age := g.budget.OwnUsage(now)[id], g.budget.Peers(), g.budget.PeersAge(now)
	return []zap.Field{
		zap.String("group", string(id)), zap.Int("own-requests", own.Requests), zap.Int("own-retries", own.Retries),
		zap.Int("peers-requests", peers.Usage[id].Requests), zap.Int("peers-retries", peers.Usage[id].Retries), zap.Duration("peers-age", age),
		zap.Int("gateways", peers.Gateways), zap.Int("established", peers.Established), zap.Bool("self-established", g.budget.Established(now)),
	}
}

// takeRetryBudget reports whether the retry budget of the group allows a retry,
// and charges it if so.
func (g *Gateway) takeRetryBudget(now time.Time, id currantwood.GroupID, reason budgeter.RetryReason) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.budget.Allows(now, id, reason) {
		return false
	}
	g.budget.Retried(now, id)
	return true
}
