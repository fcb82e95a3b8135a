package gateway

import (
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/connkeeper"
	"github.com/currantwood/currantwood/upstreamkeeper"
)

// noteRateLimit logs a change of the rate limit that an upstream names in its
// responses to this gateway.
func (q *request) noteRateLimit(view upstreamkeeper.View, x *connkeeper.Exchange) {
	limit := x.Answer.RateLimit
	if !limit.Known {
		return
	}
	q.g.mu.Lock()
	before := q.g.rateLimits[view.ID]
	if limit.Limited {
		q.g.rateLimits[view.ID] = limit
	} else {
		delete(q.g.rateLimits, view.ID)
	}
	q.g.mu.Unlock()
	if before.Limited != limit.Limited || before.PerSecond != limit.PerSecond {
		q.log("upstream changed its rate limit", rateLimitFields(view, limit, x.Status)...)
	}
}

// rateLimitFields returns the log fields of a rate limit that a response with a status
// named.
func rateLimitFields(view upstreamkeeper.View, limit currantwood.RateLimit, status int) []zap.Field {
	return []zap.Field{
		zap.String("upstream", string(view.ID)), zap.Int64("incarnation", view.Incarnation), zap.Bool("limited", limit.Limited),
		zap.Float64("limit-per-second", limit.PerSecond), zap.Int("status", status),
	}
}
