// Package connkeeper keeps a pool of connections to upstreams and exchanges
// single requests and responses over them.
//
// It replaces the transport of net/http, which repeats a request by itself
// when a reused connection breaks, and hides bytes that follow a response.
// Requests that may run only once must not be repeated, and such bytes may be
// a response to another request. Responses are read by package responsereader.
package connkeeper

import (
	"bufio"
	"cmp"
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/memorykeeper"
	"github.com/currantwood/currantwood/responsereader"
)

const (
	// dialTimeout bounds the opening of a connection. A SYN dropped by a full
	// accept queue is retransmitted only after a second: waiting a little longer
	// wouldn't help.
	dialTimeout = 700 * time.Millisecond
	// defaultIdle is how long an upstream is assumed to keep an idle
	// connection open if it doesn't say.
	defaultIdle = 4 * time.Second
	// idleMargin is the last part of the time for which the upstream keeps an
	// idle connection open. The connection isn't used in it, as the upstream
	// might close it at the same moment.
	idleMargin = 1200 * time.Millisecond
	// MaxIdlePerAddress bounds the idle connections to one address, unless SetMaxIdle
	// sets a lower bound.
	MaxIdlePerAddress = 16
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 2048
	// doubtTime is how long an upstream stays doubted.
	doubtTime = 10 * time.Second
	// maxRefusedRequests is how many requests may be refused on a connection before it is
	// closed.
	maxRefusedRequests = 16
	// userTimeout is how long sent data may stay unacknowledged.
	userTimeout = 3 * time.Second
)

// KeepAlive detects within five seconds that the other end of an idle connection
// is gone.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

// Pool holds open connections to upstreams for reuse. It is safe for concurrent
// use.
type Pool struct {
	now    func() time.Time
	dialer net.Dialer
	memory *memorykeeper.Keeper
	mu     sync.Mutex
	// maxIdle bounds the idle connections to one address; protected by mu.
	maxIdle int
	// idle holds the unused connections to each address, the least recently
	// used first; protected by mu.
	idle map[string][]*conn
	// doubted holds until when each connection to an upstream is used for one request
	// only, as it sends refusals that name no request; protected by mu.
	doubted map[currantwood.UpstreamID]time.Time
}

// conn is a connection to an upstream. At most one exchange uses it at a time.
type conn struct {
	net.Conn
	// reader reads from arrivals, and responses from reader.
	reader    *bufio.Reader
	arrivals  *arrivalReader
	responses *responsereader.Reader
	upstream  currantwood.UpstreamID
	// used is whether a request was sent on the connection before the present one.
	used bool
	// refused holds the requests that were refused on the connection, at most
	// maxRefusedRequests.
	refused []currantwood.RequestID
	// usableUntil is when the connection may no longer be used for a new
	// exchange.
	usableUntil time.Time
}

// New returns an empty pool. memory bounds what is kept of responses that aren't whole.
func New(now func() time.Time, memory *memorykeeper.Keeper) *Pool {
	p := &Pool{now: now, memory: memory, maxIdle: MaxIdlePerAddress, idle: map[string][]*conn{}, doubted: map[currantwood.UpstreamID]time.Time{}}
	p.dialer = net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: KeepAlive,
		Control:         setUserTimeout,
	}
	return p
}

// Memory returns what bounds the responses that aren't whole.
func (p *Pool) Memory() *memorykeeper.Keeper { return p.memory }

// setUserTimeout sets TCP_USER_TIMEOUT, so that a connection fails if its other
// end is gone without closing it.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.WithStack(cmp.Or(err, failed))
}

// acquire returns a reusable idle connection to an upstream for a request, or opens one.
// The idle connections that it finds unusable are closed.
func (p *Pool) acquire(ctx context.Context, upstream currantwood.UpstreamID, address string, request currantwood.RequestID) (*conn, error) {
	for {
		c := p.popIdle(address)
		if c == nil {
			break
		}
		if p.mayReuse(c, upstream, request) {
			c.used = true
			return c, nil
		}
		_ = c.Close()
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	arrivals := &arrivalReader{source: raw, now: p.now}
	reader := bufio.NewReaderSize(arrivals, readBufferBytes)
	return &conn{Conn: raw, arrivals: arrivals, reader: reader, responses: responsereader.New(reader, p.memory), upstream: upstream}, nil
}

// mayReuse reports whether a connection that was idle may carry a request. It may not if
// the same request was refused on it: the upstream might repeat that refusal.
func (p *Pool) mayReuse(c *conn, upstream currantwood.UpstreamID, request currantwood.RequestID) bool {
	return c.upstream == upstream && p.now().Before(c.usableUntil) && !p.isDoubted(upstream) && !slices.Contains(c.refused, request) && isReusable(c)
}

// doubt notes that an upstream sent a refusal that names no request. On a new connection
// such a refusal can only belong to the request that was sent; on another one that isn't
// known. So the connections to the upstream are used once for doubtTime.
func (p *Pool) doubt(upstream currantwood.UpstreamID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.doubted[upstream] = p.now().Add(doubtTime)
}

// isDoubted reports whether an upstream is doubted.
func (p *Pool) isDoubted(upstream currantwood.UpstreamID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.now().Before(p.doubted[upstream])
}

// popIdle removes and returns the most recently used idle connection; nil if
// there is none.
func (p *Pool) popIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// isReusable reports whether nothing has arrived on an idle connection:
// neither data that belongs to no request nor the upstream's close.
func isReusable(c *conn) bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && empty
}

// release makes a connection available to other exchanges. idle is how long
// the upstream keeps it open; 0 if unknown.
func (p *Pool) release(c *conn, address string, idle time.Duration) {
	if idle <= 0 {
		idle = defaultIdle
	}
	c.usableUntil = p.now().Add(idle - idleMargin)
	_ = c.SetDeadline(time.Time{})
	p.mu.Lock()
	list := append(p.idle[address], c)
	excess := list[:max(0, len(list)-p.maxIdle)]
	p.idle[address] = list[len(excess):]
	p.mu.Unlock()
	for _, c := range excess {
		_ = c.Close()
	}
}

// SetMaxIdle bounds the idle connections to one address by limit, and by
// MaxIdlePerAddress. More that are idle already stay until the next is released.
func (p *Pool) SetMaxIdle(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxIdle = min(limit, MaxIdlePerAddress)
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// CloseExpired closes the idle connections that may no longer be used, and forgets the
// upstreams that are no longer doubted.
func (p *Pool) CloseExpired(now time.Time) {
	var expired []*conn
	p.mu.Lock()
	maps.DeleteFunc(p.doubted, func(_ currantwood.UpstreamID, until time.Time) bool { return !now.Before(until) })
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.usableUntil) {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.Close()
	}
}
