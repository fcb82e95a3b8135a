package gateway

import (
	"time"

	"github.com/currantwood/currantwood/balancer"
)

// awaitMoveTimeout bounds the wait for a move that is under way when the
// stream's upstream has ended. Clients give up a stream after a pause of
// some seconds.
const awaitMoveTimeout = 5 * time.Second

// switchTo replaces the current upstream stream, from, by next. If next is nil,
// it does nothing and returns false.
func (s *stream) switchTo(from, next *upstreamStream) bool {
	if next == nil {
		return false
	}
	// The old upstream may still be running the stream.
	from.exchange.Abort()
	s.closeUpstream(from, balancer.Served)
	s.setCurrent(next)
	s.moveIfLeaving(next)
	return true
}

// takeNext returns next, where a move has resumed the stream, and clears it. It
// returns nil if there is none.
func (s *stream) takeNext() *upstreamStream {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.next
	s.next = nil
	return next
}

// awaitMove waits for the move under way, if any, and then returns takeNext. A move that
// takes too long is canceled, so that its target doesn't run the request beside another
// upstream.
func (s *stream) awaitMove() *upstreamStream {
	s.mu.Lock()
	done, cancel := s.moveDone, s.cancelMove
	s.mu.Unlock()
	if done == nil {
		return nil
	}
	timer := time.NewTimer(awaitMoveTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
		cancel()
		<-done
	case <-s.ctx.Done():
	}
	return s.takeNext()
}
