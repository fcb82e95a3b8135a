package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/ratekeeper"
)

// OwnRates returns what this gateway has heard itself of the rates that upstreams
// accept, and its demand.
func (g *Gateway) OwnRates(now time.Time) ratekeeper.Rates {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rates.Own(now)
}

// SetFleetRates sets what all gateways have heard of the rates that upstreams accept,
// and the demand of all others. gateways counts all that are heard from.
func (g *Gateway) SetFleetRates(now time.Time, rates ratekeeper.Rates, gateways int) {
	g.mu.Lock()
	changed := g.rates.SetFleet(now, rates, gateways)
	g.mu.Unlock()
	for id, r := range changed {
		g.Logger.Info("rate limit of an upstream learned", zap.String("upstream", string(id)), zap.Int64("incarnation", r.Incarnation), zap.Bool("limited", r.Limit.Limited),
			zap.Float64("limit-per-second", r.Limit.PerSecond), zap.Duration("age", now.Sub(r.At)), zap.Int("gateways", gateways))
	}
}

// promise notes that a request was refused and told when this gateway may send the
// upstream another one.
func (g *Gateway) promise(id currantwood.UpstreamID) {
	g.instruments.rateLimited.Inc(1)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rates.Promise(g.Now(), id)
}
