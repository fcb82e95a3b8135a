package gateway

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/balancer"
	"github.com/currantwood/currantwood/connkeeper"
	"github.com/currantwood/currantwood/eventsplitter"
	"github.com/currantwood/currantwood/pacer"
	"github.com/currantwood/currantwood/sleeper"
	"github.com/currantwood/currantwood/upstreamkeeper"
)

const (
	// streamProgressTargets is how long a healthy engine may leave a stream
	// without an event, in multiples of the route's target time. It is that
	// long because a gateway that has one stream at an engine sees nothing of
	// the streams that are served before it.
	streamProgressTargets = 3
	// writeSlack is how long after the deadline a write to a client that
	// doesn't read may still block.
	writeSlack = 200 * time.Millisecond
	// eventIntervalSmoothing is the number of events over which the time
	// between events is averaged: each new event has the weight
	// 1/eventIntervalSmoothing.
	eventIntervalSmoothing = 64
	// awaitMoveTimeout bounds the wait for a move that is under way when the
	// stream's upstream has ended. Clients give up a stream after a pause of
	// some seconds.
	awaitMoveTimeout = 5 * time.Second
)

// upstreamStream is the part of a client's stream that one upstream delivers.
type upstreamStream struct {
	view     upstreamkeeper.View
	exchange *connkeeper.Exchange
	events   *eventsplitter.Splitter
	// load is the load that was reported to the balancer. Unread becomes 0 with
	// the first event.
	load balancer.Load
	// sentAt is when the request was sent to the upstream, and queuedTokens the
	// number of prompt tokens that it had to read before. They are set only if
	// the upstream reads the prompt, so not after a move.
	sentAt       time.Time
	queuedTokens currantwood.TokenCount
	// lastEventAt is when the last event arrived; zero before the first.
	lastEventAt time.Time
}

// stream is the stream of one client request.
type stream struct {
	*request
	ctx context.Context
	// lastEvent is the id of the last event that the client received; -1 if
	// none.
	lastEvent atomic.Int64
	// started is set once the header of the response is written.
	started atomic.Bool
	mu      sync.Mutex
	// current delivers events; next is where a move has resumed the stream,
	// until relay switches to it. Both are guarded by mu; relay, which alone
	// changes current, reads it without.
	current *upstreamStream
	next    *upstreamStream
	// cancelUpstream cancels the exchange that startUpstream began last; nil
	// before the first. Guarded by mu.
	cancelUpstream context.CancelFunc
	// moveDone is closed when the move under way ends; nil if there is none.
	// Guarded by mu.
	moveDone chan struct{}
	// finished is set when nothing more will be delivered; guarded by mu.
	finished bool
	// resuming is true while the target of a move has been asked to resume the
	// run and has not answered. Meanwhile pacer, which only relay uses, spreads
	// the events.
	resuming atomic.Bool
	pacer    *pacer.Pacer
}

// serveStream serves a request whose response is relayed event by event.
func (q *request) serveStream(ctx context.Context) {
	s := &stream{request: q, ctx: ctx, pacer: pacer.New(q.route.GapTarget)}
	s.lastEvent.Store(q.client.LastEvent)
	defer s.finish()
	for {
		if !s.openUpstream() {
			return
		}
		err := s.relay()
		if err == nil {
			return
		}
		if !s.prepareResume(err) {
			s.abort(err)
			return
		}
	}
}

// openUpstream starts the stream at an upstream and returns true. If it can't,
// it completes or aborts the response and returns false.
func (s *stream) openUpstream() bool {
	final := &refusal{status: http.StatusServiceUnavailable, reason: "no upstream", retryAfter: upstreamRetryAfter}
	for len(s.attempted) < maxAttempts && s.ctx.Err() == nil {
		now := s.g.Now()
		if refused := s.recheckKey(now); refused != nil {
			final = refused
			break
		}
		choice, err := s.pickUpstream(now, s.streamProgressTimeout())
		if err != nil {
			final = s.noUpstreamRefusal(final, err)
			break
		}
		s.attempted = append(s.attempted, choice.View.ID)
		opened, err := s.startUpstream(choice, currantwood.UpstreamRequest{LastEvent: s.lastEvent.Load()})
		if err == nil && opened.exchange.Status != http.StatusOK {
			s.g.removeStream(choice.View.ID, s)
			s.writeWholeResponse(opened, choice)
			return false
		}
		if err == nil {
			s.possibleRuns++
			opened.sentAt, opened.queuedTokens = now, choice.Load.PrefillTokens
			s.log("stream opened", zap.String("upstream", string(choice.View.ID)), zap.Float64("score", choice.Score), zap.Int("in-flight", choice.Load.Requests), zap.Int64("tokens-in-flight", int64(choice.Load.MemoryTokens)), zap.Int64("after-event", s.lastEvent.Load()))
			s.setCurrent(opened)
			return true
		}
		if s.clientGone() {
			s.recordClientGone(choice)
			return false
		}
		s.log("upstream attempt failed", zap.String("upstream", string(choice.View.ID)), zap.Error(err), zap.Float64("score", choice.Score))
		if s.possibleRuns > 0 {
			final = &refusal{status: http.StatusBadGateway, reason: "upstream failed"}
		}
		if !s.prepareRetry(s.ctx) {
			break
		}
	}
	if s.started.Load() {
		s.abort(errors.New("no upstream to resume the stream on"))
		return false
	}
	if s.possibleRuns > 0 && s.ctx.Err() != nil {
		final = &refusal{status: http.StatusGatewayTimeout, reason: "deadline"}
	}
	s.refuse(final)
	return false
}

