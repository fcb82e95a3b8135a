package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/currantwood/currantwood/upstreamkeeper"
)

const (
	// relocationInterval is the time between two searches for runs that should be elsewhere.
	relocationInterval = 250 * time.Millisecond
	// minRelocationPause is the time from a relocation of a run that failed to the next; it
	// doubles with each. A run takes up to 20 s, and others leave room only as they end.
	minRelocationPause = time.Second
)

// relocateRuns starts to move runs that are outside the regions which the newest configuration
// allows them. A run that no engine has room for stays where it is. Runs in evacuated zones
// stay, too: a move costs retry budget and room that an evacuation leaves little of.
func (g *Gateway) relocateRuns(now time.Time) {
	if now.Sub(g.relocatedAt) < relocationInterval {
		return
	}
	g.relocatedAt = now
	for _, s := range g.runsOutsideRegions(now) {
		g.relocate(now, s)
	}
}

// runsOutsideRegions returns the runs that an earlier configuration than the newest has placed
// and that are outside their regions now, those with the most events left first.
func (g *Gateway) runsOutsideRegions(now time.Time) []*stream {
	newest := g.Configuration.Current()
	type placed struct {
		*stream
		view upstreamkeeper.View
	}
	var earlier []placed
	g.mu.Lock()
	for id, streams := range g.streams {
		view, ok := g.upstreams.Get(id)
		if !ok || !view.LeavingSince.IsZero() {
			continue
		}
		for s := range streams {
			if s.snapshot != newest && s.headerWritten.Load() && s.eventsLeft() >= minEventsLeft && !now.Before(s.relocateAfter) {
				earlier = append(earlier, placed{s, view})
			}
		}
	}
	g.mu.Unlock()
	var outside []*stream
	for _, run := range earlier {
		if !run.regions().Admits(g.Settings.Regions[run.view.Zone]) {
			outside = append(outside, run.stream)
		}
	}
	slices.SortFunc(outside, func(a, b *stream) int { return int(b.eventsLeft() - a.eventsLeft()) })
	return outside
}

// relocate starts to move a run.
func (g *Gateway) relocate(now time.Time, s *stream) {
	g.mu.Lock()
	s.relocationPause = max(minRelocationPause, 2*s.relocationPause)
	s.relocateAfter = now.Add(s.relocationPause)
	g.mu.Unlock()
	s.startMoveBy(func(ctx context.Context, from *upstreamStream) {
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
