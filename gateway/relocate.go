package gateway

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/currantwood/currantwood/balancer"
	"github.com/currantwood/currantwood/budgeter"
	"github.com/currantwood/currantwood/upstreamkeeper"
)

const (
	// relocationInterval is the time between two searches for runs that should be elsewhere.
	relocationInterval = 250 * time.Millisecond
	// minRelocationPause is the time from a relocation of a run that failed to the next; it
	// doubles with each. A run takes up to 20 s, and others leave room only as they end.
	minRelocationPause = time.Second
	// maxEvacuations bounds the runs of evacuated zones that a gateway moves at once: their
	// copies delay those of runs whose engines leave.
	maxEvacuations = 4
	// relocationResponseTimeout is how long the target of a relocation may take to respond.
	// Its exchange ends then, so that both engines run the request for less than the 400 ms
	// that are allowed. It is above the 24 ms of a round trip between regions.
	relocationResponseTimeout = 150 * time.Millisecond
)

// moveCause is why a run should go on at another engine, as it appears in log lines.
type moveCause string

const (
	noCause        moveCause = "none"
	upstreamLeaves moveCause = "upstream leaves"
	outsideRegions moveCause = "outside the allowed regions"
	zoneEvacuated  moveCause = "zone evacuated"
)

// causeOfMove returns why the run should go on elsewhere than at an upstream, by what is known
// now.
func (s *stream) causeOfMove(from *upstreamStream) moveCause {
	now, regions := s.g.Now(), s.regions()
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	switch {
	case !s.g.isCurrent(from.view):
		return upstreamLeaves
	case !regions.Admits(s.g.Settings.Regions[from.view.Zone]):
		return outsideRegions
	case s.g.evacuations.IsEvacuated(now, from.view.Zone):
		return zoneEvacuated
	}
	return noCause
}

// placedRun is a run and the upstream at which it is.
type placedRun struct {
	*stream
	view upstreamkeeper.View
	// evacuated is whether the zone of the upstream is evacuated.
	evacuated bool
}

// relocateRuns starts to move runs that are outside the regions which the newest configuration
// allows them, and those in evacuated zones while the retry budget has enough left for
// failures. A run that no engine has room for stays where it is.
func (g *Gateway) relocateRuns(now time.Time) {
	if now.Sub(g.relocatedAt) < relocationInterval {
		return
	}
	g.relocatedAt = now
	runs := g.runsToRelocate(now)
	slices.SortFunc(runs, func(a, b placedRun) int { return int(b.eventsLeft() - a.eventsLeft()) })
	for _, run := range runs {
		outside := !run.regions().Admits(g.Settings.Regions[run.view.Zone])
		if outside || run.evacuated && g.evacuating.Load() < maxEvacuations && g.allowsRelocation(now, run.stream) {
			g.relocate(now, run.stream, !outside)
		}
	}
}

// runsToRelocate returns the runs in evacuated zones, and those that an earlier configuration
// than the newest has placed, if they may be moved now.
func (g *Gateway) runsToRelocate(now time.Time) []placedRun {
	newest := g.Configuration.Current()
	g.mu.Lock()
	defer g.mu.Unlock()
	var runs []placedRun
	for id, streams := range g.streams {
		view, ok := g.upstreams.Get(id)
		if !ok || !view.LeavingSince.IsZero() {
			continue
		}
		evacuated := g.evacuations.IsEvacuated(now, view.Zone)
		for s := range streams {
			if (evacuated || s.snapshot != newest) && s.headerWritten.Load() && s.eventsLeft() >= minEventsLeft && !now.Before(s.relocateAfter) {
				runs = append(runs, placedRun{s, view, evacuated})
			}
		}
	}
	return runs
}

// allowsRelocation reports whether the retry budget allows a run to be moved that could stay.
func (g *Gateway) allowsRelocation(now time.Time, s *stream) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.Allows(now, s.group, budgeter.RelocatedRun)
}

// relocate starts to move a run. evacuated is whether it counts towards maxEvacuations.
func (g *Gateway) relocate(now time.Time, s *stream, evacuated bool) {
	g.mu.Lock()
	s.relocationPause = max(minRelocationPause, 2*s.relocationPause)
	s.relocateAfter = now.Add(s.relocationPause)
	g.mu.Unlock()
	count := int64(0)
	if evacuated {
		count = 1
	}
	s.startMoveBy(func(ctx context.Context, from *upstreamStream) {
		g.evacuating.Add(count)
		defer g.evacuating.Add(-count)
		s.moveRound(ctx, from)
		if !s.hasMoved(from) && g.leaves(from.view) {
			// It has begun to leave meanwhile, and startMove found this move under way.
			s.move(ctx, from)
		}
	})
}

// hasMoved reports whether the stream goes on elsewhere than at an upstream, or has ended.
func (s *stream) hasMoved(from *upstreamStream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.finished || s.next != nil || s.current != from || from.handedOver.Load()
}

// stayAtSource ends the exchange of a, of which r is the result, and leaves the run where it
// is. Its upstream stays, so the run would be put at risk if it ended there before another
// engine responds.
func (s *stream) stayAtSource(a *resumeAttempt, r resumeResult) {
	if r.err == nil {
		r.opened.exchange.Abort()
		s.recordEnd(r.opened.view, r.opened.load, balancer.Neutral)
	}
	s.g.instruments.relocationsUnanswered.Inc(1)
	s.log("run not moved: the engine has not responded in time", append(a.fields, zap.NamedError("resume-error", r.err), zap.Duration("after-resume", s.g.Now().Sub(a.sentAt)))...)
	s.freeCopy(a.copied)
}