// startUpstream sends the request to an upstream. cancelUpstream can cancel the
// exchange even before the upstream answers.
func (s *stream) startUpstream(choice balancer.Choice, to currantwood.UpstreamRequest) (*upstreamStream, error) {
	ctx, cancel := context.WithCancel(s.ctx)
	s.mu.Lock()
	s.cancelUpstream = cancel
	s.mu.Unlock()
	s.g.addStream(choice.View.ID, s)
	opened, err := s.sendToUpstream(ctx, choice, s.load(), to)
	if err != nil {
		s.g.removeStream(choice.View.ID, s)
		cancel()
	}
	return opened, err
}

// streamProgressTimeout is the longest time that a healthy engine leaves a
// stream without an event.
func (s *stream) streamProgressTimeout() time.Duration {
	return streamProgressTargets * max(s.route.Target, time.Second)
}

// sendToUpstream sends the request to an upstream. The caller must have
// reported the load to the balancer.
func (s *stream) sendToUpstream(ctx context.Context, choice balancer.Choice, load balancer.Load, to currantwood.UpstreamRequest) (*upstreamStream, error) {
	x, err := s.startExchange(ctx, choice, load, to)
	if err != nil {
		return nil, err
	}
	return &upstreamStream{view: choice.View, exchange: x, events: eventsplitter.New(x.Body), load: load}, nil
}

// writeWholeResponse passes on a response that is not a stream.
func (s *stream) writeWholeResponse(up *upstreamStream, choice balancer.Choice) {
	body, err := io.ReadAll(io.LimitReader(up.exchange.Body, maxResponseBytes))
	if err != nil {
		up.exchange.Abort()
		s.recordEnd(up.view, up.load, balancer.Failed)
		s.refuse(&refusal{status: http.StatusBadGateway, reason: "upstream failed"})
		return
	}
	up.exchange.Finish()
	s.recordEnd(up.view, up.load, balancer.Failed)
	s.writeResponse(&response{status: up.exchange.Status, header: up.exchange.Header, body: body}, choice)
}

// setCurrent makes up the current upstream stream.
func (s *stream) setCurrent(up *upstreamStream) {
	s.mu.Lock()
	s.current = up
	s.mu.Unlock()
	s.g.addStream(up.view.ID, s)
}

// relay passes events on until the stream ends. It returns nil when the
// response is complete or the client has disconnected.
func (s *stream) relay() error {
	for {
		up := s.current
		event, err := up.events.Next()
		if err == nil {
			s.pace()
			if s.switchTo(up, s.takeNext()) {
				continue
			}
			if err = s.deliver(up, event); err == nil {
				continue
			}
		}
		if s.clientGone() {
			s.closeUpstream(up, balancer.Neutral)
			s.g.instruments.clientDisconnects.Inc(1)
			s.log("client disconnected", zap.String("upstream", string(up.view.ID)), zap.Int64("last-event", s.lastEvent.Load()))
			return nil
		}
		if s.switchTo(up, s.takeNext()) {
			continue
		}
		if errors.Is(err, io.EOF) && s.complete() {
			s.closeUpstream(up, balancer.Served)
			s.g.instruments.served.Inc(1)
			s.g.instruments.answerTime.Update(s.g.Now().Sub(s.arrived).Microseconds())
			s.log("stream served", zap.String("upstream", string(up.view.ID)), zap.Int64("last-event", s.lastEvent.Load()), zap.Int("upstreams", s.possibleRuns))
			return nil
		}
		if s.switchTo(up, s.awaitMove()) {
			continue
		}
		s.recordCrash(up.view)
		ending := balancer.Failed
		if s.ctx.Err() != nil {
			ending = balancer.Neutral
		}
		s.closeUpstream(up, ending)
		return err
	}
}

// pace delays an event while the target of a move has not answered yet.
func (s *stream) pace() {
	if !s.resuming.Load() {
		return
	}
	if wait := s.pacer.Delay(s.g.Now()); wait > 0 {
		sleeper.Sleep(s.ctx, wait)
	}
}

