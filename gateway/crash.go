package gateway

import (
	"context"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/abandonkeeper"
	"github.com/currantwood/currantwood/crashkeeper"
	"github.com/currantwood/currantwood/eventsplitter"
	"github.com/currantwood/currantwood/memorykeeper"
	"github.com/currantwood/currantwood/upstreamkeeper"
)

// beginTime is how long after its first event a stream counts as begun well: no part of
// its prompt crashes upstreams.
const beginTime = time.Second

// failure is an exchange with an upstream that ended without a whole response.
type failure struct {
	view   upstreamkeeper.View
	sentAt time.Time
	// firstEventAt and lastEventAt are when the first and the last event of a stream
	// arrived; zero if none did.
	firstEventAt, lastEventAt time.Time
	// broken is whether the upstream closed the connection, rather than that this
	// gateway stopped waiting.
	broken bool
}

// suspects returns those of the request that may be the cause. An upstream that a part
// of a prompt crashes does so when it begins to write the answer: a stream that had
// gone on for beginTime was only beside the crash.
func (f failure) suspects(now time.Time, all []currantwood.Suspect) []currantwood.Suspect {
	if f.firstEventAt.IsZero() || now.Sub(f.firstEventAt) < beginTime {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), func(s currantwood.Suspect) bool { return s.Kind == currantwood.SuspectPart })
}

// sinceFirstEvent returns the log field for how long the upstream had sent events when
// the exchange failed; -1 ms if it had sent none.
func (f failure) sinceFirstEvent(now time.Time) zap.Field {
	since := -time.Millisecond
	if !f.firstEventAt.IsZero() {
		since = now.Sub(f.firstEventAt)
	}
	return zap.Duration("since-first-event", since)
}

// recordCrash records the failure of an exchange as a crash of the upstream, for each
// suspect that may be the cause, unless crashDoubt finds another reason. If this
// gateway stopped the run since the client left, the run is kept until the upstream
// turns out to have crashed; see recordAbandoned. So is one without a body that timed
// out: many requests may share its path, and would all be blocked if the upstreams only
// hang.
func (q *request) recordCrash(f failure) {
	q.g.mu.Lock()
	now := q.g.Now()
	stopped := q.clientDisconnected() || !f.broken && len(q.body) == 0
	if stopped && !q.g.hasCrashed(f) {
		dropped := q.g.abandoned.Add(f.view.ID, abandonkeeper.Run{Suspects: f.suspects(now, q.suspects), Incarnation: f.view.Incarnation, SentAt: f.sentAt, AbandonedAt: now})
		q.g.mu.Unlock()
		if dropped > 0 {
			q.log("stopped runs forgotten, too many at an upstream", zap.String("upstream", string(f.view.ID)), zap.Int("runs", dropped))
		}
		return
	}
	doubt := q.g.crashDoubt(now, f)
	suspects := q.g.crashes.KnownFirst(f.suspects(now, q.suspects))
	q.g.mu.Unlock()
	if doubt != "" {
		q.log("failure not counted as a crash", append(suspectFields(q.suspects[0]), zap.String("upstream", string(f.view.ID)), zap.Int64("incarnation", f.view.Incarnation), zap.String("reason", doubt), f.sinceFirstEvent(now))...)
		return
	}
	recurrent, unlogged := false, 0
	for i, suspect := range suspects {
		record, fields := q.g.recordFailure(now, crashkeeper.Failure{Suspect: suspect, Upstream: f.view.ID, Incarnation: f.view.Incarnation, SentAt: f.sentAt, Broken: f.broken})
		recurrent = recurrent || record.New && record.Recurrent
		if i >= maxLoggedSuspects && !record.Recurrent {
			unlogged++
			continue
		}
		q.log("crash recorded", append(fields, zap.Any("parts", q.loggedParts()), zap.Int("all-parts", len(q.client.SharedParts)), f.sinceFirstEvent(now))...)
	}
	if unlogged > 0 {
		q.log("crash recorded for further suspects", zap.String("upstream", string(f.view.ID)), zap.Int("suspects", unlogged))
	}
	if recurrent {
		// Before the client hears of the failure and sends the request again: all
		// gateways may end meanwhile.
		q.g.saveCrashes(context.WithoutCancel(q.r.Context()))
	}
}

// maxLoggedSuspects is the number of suspects of one failure that have a line of their own in the
// log although no other upstream has crashed with them, and of parts in each line.
const maxLoggedSuspects = 20

// loggedParts returns the first parts of the prompt, for log lines.
func (q *request) loggedParts() []currantwood.PartID {
	return q.client.SharedParts[:min(len(q.client.SharedParts), maxLoggedSuspects)]
}

// recordBrokenBody records a body that wasn't read to its end because of err as a
// crash, unless this gateway stopped reading since it was too long.
func (q *request) recordBrokenBody(err error, f failure) {
	if errors.Is(err, memorykeeper.ErrBodyTooLong) || errors.Is(err, memorykeeper.ErrExhausted) || errors.Is(err, eventsplitter.ErrEventTooLong) {
		return
	}
	q.recordCrash(f)
}

