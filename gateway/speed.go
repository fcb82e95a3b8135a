package gateway

import (
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/capacity/speedkeeper"
)

// OwnSpeeds returns what this gateway has observed of the upstreams' speed.
func (g *Gateway) OwnSpeeds(now time.Time) speedkeeper.Sums {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.OwnSpeeds(now)
}

// AllSpeeds returns what all gateways have observed of the upstreams' speed, as far as this
// one has heard.
func (g *Gateway) AllSpeeds(now time.Time) speedkeeper.Sums {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.AllSpeeds(now)
}

// LearnSpeeds notes what another gateway has observed of the upstreams' speed.
func (g *Gateway) LearnSpeeds(now time.Time, from currantwood.VMID, sums speedkeeper.Sums) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.LearnSpeeds(now, from, sums)
}
