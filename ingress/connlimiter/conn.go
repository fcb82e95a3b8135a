package connlimiter

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/currantwood/currantwood/ingress/headcounter"
	"github.com/currantwood/currantwood/ingress/progressmeter"
	"github.com/currantwood/currantwood/ingress/victimpicker"
)

const (
	// fieldBytes and headByteBytes estimate the memory of a parsed head: a field takes an
	// entry of a map, a list of one value and the strings, a byte is copied once.
	fieldBytes    = 160
	headByteBytes = 2
	// connBytes is the memory of a connection without a request.
	connBytes = 20_000
	// writePiece is the most that is written at once, so that a slow reader's progress is
	// seen.
	writePiece = 16 << 10
	// abortTime is how long a connection may stay open after the reading of its body was
	// ended, so that the status reaches the client.
	abortTime = 2 * time.Second
	// lingerTime is how long what follows a refused head is read, as the client may see a
	// reset rather than the status otherwise.
	lingerTime = 200 * time.Millisecond
)

// conn is a connection of a client.
type conn struct {
	net.Conn
	limiter *Limiter

	// mu guards the fields below.
	mu    sync.Mutex
	phase victimpicker.Phase
	// since is when an idle connection became idle, or when the body was aborted.
	since time.Time
	head  headcounter.Counter
	// headBytes is what is charged to the limiter for the head.
	headBytes int64
	// bodyBytes counts the bytes of the body that have arrived.
	bodyBytes int64
	// progress measures the head or the body that arrives.
	progress progressmeter.Meter
	// written measures the write that is under way if writing is true.
	writing bool
	written progressmeter.Meter
	// state never goes back.
	state state
}

//go:generate go tool stringer -type=state

// state is whether a connection is in use.
type state uint8

const (
	open state = iota
	// bodyAborted means that the body must not be read further.
	bodyAborted
	// closed means that the limiter or the server has closed the connection.
	closed
)

func newConn(accepted net.Conn, l *Limiter) *conn {
	c := &conn{Conn: accepted, limiter: l}
	c.awaitHead(l.options.Now(), victimpicker.Head)
	return c
}

// awaitHead prepares for the next head. The caller holds mu or owns the connection.
func (c *conn) awaitHead(now time.Time, phase victimpicker.Phase) {
	limits := c.limiter.options.Shares.Limits
	c.phase, c.since, c.head, c.bodyBytes = phase, now, headcounter.Counter{}, 0
	c.progress = progressmeter.New(now, limits.HeadAllowance, limits.BytesPerSecond)
}

// becomeIdle notes that the response to a request is written.
func (c *conn) becomeIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseHead()
	c.awaitHead(now, victimpicker.Idle)
}

// releaseHead gives back what was charged for the head. The caller holds mu.
func (c *conn) releaseHead() {
	c.limiter.headBytes.Add(-c.headBytes)
	c.headBytes = 0
}

// beginRequest notes that a head has been parsed. It reports false if the connection is
// being closed.
func (c *conn) beginRequest(now time.Time, hasBody bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != open {
		return false
	}
	c.phase = victimpicker.Running
	if hasBody {
		limits := c.limiter.options.Shares.Limits
		c.phase = victimpicker.Body
		c.progress = progressmeter.New(now, limits.BodyAllowance, limits.BytesPerSecond)
	}
	return true
}

// chargeFields returns what a parsed head takes more of memory than was charged for it,
// which the caller charges.
func (c *conn) chargeFields(fields int) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	charge := int64(fieldBytes*fields) - c.headBytes
	if charge <= 0 || c.state == closed {
		return 0
	}
	c.headBytes += charge
	return charge
}

// endBody notes that the whole body has been read. It reports false if the reading was
// ended before.
func (c *conn) endBody() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != open {
		return false
	}
	if c.phase == victimpicker.Body {
		c.phase = victimpicker.Running
	}
	return true
}

// Read reads what the client sends. It fails if the head exceeds a limit, after it has
// sent the status 431.
func (c *conn) Read(p []byte) (int, error) {
	if c.isAborted() {
		return 0, timeout("read")
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		if c.isAborted() {
			return 0, timeout("read")
		}
		return n, err
	}
	now := c.limiter.options.Now()
	charge, exceeds := c.noteRead(now, p[:n])
	if exceeds {
		c.limiter.note(now, headTooLarge)
		writeStatus(c.Conn, tooLarge)
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.CopyBuffer(io.Discard, onlyReader{c.Conn}, p)
		return 0, timeout("read")
	}
	if charge > 0 && (!c.limiter.addHead(now, charge) || c.isClosed()) {
		// The bytes aren't parsed, which would take the memory that isn't there.
		return 0, timeout("read")
	}
	return n, err
}

func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == closed
}

// chargedBytes returns what is charged for the head.
func (c *conn) chargedBytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.headBytes
}

// onlyReader hides the methods of a connection that io.CopyBuffer would prefer.
type onlyReader struct{ io.Reader }

