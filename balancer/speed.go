package balancer

import (
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/capacity/speedkeeper"
)

// ObserveSpeed notes how long work takes at an upstream by its response, relative to the
// usual time; 0 if the response doesn't say.
func (b *Balancer) ObserveSpeed(now time.Time, id currantwood.UpstreamID, relativeTime float64) {
	b.speeds.Observe(now, id, relativeTime)
}

// OwnSpeeds returns what this gateway has observed of the upstreams' speed.
func (b *Balancer) OwnSpeeds(now time.Time) speedkeeper.Sums { return b.speeds.Own(now) }

// AllSpeeds returns what all gateways have observed of the upstreams' speed, as far as this
// one has heard.
func (b *Balancer) AllSpeeds(now time.Time) speedkeeper.Sums { return b.speeds.All(now) }

// LearnSpeeds notes what another gateway has observed of the upstreams' speed.
func (b *Balancer) LearnSpeeds(now time.Time, from currantwood.VMID, sums speedkeeper.Sums) {
	b.speeds.Learn(now, from, sums)
}
