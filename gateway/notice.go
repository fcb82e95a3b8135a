package gateway

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/balancer"
	"github.com/currantwood/currantwood/connkeeper"
	"github.com/currantwood/currantwood/noticekeeper"
	"github.com/currantwood/currantwood/placement/warmupkeeper"
	"github.com/currantwood/currantwood/upstreamkeeper"
)

// noteResponse notes what a response to a request that was sent at sentAt says of its
// upstream.
func (q *request) noteResponse(view upstreamkeeper.View, sentAt time.Time, x *connkeeper.Exchange) {
	if x.Unrelated > 0 {
		q.g.instruments.unrelatedResponses.Inc(int64(x.Unrelated))
		q.log("responses that belong to no request skipped", zap.String("upstream", string(view.ID)), zap.Int("responses", x.Unrelated), zap.Int("status", x.Status))
	}
	now := q.g.Now()
	q.g.mu.Lock()
	var events []upstreamkeeper.Event
	var change noticekeeper.Change
	var warmUp warmupkeeper.Change
	if x.Answer.OtherInstance {
		// The one that answered isn't named. It is at the address of the view.
		events = q.g.noteAddressLeaving(now, view.Address, x.Answer.Leaving)
	} else {
		change = q.g.notices.Observe(now, view.ID, view.Incarnation, x.Answer)
	}
	if change.Leaving {
		events = q.g.markLeaving(now, view.ID, view.Incarnation)
	}
	if !x.Answer.OtherInstance {
		q.g.balancer.ObserveSpeed(now, view.ID, x.Answer.RelativeTime)
		warmUp = q.g.warmUps.Observe(now, sentAt, warmUpUpstream(view), x.Answer.WarmUp)
	}
	share := q.g.rates.Share(now, view.ID)
	q.g.handleEventsAndUnlock(now, events)
	q.g.logWarmUps("", warmUp)
	if change == (noticekeeper.Change{}) {
		return
	}
	q.g.countNotice(change)
	q.log("upstream gave notice in a response",
		zap.String("upstream", string(view.ID)), zap.Int64("incarnation", view.Incarnation), zap.Int("status", x.Status),
		zap.Bool("leaving", x.Answer.Leaving), zap.Duration("pause", x.Answer.Pause),
		zap.Bool("limit-changed", change.RateLimit), zap.Bool("limited", x.Answer.RateLimit.Limited),
		zap.Float64("limit-per-second", x.Answer.RateLimit.PerSecond), zap.Float64("share-per-second", share))
}

// noteLeaving notes that an upstream said, in response to a control call, that it is
// leaving.
func (g *Gateway) noteLeaving(view upstreamkeeper.View) {
	now := g.Now()
	g.mu.Lock()
	change := g.notices.Observe(now, view.ID, view.Incarnation, currantwood.UpstreamResponse{Leaving: true})
	g.handleEventsAndUnlock(now, g.markLeaving(now, view.ID, view.Incarnation))
	g.countNotice(change)
}

// noteAddressLeaving notes, if leaving is true, that whatever listens at an address is
// leaving. The caller holds mu.
func (g *Gateway) noteAddressLeaving(now time.Time, address string, leaving bool) []upstreamkeeper.Event {
	if !leaving {
		return nil
	}
	var events []upstreamkeeper.Event
	for _, view := range g.upstreams.At(address) {
		g.notices.Observe(now, view.ID, view.Incarnation, currantwood.UpstreamResponse{Leaving: true})
		events = append(events, g.markLeaving(now, view.ID, view.Incarnation)...)
	}
	return events
}

// markLeaving marks an incarnation of an upstream as leaving and returns what that
// changes. The caller holds mu.
func (g *Gateway) markLeaving(now time.Time, id currantwood.UpstreamID, incarnation int64) []upstreamkeeper.Event {
	return g.upstreams.ApplyState(now, id, currantwood.UpstreamState{Incarnation: incarnation, Leaving: true})
}

// markLeavingAgain marks the upstreams that a record has brought and that have said
// before that they are leaving. The caller holds mu.
func (g *Gateway) markLeavingAgain(now time.Time, events []upstreamkeeper.Event) []upstreamkeeper.Event {
	var more []upstreamkeeper.Event
	for _, e := range events {
		if g.notices.IsLeaving(e.Record.ID, e.Record.Incarnation) {
			more = append(more, g.markLeaving(now, e.Record.ID, e.Record.Incarnation)...)
		}
	}
	return more
}

func (g *Gateway) countNotice(change noticekeeper.Change) {
	if change.Leaving {
		g.instruments.leavingNotices.Inc(1)
	}
	if change.Pause {
		g.instruments.pauses.Inc(1)
	}
	if change.RateLimit {
		g.instruments.rateLimitChanges.Inc(1)
	}
}

// HeardNotices returns the new notices that upstreams gave to this gateway.
func (g *Gateway) HeardNotices(now time.Time) noticekeeper.Notices {
	g.mu.Lock()
	defer g.mu.Unlock()
	return withWarmUps(g.notices.Heard(now), g.warmUps.Heard(now))
}

// KnownNotices returns the new notices that are known here; all if all is true.
func (g *Gateway) KnownNotices(now time.Time, all bool) noticekeeper.Notices {
	g.mu.Lock()
	defer g.mu.Unlock()
	return withWarmUps(g.notices.Known(now, all), g.warmUps.Known(now, all))
}

// LearnNotices notes the notices that another gateway sent.
func (g *Gateway) LearnNotices(now time.Time, from currantwood.VMID, notices noticekeeper.Notices) {
	for id, notice := range notices {
		g.mu.Lock()
		change := g.notices.Learn(now, id, notice)
		var events []upstreamkeeper.Event
		if notice.Leaving {
			events = g.markLeaving(now, id, notice.Incarnation)
		}
		warmUp := g.learnWarmUp(now, id, notice)
		g.handleEventsAndUnlock(now, events)
		g.logWarmUps(from, warmUp)
		if change != (noticekeeper.Change{}) {
			g.Logger.Info("notice of an upstream learned", zap.String("upstream", string(id)), zap.Int64("incarnation", notice.Incarnation),
				zap.String("from", string(from)), zap.Bool("leaving", notice.Leaving), zap.Duration("pause-left", max(0, notice.PausedUntil.Sub(now))))
		}
	}
}

// logEndedPauses logs the pauses that have ended.
func (g *Gateway) logEndedPauses(now time.Time) {
	g.mu.Lock()
	ended := g.notices.EndedPauses(now)
	g.mu.Unlock()
	for _, id := range ended {
		g.Logger.Info("pause of an upstream ended", zap.String("upstream", string(id)))
	}
}

// outcomeOf returns what a response means for the health of its upstream. One that asks
// for a pause doesn't fail.
func outcomeOf(x *connkeeper.Exchange) balancer.Outcome {
	switch {
	case x.Answer.Pause > 0:
		return balancer.Neutral
	case x.Status == http.StatusInternalServerError:
		return balancer.Errored
	case x.Status > http.StatusInternalServerError:
		return balancer.Failed
	}
	return balancer.Served
}