// noteRead notes bytes that were read. It returns what the head takes more of memory,
// which the caller charges, and whether the head exceeds a limit.
func (c *conn) noteRead(now time.Time, p []byte) (charge int64, exceeds bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.phase {
	case victimpicker.Idle:
		c.awaitHead(now, victimpicker.Head)
	case victimpicker.Body:
		c.bodyBytes += int64(len(p))
	case victimpicker.Running, victimpicker.Writing:
		// The first byte of a pipelined request, which net/http reads to notice the end of
		// the connection.
		return 0, false
	}
	c.progress.Transferred(now, len(p))
	if c.phase != victimpicker.Head || c.state == closed {
		return 0, false
	}
	c.head.Count(p)
	if c.head.Exceeds(c.limiter.headLimits) {
		c.state = closed
		return 0, true
	}
	bytes := int64(headByteBytes*c.head.Bytes() + fieldBytes*c.head.Fields())
	charge = bytes - c.headBytes
	c.headBytes = bytes
	return charge, false
}

// Write writes in pieces, so that progress is seen.
func (c *conn) Write(p []byte) (int, error) {
	limits := c.limiter.options.Shares.Limits
	c.mu.Lock()
	c.writing = true
	c.written = progressmeter.New(c.limiter.options.Now(), limits.WriteAllowance, limits.BytesPerSecond)
	c.mu.Unlock()
	defer c.endWrite()
	total := 0
	for {
		n, err := c.Conn.Write(p[:min(writePiece, len(p))])
		total += n
		if p = p[n:]; err != nil || len(p) == 0 {
			return total, err
		}
		c.noteWritten(n)
	}
}

func (c *conn) endWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
}

func (c *conn) noteWritten(n int) {
	now := c.limiter.options.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written.Transferred(now, n)
}

// Close closes the connection and gives back what was charged for it.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeNow()
}

// SyscallConn lets package drainer look for requests that weren't read yet.
func (c *conn) SyscallConn() (syscall.RawConn, error) { return rawConn(c.Conn) }

func (c *conn) isAborted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == bodyAborted
}

// candidate describes the connection.
func (c *conn) candidate(now time.Time) (victimpicker.Candidate, state) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := victimpicker.Candidate{Phase: c.phase, MemoryBytes: connBytes + c.headBytes + c.bodyBytes}
	switch {
	case c.writing:
		v.Phase, v.Lag = victimpicker.Writing, c.written.Lag(now)
	case c.phase == victimpicker.Idle:
		v.Lag = now.Sub(c.since)
	case c.phase == victimpicker.Head || c.phase == victimpicker.Body:
		v.Lag = c.progress.Lag(now)
	}
	return v, c.state
}

// drop closes the connection to make room. It reports false if it is closed or if its
// request runs by now.
func (c *conn) drop() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == closed || c.phase == victimpicker.Running && !c.writing {
		return false
	}
	c.endHead(refusal)
	return true
}

// abort ends the reading of the body. It reports false if the body has been read by now.
func (c *conn) abort(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != open || c.phase != victimpicker.Body {
		return false
	}
	c.abortBody(now)
	return true
}

// abortBody lets reads of the body fail, so that the handler answers. The caller holds mu.
func (c *conn) abortBody(now time.Time) {
	c.state, c.since = bodyAborted, now
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// expire ends the connection if it hasn't made the least progress, and returns the reason.
func (c *conn) expire(now time.Time) (event, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.state == closed:
	case c.writing && c.written.Expired(now):
		_ = c.closeNow()
		return writeStalled, true
	case c.state == bodyAborted:
		if !c.writing && c.phase == victimpicker.Body && now.Sub(c.since) >= abortTime {
			_ = c.closeNow()
		}
	case c.phase == victimpicker.Head && c.progress.Expired(now):
		c.endHead(timedOut)
		return headStalled, true
	case c.phase == victimpicker.Body && !c.writing && c.progress.Expired(now):
		c.abortBody(now)
		return bodyStalled, true
	}
	return 0, false
}

// extend adds time that doesn't count.
func (c *conn) extend(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progress.Extend(d)
	c.written.Extend(d)
	c.since = c.since.Add(d)
}

// endHead closes the connection. If a part of a head has arrived, it sends a status before.
// The caller holds mu.
func (c *conn) endHead(status string) {
	if c.phase == victimpicker.Head && c.head.Bytes() > 0 && !c.writing {
		writeStatus(c.Conn, status)
	}
	_ = c.closeNow()
}

// closeNow closes the connection, if need be under the server, and gives back what was
// charged for it. The caller holds mu.
func (c *conn) closeNow() error {
	c.state = closed
	c.limiter.remove(c)
	c.releaseHead()
	return c.Conn.Close()
}

// SetReadDeadline sets the deadline unless the reading was ended, which must stay so.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == bodyAborted {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// timeout is an error that net/http doesn't answer with a status of its own.
func timeout(operation string) error {
	return &net.OpError{Op: operation, Net: "tcp", Err: os.ErrDeadlineExceeded}
}

// body notes the end of a request body. If its last bytes arrive just when the reading is
// ended, it fails as well: net/http would take the connection for broken, and cut off the
// request while it runs.
type body struct {
	io.ReadCloser
	conn *conn
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.conn.endBody() {
		return n, timeout("read")
	}
	return n, err
}
