package gateway

import (
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/abandonkeeper"
	"github.com/currantwood/currantwood/crashkeeper"
	"github.com/currantwood/currantwood/eventsplitter"
	"github.com/currantwood/currantwood/upstreamkeeper"
)

// crashLoadTimeout is how long a gateway waits for the crashes in the store before
// it serves without them.
const crashLoadTimeout = 2 * time.Second

// computeFingerprint hashes the path, the customer and the body. Without a body,
// the query tells requests apart in its place. The host isn't included: a route
// may move to another.
func (q *request) computeFingerprint() currantwood.Fingerprint {
	path, query, _ := strings.Cut(q.requestTarget(), "?")
	content := q.body
	if len(content) == 0 {
		content = []byte("?" + query)
	}
	h := xxhash.New()
	for _, part := range []string{path, string(q.customer)} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(content)
	return currantwood.Fingerprint(h.Sum64())
}

// blocked reports whether so many upstreams have crashed while they ran the
// request that it must not be sent to another.
func (q *request) blocked() bool {
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	return q.g.crashes.Blocked(q.g.Now(), q.fingerprint)
}

// failure is an exchange with an upstream that ended without a whole response.
type failure struct {
	view   upstreamkeeper.View
	sentAt time.Time
	// lastEventAt is when the last event of a stream arrived; zero if none did.
	lastEventAt time.Time
	// broken is whether the upstream closed the connection, rather than that this
	// gateway stopped waiting.
	broken bool
}

// recordCrash records the failure of an exchange as a crash of the upstream,
// unless crashDoubt finds another reason. If this gateway stopped the run since the
// client left, the run is kept until the upstream turns out to have crashed; see
// recordAbandoned. So is one without a body that timed out: many requests may share
// its path, and would all be blocked if the upstreams only hang.
func (q *request) recordCrash(f failure) {
	q.g.mu.Lock()
	now := q.g.Now()
	stopped := q.clientDisconnected() || !f.broken && len(q.body) == 0
	if stopped && !q.g.hasCrashed(f) {
		q.g.abandoned.Add(f.view.ID, abandonkeeper.Run{Fingerprint: q.fingerprint, Incarnation: f.view.Incarnation, SentAt: f.sentAt, AbandonedAt: now})
		q.g.mu.Unlock()
		return
	}
	doubt := q.g.crashDoubt(now, f)
	var crash crashkeeper.Crash
	var record crashkeeper.RecordResult
	if doubt == "" {
		crash, record = q.g.crashes.RecordFailure(now, crashkeeper.Failure{Fingerprint: q.fingerprint, Upstream: f.view.ID, Incarnation: f.view.Incarnation, SentAt: f.sentAt, Broken: f.broken})
	}
	q.g.mu.Unlock()
	if doubt != "" {
		q.log("failure not counted as a crash", fingerprintField(q.fingerprint), zap.String("upstream", string(f.view.ID)), zap.Int64("incarnation", f.view.Incarnation), zap.String("reason", doubt))
		return
	}
	q.log("crash recorded", q.g.crashFields(crash, record)...)
}

