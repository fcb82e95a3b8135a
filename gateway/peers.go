package gateway

import (
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/balancer"
	"github.com/currantwood/currantwood/budgeter"
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

// SetPeerLoads sets the summed load of the other gateways at each upstream.
func (g *Gateway) SetPeerLoads(now time.Time, loads balancer.Loads) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.SetPeerLoads(now, allPeers, loads)
}

// RetryUsage returns the requests and retries that this gateway has sent to each
// group within the window of the retry budget.
func (g *Gateway) RetryUsage(now time.Time) budgeter.GroupUsage {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.OwnUsage(now)
}

// SetPeerRetryUsage sets the retry usage of the other gateways, and the number
// of gateways whose usage is known, this one included.
func (g *Gateway) SetPeerRetryUsage(now time.Time, usage budgeter.GroupUsage, gateways int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.SetPeerUsage(now, usage, gateways)
	g.balancer.SetGatewayCount(gateways)
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
