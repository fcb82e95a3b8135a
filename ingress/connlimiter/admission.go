package connlimiter

import (
	"time"

	"github.com/currantwood/currantwood/ingress/victimpicker"
)

// ReclaimBody ends the reading of the body that makes the least progress for its memory,
// so that another one finds room. It reports false if all make progress and none was given
// up before that is still held.
func (l *Limiter) ReclaimBody() bool {
	now := l.options.Now()
	if l.reclaimedLately(now) {
		return true
	}
	l.picking.Lock()
	defer l.picking.Unlock()
	// Another body may have been given up meanwhile.
	if l.reclaimedLately(l.options.Now()) {
		return true
	}
	c := l.listCandidates(now)
	picked, found := victimpicker.Picker{}.Body(c.candidates)
	if !found {
		return len(c.aborted) > 0
	}
	if c.conns[picked].abort(now) {
		l.noteReclaimed(now)
		l.note(now, bodyDropped)
	}
	return true
}

func (l *Limiter) reclaimedLately(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.reclaimedAt) < reclaimPause
}

func (l *Limiter) noteReclaimed(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reclaimedAt = now
}

// admit makes room for a connection and adds it. It reports false if the connection must
// be refused.
func (l *Limiter) admit(c *conn) bool {
	now := l.options.Now()
	for l.isFull() {
		if !l.dropLeast(now) && l.isFull() {
			l.note(now, connectionRefused)
			return false
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return true
}

func (l *Limiter) isFull() bool { return l.count() >= l.options.Shares.Connections }

func (l *Limiter) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// dropLeast closes a connection to make room: one whose body was given up, else the one
// with the least progress for its memory. It reports false if no connection may be closed,
// and true also if the one that it picked has ended or runs a request by now, so that the
// caller looks again.
func (l *Limiter) dropLeast(now time.Time) bool {
	l.picking.Lock()
	defer l.picking.Unlock()
	if !l.isFull() {
		return true
	}
	c := l.listCandidates(now)
	if c.dropAborted() {
		return true
	}
	picked, found := victimpicker.Picker{}.Connection(c.candidates)
	if !found {
		return false
	}
	if c.conns[picked].drop() {
		l.note(now, connectionDropped)
	}
	return true
}

// addHead changes the memory of heads. While that exceeds its share, it closes the
// connection with the least progress for the memory of its head. It reports false if there
// is none to close.
func (l *Limiter) addHead(now time.Time, bytes int64) bool {
	if bytes == 0 {
		return true
	}
	l.headBytes.Add(bytes)
	for l.exceedsHeads() {
		// Another head may have displaced the last connection meanwhile.
		if !l.dropHead(now) && l.exceedsHeads() {
			return false
		}
	}
	return true
}

func (l *Limiter) exceedsHeads() bool { return l.headBytes.Load() > l.options.Shares.HeadBytes }

// dropHead closes the connection with the least progress for the memory of its head. It
// reports false if there is none, and true also if that connection has ended or runs a
// request by now, as dropLeast does.
func (l *Limiter) dropHead(now time.Time) bool {
	l.picking.Lock()
	defer l.picking.Unlock()
	if !l.exceedsHeads() {
		return true
	}
	c := l.listCandidates(now)
	if c.dropAborted() {
		return true
	}
	for i, conn := range c.conns {
		c.candidates[i].MemoryBytes = conn.chargedBytes()
	}
	picked, found := victimpicker.Picker{}.Head(c.candidates)
	if !found {
		return false
	}
	if c.conns[picked].drop() {
		l.note(now, connectionDropped)
	}
	return true
}

// remove forgets a connection that was closed.
func (l *Limiter) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

func (l *Limiter) connections() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	conns := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	return conns
}

// choice is what a connection to end is chosen from. Its memory is used again.
type choice struct {
	// conns are the open connections, candidates their descriptions.
	conns      []*conn
	candidates []victimpicker.Candidate
	// aborted are the connections whose body was given up.
	aborted []*conn
}

// listCandidates lists all connections. The caller holds picking.
func (l *Limiter) listCandidates(now time.Time) *choice {
	c := &l.choice
	clear(c.conns)
	clear(c.aborted)
	c.conns, c.candidates, c.aborted = c.conns[:0], c.candidates[:0], c.aborted[:0]
	for _, conn := range l.connections() {
		candidate, state := conn.candidate(now)
		switch state {
		case open:
			c.conns, c.candidates = append(c.conns, conn), append(c.candidates, candidate)
		case bodyAborted:
			c.aborted = append(c.aborted, conn)
		}
	}
	return c
}

// dropAborted closes a connection whose body was given up, if there is one.
func (c *choice) dropAborted() bool {
	for _, conn := range c.aborted {
		if conn.drop() {
			return true
		}
	}
	return false
}