// hasCrashed reports whether the upstream of a failed exchange is known to have
// ended without an announcement. The caller holds mu.
func (g *Gateway) hasCrashed(f failure) bool {
	known, ok := g.upstreams.Get(f.view.ID)
	if !ok || known.Incarnation != f.view.Incarnation {
		return true
	}
	return !known.LeavingSince.IsZero() && !known.LeaveAnnounced && !f.lastEventAt.After(known.LeavingSince)
}

// crashDoubt returns why the failure of an exchange isn't counted as a crash of
// the upstream; empty if it is. One that is leaving is cut off at its end, so its
// failures count only in the first half of the drain time, and after that if it
// fell silent before its record was removed without an announcement. The caller
// holds mu.
func (g *Gateway) crashDoubt(now time.Time, f failure) string {
	if g.hasCrashed(f) {
		return ""
	}
	known, _ := g.upstreams.Get(f.view.ID)
	if !known.LeavingSince.IsZero() && now.Sub(known.LeavingSince) > g.Settings.Bounds.DrainTime/2 {
		return "upstream was leaving"
	}
	return ""
}

// recordAbandoned records the end of an upstream that wasn't announced as a crash
// for each request whose run there this gateway had stopped. record is that of
// the new incarnation, or the last one if the upstream was removed.
func (g *Gateway) recordAbandoned(now time.Time, record currantwood.UpstreamRecord) {
	g.mu.Lock()
	running := record.Incarnation
	if view, ok := g.upstreams.Get(record.ID); !ok || !view.LeavingSince.IsZero() {
		running = 0
	}
	g.mu.Unlock()
	g.recordEnded(now, record.ID, running)
}

// recordEnded records the end of an upstream as a crash for each request whose run
// there this gateway had stopped. running is the incarnation that runs now; 0 if none
// is known to.
func (g *Gateway) recordEnded(now time.Time, upstream currantwood.UpstreamID, running int64) {
	g.mu.Lock()
	runs := g.abandoned.Take(now, upstream, running)
	for i := range runs {
		runs[i].Suspects = g.crashes.KnownFirst(runs[i].Suspects)
	}
	g.mu.Unlock()
	for _, run := range runs {
		for _, suspect := range run.Suspects {
			_, fields := g.recordFailure(now, crashkeeper.Failure{Suspect: suspect, Upstream: upstream, Incarnation: run.Incarnation, SentAt: run.SentAt, Broken: true})
			g.Logger.Info("crash recorded after the run was stopped", append(fields, zap.Duration("since-stopped", now.Sub(run.AbandonedAt)))...)
		}
	}
}

// noteRefusedConnection records the end of an upstream that refuses connections: no
// process listens at its address. The store may not show this, or only later.
func (g *Gateway) noteRefusedConnection(now time.Time, view upstreamkeeper.View, err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	g.mu.Lock()
	known, ok := g.upstreams.Get(view.ID)
	g.mu.Unlock()
	if ok && known.Incarnation == view.Incarnation && !known.LeaveAnnounced {
		g.recordEnded(now, view.ID, 0)
	}
}

// recordFailure records a failure seen by this gateway as a crash, counts it and
// returns its log fields, too.
func (g *Gateway) recordFailure(now time.Time, f crashkeeper.Failure) (crashkeeper.RecordResult, []zap.Field) {
	g.mu.Lock()
	crash, record := g.crashes.RecordFailure(now, f)
	g.mu.Unlock()
	if record.New {
		g.instruments.crashesRecorded.Inc(1)
	}
	return record, append(suspectFields(crash.Suspect),
		zap.String("upstream", string(crash.Upstream)), zap.Int64("incarnation", crash.Incarnation),
		zap.Uint32("unseen-restarts", crash.UnseenRestarts), zap.Int("crashes", record.Count), zap.Bool("new", record.New))
}

// recordCompletion notes that an upstream ran the request to the end. begunAt is when it
// began to write the answer; parts of the prompt crash upstreams only then.
func (q *request) recordCompletion(begunAt time.Time) {
	now := q.g.Now()
	q.clearSuspects(now, func(kind currantwood.SuspectKind) (time.Time, bool) {
		if kind == currantwood.SuspectPart {
			return begunAt, true
		}
		return now, true
	})
}

// recordBegun notes that a stream that began at begunAt has gone on for beginTime.
func (q *request) recordBegun(begunAt time.Time) {
	q.clearSuspects(q.g.Now(), func(kind currantwood.SuspectKind) (time.Time, bool) {
		return begunAt, kind == currantwood.SuspectPart
	})
}

// clearSuspects notes that an upstream didn't crash with suspects of the request. at returns at
// what time it didn't with those of a kind, and whether that is known of them.
func (q *request) clearSuspects(now time.Time, at func(kind currantwood.SuspectKind) (time.Time, bool)) {
	var cleared []currantwood.Suspect
	q.g.mu.Lock()
	for _, suspect := range q.suspects {
		if completedAt, known := at(suspect.Kind); known && q.g.crashes.RecordCompletion(now, suspect, completedAt) {
			cleared = append(cleared, suspect)
		}
	}
	q.g.mu.Unlock()
	for _, suspect := range cleared {
		q.log("suspect cleared", suspectFields(suspect)...)
	}
}
