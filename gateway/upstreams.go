package gateway

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/upstreamkeeper"
)

// recordsPerLock is the number of records that are applied at a time. In a large
// directory, all of them take longer than streams may pause.
const recordsPerLock = 64

// ApplyUpstreamRecords applies new records of the directory in order and returns those that
// other gateways must hear of: they say something new, here or to a gateway that doesn't know
// what the upstream has said itself.
func (g *Gateway) ApplyUpstreamRecords(now time.Time, records []currantwood.KeyedRecord) []currantwood.KeyedRecord {
	var news []currantwood.KeyedRecord
	var events []upstreamkeeper.Event
	for part := range slices.Chunk(records, recordsPerLock) {
		g.mu.Lock()
		for _, record := range part {
			changes, isNews := g.upstreams.ApplyRecord(now, record)
			events = append(events, changes...)
			if isNews {
				news = append(news, record)
			}
		}
		g.mu.Unlock()
	}
	g.mu.Lock()
	g.handleEventsAndUnlock(now, events)
	return news
}

// ReplaceUpstreamRecords replaces the known upstreams by a full read of the
// directory, which has the newest record of each.
func (g *Gateway) ReplaceUpstreamRecords(now time.Time, records []currantwood.KeyedRecord) {
	if !g.directoryLoaded.Load() {
		g.loadUpstreamRecords(now, records)
		return
	}
	g.ApplyUpstreamRecords(now, records)
	g.mu.Lock()
	g.handleEventsAndUnlock(now, g.upstreams.RemoveMissing(now, records))
}

// loadUpstreamRecords applies the first full read of the directory. It logs one line, as
// one for each upstream would take longer than the reading.
func (g *Gateway) loadUpstreamRecords(now time.Time, records []currantwood.KeyedRecord) {
	g.mu.Lock()
	events := g.upstreams.Apply(now, records)
	g.balancer.SetUpstreams(g.upstreams.Available())
	warmUps := g.noteWarmUps(now, events)
	g.handleEventsAndUnlock(now, g.markLeavingAgain(now, events))
	g.logWarmUps("", warmUps...)
	g.Logger.Info("directory read", zap.Int("records", len(records)), zap.Int("upstreams", len(events)))
	g.directoryLoaded.Store(true)
}

// DirectoryRecovered records that the directory answers again after an outage.
func (g *Gateway) DirectoryRecovered(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.upstreams.DirectoryRecovered(now)
}

// UpstreamsToPoll returns the engines that run movable streams and are not known
// to be leaving. Those that want no requests for now aren't asked.
func (g *Gateway) UpstreamsToPoll() []upstreamkeeper.View {
	snapshot := g.Configuration.Current()
	if snapshot == nil {
		return nil
	}
	now := g.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var views []upstreamkeeper.View
	for id, streams := range g.streams {
		view, ok := g.upstreams.Get(id)
		if !ok || len(streams) == 0 || !view.LeavingSince.IsZero() || g.notices.IsPaused(now, id, view.Incarnation) {
			continue
		}
		// Only engines that can move runs report their state.
		if engine := snapshot.Groups[view.Group].Engine; engine != nil && engine.Moves {
			views = append(views, view)
		}
	}
	return views
}

// ApplyUpstreamState applies the state that an upstream reported about itself.
func (g *Gateway) ApplyUpstreamState(now time.Time, id currantwood.UpstreamID, state currantwood.UpstreamState) {
	g.noteStateWarmUp(now, id, state)
	g.mu.Lock()
	g.handleEventsAndUnlock(now, g.upstreams.ApplyState(now, id, state))
}

// Tick does the work that is due by time alone: it ejects stalled upstreams,
// removes those whose lapsed records were not written again in time, refuses waiting requests
// whose keys were withdrawn, offers room to the others, and closes idle connections.
func (g *Gateway) Tick(now time.Time) {
	g.mu.Lock()
	if snapshot := g.Configuration.Current(); snapshot != nil {
		g.syncGroups(snapshot)
	}
	warmUps := g.warmUps.Tick(now)
	stalled := g.balancer.EjectStalled(now)
	var affected []*stream
	for _, id := range stalled {
		affected = append(affected, g.streamsAt(id)...)
	}
	events := g.upstreams.Tick(now)
	g.abandoned.DeleteExpired(now)
	g.refuseWithdrawn(now)
	g.offerOverdue(now)
	g.handleEventsAndUnlock(now, events)
	g.logWarmUps("", warmUps...)
	for _, id := range stalled {
		g.Logger.Warn("upstream makes no progress, excluded from balancing", zap.String("upstream", string(id)))
	}
	for _, s := range affected {
		s.cancelStalled()
	}
	g.logEndedPauses(now)
	g.expireEvacuations(now)
	g.relocateRuns(now)
	g.moveSilent(now)
	g.refreshLosses(now)
	g.boundIdleConnections()
	g.Connections.CloseExpired(now)
}

// handleEventsAndUnlock updates the balancer and the connections, and moves
// streams away from upstreams that leave or are gone. The caller holds mu,
// which it releases.
func (g *Gateway) handleEventsAndUnlock(now time.Time, events []upstreamkeeper.Event) {
	events = append(events, g.markLeavingAgain(now, events)...)
	if len(events) > 0 {
		g.balancer.SetUpstreams(g.upstreams.Available())
		known := func(id currantwood.UpstreamID) bool { _, known := g.upstreams.Get(id); return known }
		g.rates.Forget(known)
		g.warmUps.Forget(known)
	}
	warmUps := g.noteWarmUps(now, events)
	g.noteLeavingUpstreams(now, events)
	var leaving, restarted []*stream
	var crashed []currantwood.UpstreamRecord
	for _, e := range events {
		if g.endedUnannounced(e) {
			crashed = append(crashed, e.Record)
		}
		if e.Change == upstreamkeeper.Leaving || e.Change == upstreamkeeper.Removed {
			leaving = append(leaving, g.streamsAt(e.Record.ID)...)
		}
		if e.Change == upstreamkeeper.Restarted {
			restarted = append(restarted, g.streamsAt(e.Record.ID)...)
		}
	}
	g.mu.Unlock()
	for _, e := range events {
		g.Logger.Info("upstream changed", zap.String("upstream", string(e.Record.ID)), zap.String("group", string(e.Record.Group)), zap.Stringer("change", e.Change), zap.String("address", e.Record.Address), zap.String("version", string(e.Record.Version)))
		if e.Change == upstreamkeeper.Restarted || e.Change == upstreamkeeper.Leaving {
			g.Connections.CloseIdle(e.Record.Address)
		}
	}
	g.logWarmUps("", warmUps...)
	for _, record := range crashed {
		g.recordAbandoned(now, record)
	}
	for _, s := range restarted {
		// A stream that the former incarnation sent would have broken off.
		s.forgetVersion()
	}
	g.moveStreams(leaving)
}

// endedUnannounced reports whether an event shows that an incarnation has ended
// without an announcement: it restarted, or its record was removed. The caller
// holds mu.
func (g *Gateway) endedUnannounced(e upstreamkeeper.Event) bool {
	view, _ := g.upstreams.Get(e.Record.ID)
	return e.Change == upstreamkeeper.Restarted || e.Change == upstreamkeeper.Removed && !view.LeaveAnnounced
}

func (g *Gateway) streamsAt(id currantwood.UpstreamID) []*stream {
	var list []*stream
	for s := range g.streams[id] {
		list = append(list, s)
	}
	return list
}