// recordBrokenBody records a body that wasn't read to its end because of err as a
// crash, unless this gateway stopped reading since it was too long.
func (q *request) recordBrokenBody(err error, f failure) {
	if errors.Is(err, errResponseTooLong) || errors.Is(err, eventsplitter.ErrEventTooLong) {
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
	g.mu.Unlock()
	for _, run := range runs {
		g.mu.Lock()
		crash, result := g.crashes.RecordFailure(now, crashkeeper.Failure{Fingerprint: run.Fingerprint, Upstream: upstream, Incarnation: run.Incarnation, SentAt: run.SentAt, Broken: true})
		g.mu.Unlock()
		g.Logger.Info("crash recorded after the run was stopped", append(g.crashFields(crash, result), zap.Duration("since-stopped", now.Sub(run.AbandonedAt)))...)
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

// crashFields counts a crash seen by this gateway and returns its log fields.
func (g *Gateway) crashFields(crash crashkeeper.Crash, record crashkeeper.RecordResult) []zap.Field {
	if record.New {
		g.instruments.crashesRecorded.Inc(1)
	}
	return []zap.Field{
		fingerprintField(crash.Fingerprint), zap.String("upstream", string(crash.Upstream)), zap.Int64("incarnation", crash.Incarnation),
		zap.Uint32("unseen-restarts", crash.UnseenRestarts), zap.Int("crashes", record.Count), zap.Bool("new", record.New),
	}
}

// recordCompletion notes that an upstream ran the request to the end.
func (q *request) recordCompletion() {
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	q.g.crashes.RecordCompletion(q.g.Now(), q.fingerprint)
}

// fingerprintField formats a fingerprint for logs.
func fingerprintField(f currantwood.Fingerprint) zap.Field {
	return zap.String("fingerprint", strconv.FormatUint(uint64(f), 16))
}

// RecentCrashes returns the recent crashes to report to other gateways.
func (g *Gateway) RecentCrashes(now time.Time) []crashkeeper.AgedCrash {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.crashes.Recent(now)
}

// CrashSum returns a checksum of the crashes that all gateways must know.
func (g *Gateway) CrashSum(now time.Time) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.crashes.Sum(now)
}

// RecurrentCrashes returns up to limit of the crashes that all gateways must know,
// those after a fingerprint, and the last fingerprint included.
func (g *Gateway) RecurrentCrashes(now time.Time, after currantwood.Fingerprint, limit int) ([]crashkeeper.AgedCrash, currantwood.Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.crashes.RecurrentCrashes(now, after, limit)
}

// RecordCrashes records crashes that another gateway has reported.
func (g *Gateway) RecordCrashes(now time.Time, from currantwood.VMID, crashes []crashkeeper.AgedCrash) {
	for _, c := range crashes {
		g.mu.Lock()
		record := g.crashes.Record(now, c)
		g.mu.Unlock()
		if record.New {
			g.logLearned(string(from), c, record.Count)
		}
	}
}

// logLearned counts and logs a crash that this gateway didn't know. from is a VM or
// "store"; count is the number of crashes of the request, 0 if not determined.
func (g *Gateway) logLearned(from string, c crashkeeper.AgedCrash, count int) {
	g.instruments.crashesLearned.Inc(1)
	g.Logger.Info("crash learned", zap.String("from", from), fingerprintField(c.Fingerprint), zap.String("upstream", string(c.Upstream)), zap.Int64("incarnation", c.Incarnation), zap.Duration("age", c.Age), zap.Int("crashes", count))
}

// UnsavedCrashes returns up to limit requests whose crashes have to be saved in the
// store.
func (g *Gateway) UnsavedCrashes(now time.Time, limit int) []crashkeeper.Unsaved {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.crashes.Unsaved(now, limit)
}

// MarkCrashesSaved notes that crashes returned by UnsavedCrashes were saved.
func (g *Gateway) MarkCrashesSaved(saved []crashkeeper.Unsaved) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crashes.MarkSaved(saved)
}

// RecordSavedCrashes records the crashes of a request that the store holds.
func (g *Gateway) RecordSavedCrashes(now time.Time, request currantwood.Fingerprint, crashes []crashkeeper.AgedCrash) {
	g.mu.Lock()
	learned := g.crashes.RecordSaved(now, request, crashes)
	g.mu.Unlock()
	for _, c := range learned {
		g.logLearned("store", c, 0)
	}
}

// ForgetSavedCrashes notes that the store has come back from an older copy, so that
// crashes have to be saved again.
func (g *Gateway) ForgetSavedCrashes() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crashes.ForgetSaved()
}

// SetCrashesLoaded notes that the store's crashes have been read.
func (g *Gateway) SetCrashesLoaded() { g.crashesLoaded.Store(true) }

// awaitsCrashes reports whether the gateway must not send requests yet since it
// hasn't read the crashes in the store, which a former process may have saved. It
// waits for them no longer than crashLoadTimeout from when it first had a
// configuration, as without that it serves nothing anyway.
func (g *Gateway) awaitsCrashes(now time.Time) bool {
	if g.crashesLoaded.Load() {
		return false
	}
	if g.Configuration.Current() != nil {
		g.configuredAt.CompareAndSwap(0, now.UnixNano())
	}
	configuredAt := g.configuredAt.Load()
	return configuredAt == 0 || now.Sub(time.Unix(0, configuredAt)) < crashLoadTimeout
}
