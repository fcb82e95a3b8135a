// Package drainer delays the shutdown of an HTTP server while requests still arrive.
// net/http closes an idle connection, and the listener with the connections that it
// hasn't accepted, without looking whether a request waits there unread: one that a client
// has sent long ago may not have been read, if the process got little processor time.
package drainer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/currantwood/currantwood/sleeper"
)

const (
	// quietTime is how long no request must have arrived.
	quietTime = 250 * time.Millisecond
	// maxQuietWait bounds the wait for quietTime, as clients may go on sending.
	maxQuietWait = 1500 * time.Millisecond
	// checkInterval is the time between two checks.
	checkInterval = 25 * time.Millisecond
	// acceptTime is how long a connection may be known neither to the kernel's queue nor to
	// the server, since Accept hasn't returned it yet.
	acceptTime = 100 * time.Millisecond
)

// Drainer notes when requests arrive and which connections may have unread ones. It is safe
// for concurrent use.
type Drainer struct {
	// last is when the last request arrived, as the UnixNano of the caller's clock; 0
	// before the first.
	last atomic.Int64

	mu sync.Mutex
	// listener is the one that Listen has wrapped; nil before.
	listener net.Listener
	// idle holds the open connections on which the server serves no request.
	idle map[*conn]struct{}
}

// New returns a Drainer without requests.
func New() *Drainer { return &Drainer{idle: make(map[*conn]struct{})} }

// Listen returns the listener that the server must serve, so that connections that it hasn't
// accepted yet and requests that it hasn't read yet are known.
func (d *Drainer) Listen(listener net.Listener) net.Listener {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listener = listener
	return drainedListener{listener}
}

// NoteState is the server's ConnState.
func (d *Drainer) NoteState(c net.Conn, state http.ConnState) {
	drained, ok := c.(*conn)
	if !ok {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	switch state {
	case http.StateNew:
		d.idle[drained] = struct{}{}
	case http.StateIdle:
		drained.begun.Store(false)
		d.idle[drained] = struct{}{}
	case http.StateActive, http.StateHijacked, http.StateClosed:
		delete(d.idle, drained)
	}
}

// NoteRequest notes that a request has arrived.
func (d *Drainer) NoteRequest(now time.Time) { d.last.Store(now.UnixNano()) }

// IsQuiet reports whether no request has arrived for quietTime.
func (d *Drainer) IsQuiet(now time.Time) bool {
	return now.Sub(time.Unix(0, d.last.Load())) >= quietTime
}

// HasUnread reports whether a client may have sent a request that the server hasn't read
// whole, or has opened a connection that it hasn't accepted.
func (d *Drainer) HasUnread() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if isReadable(d.listener) {
		return true
	}
	for c := range d.idle {
		if c.begun.Load() || isReadable(c.Conn) {
			return true
		}
	}
	return false
}

// Wait waits until it is quiet, for maxQuietWait at most, and nothing was unread for
// acceptTime, or until ctx is done. now reads the clock of NoteRequest.
func (d *Drainer) Wait(ctx context.Context, now func() time.Time) {
	began := now()
	unreadAt := began
	for {
		if d.HasUnread() {
			unreadAt = now()
		}
		quiet := d.IsQuiet(now()) || now().Sub(began) >= maxQuietWait
		if quiet && now().Sub(unreadAt) >= acceptTime {
			return
		}
		if !sleeper.Sleep(ctx, checkInterval) {
			return
		}
	}
}

// drainedListener returns connections whose reads are noted.
type drainedListener struct{ net.Listener }

func (l drainedListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: accepted}, nil
}

// conn notes whether a request has begun to arrive.
type conn struct {
	net.Conn
	// begun is whether bytes were read since the connection was new or became idle.
	begun atomic.Bool
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.begun.Store(true)
	}
	return n, err
}

// NetConn returns the connection whose reads are noted.
func (c *conn) NetConn() net.Conn { return c.Conn }
