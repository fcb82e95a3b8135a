package gateway

import (
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/balancer"
	"github.com/currantwood/currantwood/crashkeeper"
)

// allPeers names the sum of what the other gateways have in flight.
const allPeers currantwood.VMID = "others"

// OwnLoads is what this gateway has in flight.
func (g *Gateway) OwnLoads() map[currantwood.UpstreamID]balancer.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.Own()
}

// TakePeerLoads takes what the other gateways have in flight.
func (g *Gateway) TakePeerLoads(now time.Time, loads map[currantwood.UpstreamID]balancer.Load) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.SyncPeer(now, allPeers, loads)
}

// TakeGateways takes the number of gateways, this one included.
func (g *Gateway) TakeGateways(count int) { g.gateways.Store(int64(count)) }

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