// switchTo replaces the current upstream stream by next and reports whether
// there is one.
func (s *stream) switchTo(from, next *upstreamStream) bool {
	if next == nil {
		return false
	}
	// The upstream may still run it.
	from.exchange.Abort()
	s.closeUpstream(from, balancer.Served)
	s.setCurrent(next)
	s.moveIfLeaving(next)
	return true
}

// cancelFrozen cancels the stream at an upstream that makes no progress if it
// can be resumed at another. A stream that can't is left alone, as the upstream
// may recover.
func (s *stream) cancelFrozen() {
	if !s.route.Resumable || s.route.MaxUpstreams < 2 {
		return
	}
	s.mu.Lock()
	cancel := s.cancelUpstream
	s.mu.Unlock()
	cancel()
}

// complete reports whether a response whose body ended cleanly is complete: it
// must have an event.
func (s *stream) complete() bool { return s.started.Load() }

// deliver writes one event to the client unless the client has it already. It
// fails if the event's id doesn't follow that of the last one.
func (s *stream) deliver(up *upstreamStream, event eventsplitter.Event) error {
	if event.ID >= 0 {
		last := s.lastEvent.Load()
		if event.ID <= last {
			return nil
		}
		if last >= 0 && event.ID != last+1 {
			return errors.Errorf("event %d follows event %d", event.ID, last)
		}
	}
	if !s.started.Load() {
		s.writeHeader(up)
	}
	s.g.recordProgress(up)
	if _, err := s.w.Write(event.Text); err != nil {
		return errors.Wrap(err, "write to client")
	}
	if err := http.NewResponseController(s.w).Flush(); err != nil {
		return errors.Wrap(err, "write to client")
	}
	s.pacer.Delivered(s.g.Now())
	if event.ID >= 0 {
		s.lastEvent.Store(event.ID)
	}
	if up.load.PrefillTokens > 0 {
		s.g.recordPromptRead(up)
		// A run can be moved only after its first event.
		s.moveIfLeaving(up)
	}
	return nil
}

// writeHeader writes the header of the response.
func (s *stream) writeHeader(up *upstreamStream) {
	copyEndToEndHeaders(s.w.Header(), up.exchange.Header)
	// The deadline keeps a client that doesn't read from blocking the stream
	// forever.
	_ = http.NewResponseController(s.w).SetWriteDeadline(time.Now().Add(s.deadline.Sub(s.g.Now()) + writeSlack))
	s.w.WriteHeader(up.exchange.Status)
	s.started.Store(true)
	s.g.instruments.firstEventTime.Update(s.g.Now().Sub(s.arrived).Microseconds())
}

// closeUpstream ends the exchange with an upstream and reports its end to the
// balancer.
func (s *stream) closeUpstream(up *upstreamStream, ending balancer.Outcome) {
	if ending == balancer.Served && s.next == nil {
		up.exchange.Finish()
	} else {
		up.exchange.Abort()
	}
	s.g.removeStream(up.view.ID, s)
	s.recordEnd(up.view, up.load, ending)
}

// prepareResume logs that the upstream stream broke and reports whether the
// stream may be resumed at another upstream.
func (s *stream) prepareResume(err error) bool {
	s.log("upstream stream failed", zap.Error(err), zap.Int64("last-event", s.lastEvent.Load()))
	return s.prepareRetry(s.ctx)
}

// abort ends the response so that it doesn't look complete to the client. It
// panics with http.ErrAbortHandler if the header is written.
func (s *stream) abort(err error) {
	if !s.started.Load() {
		status := http.StatusBadGateway
		if s.ctx.Err() != nil {
			status = http.StatusGatewayTimeout
		}
		s.refuse(&refusal{status: status, reason: "upstream failed"})
		return
	}
	s.g.instruments.generationsLost.Inc(1)
	s.log("stream aborted", zap.Error(err), zap.Int64("last-event", s.lastEvent.Load()), zap.Int("upstreams", s.possibleRuns))
	panic(http.ErrAbortHandler)
}

// finish cancels whatever is still under way for the stream.
func (s *stream) finish() {
	s.mu.Lock()
	s.finished = true
	next, cancel := s.next, s.cancelUpstream
	s.next = nil
	s.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	if next != nil {
		next.exchange.Abort()
		s.recordEnd(next.view, next.load, balancer.Neutral)
	}
}

// takeNext returns the upstream stream that a move has led to, once; nil if
// there is none.
func (s *stream) takeNext() *upstreamStream {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.next
	s.next = nil
	return next
}

// awaitMove waits for the move under way, if any, and returns the upstream
// stream that it led to, or nil.
func (s *stream) awaitMove() *upstreamStream {
	s.mu.Lock()
	done := s.moveDone
	s.mu.Unlock()
	if done == nil {
		return nil
	}
	timer := time.NewTimer(awaitMoveTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-s.ctx.Done():
	}
	return s.takeNext()
}
