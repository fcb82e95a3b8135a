package connlimiter

import (
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/currantwood/currantwood/ingress/progressmeter"
	"github.com/currantwood/currantwood/ingress/victimpicker"
)

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

// onlyReader hides the methods of a connection that io.CopyBuffer would prefer.
type onlyReader struct{ io.Reader }

// noteRead notes bytes that were read. It returns by how much they raise the memory of the
// head, which the caller charges, and whether the head exceeds a limit. If the connection is
// closed before the caller has charged it, both changes of the Limiter's sum cancel out.
func (c *conn) noteRead(now time.Time, p []byte) (charge int64, exceeds bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.phase {
	case victimpicker.Idle:
		c.awaitHead(now, victimpicker.Head)
	case victimpicker.Body:
		c.bodyBytes += int64(len(p))
		c.body.Add(p)
		if c.bodyBytes > int64(c.limiter.options.Shares.Buffers.Receive) {
			c.widen()
		}
	case victimpicker.Running, victimpicker.Writing:
		// The first byte of a pipelined request, which net/http reads to notice the end of
		// the connection.
		c.body.Add(p)
		return 0, false
	}
	c.progress.Transferred(now, len(p))
	if c.phase != victimpicker.Head || c.state == closed {
		return 0, false
	}
	c.countHead(p)
	if c.head.Exceeds(c.limiter.headLimits) {
		c.state = closed
		return 0, true
	}
	return c.chargeHead(), false
}

// Write writes in pieces, so that progress is seen.
func (c *conn) Write(p []byte) (int, error) {
	limits := c.limiter.options.Shares.Limits
	c.mu.Lock()
	if len(p) > writePiece {
		c.widen()
	}
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

// SyscallConn lets package drainer look for requests that weren't read yet.
func (c *conn) SyscallConn() (syscall.RawConn, error) { return rawConn(c.Conn) }

func (c *conn) isAborted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == bodyAborted
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
