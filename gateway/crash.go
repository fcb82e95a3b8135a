package gateway

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/crashkeeper"
	"github.com/currantwood/currantwood/upstreamkeeper"
)

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
// unless crashDoubt finds another reason.
func (q *request) recordCrash(f failure) {
	q.g.mu.Lock()
	now := q.g.Now()
	doubt := q.crashDoubt(now, f)
	var crash crashkeeper.Crash
	var record crashkeeper.RecordResult
	if doubt == "" {
		crash, record = q.g.crashes.RecordFailure(now, crashkeeper.Failure{Fingerprint: q.fingerprint, Upstream: f.view.ID, Incarnation: f.view.Incarnation, SentAt: f.sentAt, Broken: f.broken})
	}
	q.g.mu.Unlock()
	fields := []zap.Field{fingerprintField(q.fingerprint), zap.String("upstream", string(f.view.ID)), zap.Int64("incarnation", f.view.Incarnation)}
	if doubt != "" {
		q.log("failure not counted as a crash", append(fields, zap.String("reason", doubt))...)
		return
	}
	if record.New {
		q.g.instruments.crashesRecorded.Inc(1)
	}
	q.log("crash recorded", append(fields, zap.Uint32("unseen-restarts", crash.UnseenRestarts), zap.Int("crashes", record.Count), zap.Bool("new", record.New))...)
}

// crashDoubt returns why the failure of an exchange isn't counted as a crash of
// the upstream; empty if it is. An upstream that is gone or has restarted did
// crash. One that is leaving is cut off at its end, so its failures count only in
// the first half of the drain time, and after that if it fell silent before its
// record was removed without an announcement. The caller holds the gateway's mu.
func (q *request) crashDoubt(now time.Time, f failure) string {
	if q.clientDisconnected() {
		return "client disconnected"
	}
	known, ok := q.g.upstreams.Get(f.view.ID)
	if !ok || known.Incarnation != f.view.Incarnation || known.LeavingSince.IsZero() {
		return ""
	}
	draining := now.Sub(known.LeavingSince)
	if draining <= q.g.Settings.Bounds.DrainTime/2 {
		return ""
	}
	if known.LeaveAnnounced || f.lastEventAt.After(known.LeavingSince) {
		return "upstream was leaving"
	}
	return ""
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
func (g *Gateway) RecentCrashes(now time.Time) []crashkeeper.Crash {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.crashes.Recent(now)
}

// RecordCrashes records crashes that another gateway has seen.
func (g *Gateway) RecordCrashes(now time.Time, from currantwood.VMID, crashes []crashkeeper.Crash) {
	for _, c := range crashes {
		g.mu.Lock()
		record := g.crashes.Record(now, c)
		g.mu.Unlock()
		if record.New {
			g.instruments.crashesLearned.Inc(1)
			g.Logger.Info("crash learned", zap.String("from", string(from)), fingerprintField(c.Fingerprint), zap.String("upstream", string(c.Upstream)), zap.Int64("incarnation", c.Incarnation), zap.Int("crashes", record.Count))
		}
	}
}
