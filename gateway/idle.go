package gateway

import (
	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/connkeeper"
)

// idlePart is the part of the connections that an upstream accepts from all gateways
// together that may be idle. The rest is for those in use.
const idlePart = 0.5

// maxIdle returns how many idle connections a gateway may keep to each upstream, if
// there are so many gateways; at least one.
func maxIdle(groups map[currantwood.GroupID]currantwood.Group, gateways int) int {
	limit := connkeeper.MaxIdlePerAddress
	for _, g := range groups {
		if g.MaxConnections > 0 {
			limit = min(limit, int(idlePart*float64(g.MaxConnections)/float64(max(1, gateways))))
		}
	}
	return max(1, limit)
}

// boundIdleConnections applies maxIdle to the number of gateways that are heard from.
func (g *Gateway) boundIdleConnections() {
	snapshot := g.Configuration.Current()
	if snapshot == nil {
		return
	}
	g.mu.Lock()
	gateways := g.budget.Peers().Gateways
	g.mu.Unlock()
	g.Connections.SetMaxIdle(maxIdle(snapshot.Groups, gateways))
}
