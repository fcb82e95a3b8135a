// Package connlimiter applies the limits of clients to the listener and the handler of one
// HTTP server: it bounds the open connections and the memory of request heads, counts the
// fields of a head before net/http parses them, and ends connections that make no
// progress. What is decided, and in which order, is in packages headcounter, progressmeter
// and victimpicker.
//
// A status that it sends itself (431, 408, 503) is sent only for requests that no handler
// has seen, so they haven't run.
package connlimiter

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/currantwood/currantwood/ingress/apportioner"
	"github.com/currantwood/currantwood/ingress/headcounter"
)

const (
	// logInterval is the least time between two log lines of a Limiter.
	logInterval = 10 * time.Second
	// maxSweepGap is the longest time between two calls of Sweep that counts. A process that
	// was frozen has left unread what clients have sent meanwhile.
	maxSweepGap = time.Second
	// reclaimPause is the least time between two bodies that are given up: the first may
	// leave enough room, and many requests may ask at once.
	reclaimPause = 5 * time.Millisecond
)

// Options configures a Limiter.
type Options struct {
	// Name names the listener in log lines.
	Name   string
	Shares apportioner.Shares
	Now    func() time.Time
	Logger *zap.Logger
	// Metrics may be shared by several limiters, whose counts are added up.
	Metrics metrics.Registry
}

// Limiter limits the connections of one listener. It is safe for concurrent use.
type Limiter struct {
	options    Options
	headLimits headcounter.Limits
	// setOption is unix.SetsockoptInt, except in tests of its failure.
	setOption func(fd, level, option, value int) error
	instruments

	// mu guards the fields below. It may be taken while conn.mu is held, but not the other
	// way round.
	mu    sync.Mutex
	conns map[*conn]struct{}
	// loggedAt is when the last log line was written, and unlogged counts the events since.
	loggedAt time.Time
	unlogged events
	// sweptAt is when Sweep was last called; zero before.
	sweptAt time.Time
	// reclaimedAt is when a body was last given up; zero before.
	reclaimedAt time.Time

	// picking is held while a connection is chosen and ended. Each choice lists all
	// connections, and a crowd whose heads arrive at once would make as many lists. It is taken
	// before conn.mu.
	picking sync.Mutex
	choice  choice

	// headBytes is the estimated memory of the heads that arrive or run.
	headBytes atomic.Int64
	// wide counts the connections with wide buffers.
	wide atomic.Int64
}

// New returns a Limiter without connections.
func New(options Options) *Limiter {
	limits := options.Shares.Limits
	return &Limiter{
		options:     options,
		headLimits:  headcounter.Limits{Bytes: limits.HeadBytes, Fields: limits.HeadFields},
		setOption:   unix.SetsockoptInt,
		instruments: newInstruments(options.Metrics),
		conns:       make(map[*conn]struct{}),
	}
}

// Listen returns the listener whose connections are limited.
func (l *Limiter) Listen(listener net.Listener) net.Listener { return limitedListener{listener, l} }

// MaxHeadBytes is the server's MaxHeaderBytes.
func (l *Limiter) MaxHeadBytes() int { return l.headLimits.Bytes }

// connKey is the key of a request's connection in its context.
type connKey struct{}

// ConnContext is the server's ConnContext.
func (*Limiter) ConnContext(ctx context.Context, c net.Conn) context.Context {
	if limited := limitedConn(c); limited != nil {
		return context.WithValue(ctx, connKey{}, limited)
	}
	return ctx
}

// NoteState is the server's ConnState.
func (l *Limiter) NoteState(c net.Conn, state http.ConnState) {
	limited := limitedConn(c)
	if limited == nil || state != http.StateIdle {
		return
	}
	now := l.options.Now()
	if !l.addHead(now, limited.becomeIdle(now)) {
		l.note(now, connectionRefused)
		_ = limited.Close()
	}
}

// Handler returns the server's handler, which calls next.
func (l *Limiter) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, limited := r.Context().Value(connKey{}).(*conn)
		if !limited {
			next.ServeHTTP(w, r)
			return
		}
		hasBody := r.Body != nil && r.Body != http.NoBody
		if !c.beginRequest(l.options.Now(), hasBody, r.ContentLength) {
			// The connection was dropped while its head was parsed.
			panic(http.ErrAbortHandler)
		}
		if !l.chargeParsed(c, r.Header) {
			l.note(l.options.Now(), connectionRefused)
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if hasBody {
			r.Body = &body{r.Body, c}
		}
		next.ServeHTTP(w, r)
	})
}

// chargeParsed charges for the fields of a parsed head that weren't counted as they
// arrived, since net/http had read them together with the request before. It reports false
// if there is no memory for them.
func (l *Limiter) chargeParsed(c *conn, header http.Header) bool {
	fields := 0
	for _, values := range header {
		fields += len(values)
	}
	return l.addHead(l.options.Now(), c.chargeFields(fields))
}

// Sweep ends connections that haven't made the least progress. It must be called
// regularly; each connection ends within the time between two calls after it may.
func (l *Limiter) Sweep() {
	now := l.options.Now()
	gap := l.noteSweep(now)
	for _, c := range l.connections() {
		if gap > maxSweepGap {
			c.extend(now, gap)
			continue
		}
		if event, expired := c.expire(now); expired {
			l.note(now, event)
		}
	}
}

// noteSweep returns the time since the last call of Sweep.
func (l *Limiter) noteSweep(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	gap := time.Duration(0)
	if !l.sweptAt.IsZero() {
		gap = now.Sub(l.sweptAt)
	}
	l.sweptAt = now
	return gap
}

// note counts an event, and logs all events since the last line if that is long enough
// ago.
func (l *Limiter) note(now time.Time, e event) {
	l.counters[e].Inc(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unlogged[e]++
	if now.Sub(l.loggedAt) < logInterval {
		return
	}
	l.options.Logger.Warn("connections limited", append(l.unlogged.fields(),
		zap.String("listener", l.options.Name), zap.Int("open", len(l.conns)), zap.Int64("head-bytes", l.headBytes.Load()))...)
	l.loggedAt, l.unlogged = now, events{}
}
