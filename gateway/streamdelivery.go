package gateway

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood/eventsplitter"
	"github.com/currantwood/currantwood/sleeper"
)

// pace delays an event while the target of a move has not answered yet.
func (s *stream) pace() {
	if !s.resuming.Load() {
		return
	}
	if wait := s.pacer.Delay(s.g.Now()); wait > 0 {
		sleeper.Sleep(s.ctx, wait)
	}
}

// complete reports whether the client's response is complete if the body of an upstream has
// ended cleanly. That must have sent an event, also if the client had it already: an upstream
// at which the stream goes on may have ended with nothing but an error.
func (s *stream) complete(up *upstreamStream) bool { return s.headerWritten.Load() && up.sentEvent }

// deliver writes one event to the client, or buffers it, unless the client has it already
// or will have. It fails if the event's id doesn't follow that of the last one.
func (s *stream) deliver(up *upstreamStream, event eventsplitter.Event) error {
	if event.ID < 0 && !event.Comment && up.continues && s.lastEvent.Load() >= 0 {
		return errForeignEvent
	}
	up.sentEvent = up.sentEvent || !event.Comment
	if event.ID >= 0 {
		last := s.lastEvent.Load()
		if event.ID <= last {
			return nil
		}
		if last >= 0 && event.ID != last+1 {
			return errors.Errorf("event %d follows event %d", event.ID, last)
		}
	}
	if !s.headerWritten.Load() {
		s.writeHeader(up)
	}
	s.g.recordProgress(up)
	s.g.observeInterval(up)
	if !up.begun && up.lastEventAt.Sub(up.firstEventAt) >= beginTime {
		up.begun = true
		s.recordBegun(up.firstEventAt)
	}
	if err := s.out.write(s.ctx, event.Text); err != nil {
		return err
	}
	s.pacer.Delivered(s.g.Now())
	s.noteGap(up)
	if event.ID >= 0 {
		s.lastEvent.Store(event.ID)
	}
	if up.load.PrefillTokens > 0 {
		s.g.recordPrefillEnd(up)
		// A run can be moved only after its first event.
		s.moveIfLeaving(up)
	}
	return nil
}

// noteGap keeps the longest time between two events that were written or buffered.
func (s *stream) noteGap(up *upstreamStream) {
	now := s.g.Now()
	if gap := now.Sub(s.deliveredAt); !s.deliveredAt.IsZero() && gap > s.longestGap {
		s.longestGap, s.gapUpstream = gap, up.view.ID
	}
	s.deliveredAt = now
}

// writeHeader writes the header of the response.
func (s *stream) writeHeader(up *upstreamStream) {
	s.mu.Lock()
	s.contentType = up.exchange.Header.Get("Content-Type")
	s.mu.Unlock()
	copyEndToEndHeaders(s.w.Header(), up.exchange.Header)
	// The deadline keeps a client that doesn't read from blocking the stream
	// forever.
	_ = http.NewResponseController(s.w).SetWriteDeadline(time.Now().Add(s.deadline.Sub(s.g.Now()) + writeSlack))
	s.responding.Store(true)
	s.w.WriteHeader(up.exchange.Status)
	s.noteBegun(up)
	s.headerWritten.Store(true)
	s.g.instruments.firstEventTime.Update(s.g.Now().Sub(s.arrived).Microseconds())
}

// finishResponse waits until the client has taken what is buffered of a complete response. The
// upstream, up, has ended. It panics as abort does if that fails and the client is still
// connected.
func (s *stream) finishResponse(up *upstreamStream) {
	// Nothing may be moved or resumed any more.
	s.finish()
	defer s.leaveUnsent(s.out.unsentBytes)()
	err := s.out.drain(s.ctx)
	switch {
	case err == nil:
		s.g.instruments.served.Inc(1)
		s.g.instruments.responseTime.Update(s.g.Now().Sub(s.arrived).Microseconds())
		s.log("stream served", zap.String("upstream", string(up.view.ID)), zap.Int64("last-event", s.lastEvent.Load()), zap.Int("upstreams", s.possibleRuns), zap.Duration("longest-gap", s.longestGap), zap.String("gap-upstream", string(s.gapUpstream)))
	case s.clientDisconnected() && !errors.Is(err, errClientStopped):
		s.endDisconnected(up)
	default:
		s.abort(err)
	}
}

// prepareResume logs that the upstream stream broke and reports whether the
// stream may be resumed at another upstream.
func (s *stream) prepareResume(err error) bool {
	s.log("upstream stream failed", zap.Error(err), zap.Int64("last-event", s.lastEvent.Load()))
	return s.prepareRetry(s.ctx)
}

// abort ends the response so that it doesn't look complete to the client. Events that are
// buffered are written before. It panics with http.ErrAbortHandler if the header is written.
func (s *stream) abort(err error) {
	if !s.headerWritten.Load() {
		status := http.StatusBadGateway
		if s.ctx.Err() != nil {
			status = http.StatusGatewayTimeout
		}
		s.endRequest(&gatewayResponse{status: status, reason: "upstream failed"})
		return
	}
	s.g.instruments.generationsLost.Inc(1)
	s.finish()
	_ = s.out.drain(s.ctx)
	s.log("stream aborted", zap.Error(err), zap.Int64("last-event", s.lastEvent.Load()), zap.Int("upstreams", s.possibleRuns))
	panic(http.ErrAbortHandler)
}

// endDisconnected counts and logs that the client has disconnected during the response of an
// upstream, and ends the response as abortDisconnected does.
func (s *stream) endDisconnected(up *upstreamStream) {
	s.g.instruments.clientDisconnects.Inc(1)
	s.log("client disconnected", zap.String("upstream", string(up.view.ID)), zap.Int64("last-event", s.lastEvent.Load()))
	s.abortDisconnected()
}

// abortDisconnected ends the response to a client that has disconnected. It panics with http.ErrAbortHandler
// if the header is written: a client that has closed only its sending side still reads, and would
// take the response for complete otherwise.
func (s *stream) abortDisconnected() {
	if s.headerWritten.Load() {
		panic(http.ErrAbortHandler)
	}
}
