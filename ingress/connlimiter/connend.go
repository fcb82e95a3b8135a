package connlimiter

import (
	"time"

	"github.com/currantwood/currantwood/ingress/victimpicker"
)

// Close closes the connection and gives back what was charged for it.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeNow()
}

// candidate describes the connection.
func (c *conn) candidate(now time.Time) (victimpicker.Candidate, state) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := victimpicker.Candidate{Phase: c.phase, MemoryBytes: connBytes + c.wideBytes() + c.headBytes + c.bodyBytes}
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
func (c *conn) extend(now time.Time, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progress.Extend(now, d)
	c.written.Extend(now, d)
	if c.since = c.since.Add(d); c.since.After(now) {
		c.since = now
	}
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
	// In this order: a connection that is no longer listed must not be charged for, else
	// heads would be refused as if there were nothing to drop.
	c.releaseHead()
	c.releaseWide()
	c.limiter.remove(c)
	return c.Conn.Close()
}
