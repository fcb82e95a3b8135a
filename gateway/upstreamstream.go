package gateway

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/balancer"
	"github.com/currantwood/currantwood/connkeeper"
	"github.com/currantwood/currantwood/eventsplitter"
	"github.com/currantwood/currantwood/upstreamkeeper"
)

// upstreamStream is the part of a client's stream that one upstream delivers.
type upstreamStream struct {
	view     upstreamkeeper.View
	exchange *connkeeper.Exchange
	events   *eventsplitter.Splitter
	// load is the load that was reported to the balancer. Its PrefillTokens
	// become 0 with the first event.
	load balancer.Load
	// sentAt is when the request was sent to the upstream, and queuedTokens the
	// number of prompt tokens that were to be prefilled there before its own.
	// They are set only if the upstream prefills the prompt, so not after a
	// move.
	sentAt       time.Time
	queuedTokens currantwood.TokenCount
	// startedAt is when the exchange began.
	startedAt time.Time
	// firstEventAt and lastEventAt are when the first and the last event arrived; zero
	// before the first.
	firstEventAt, lastEventAt time.Time
	// intervals is the number of intervals between events so far, up to one more than are
	// measured. Only relay uses it.
	intervals int
	// continues is whether the client had events of another upstream before.
	continues bool
	// sentEvent is whether the upstream has sent an event that isn't a comment. Only relay
	// uses it.
	sentEvent bool
	// begun is whether it was noted that the stream has gone on for beginTime.
	begun bool
	// stalled is whether the gateway ended the exchange since no event arrived.
	stalled atomic.Bool
	// handedOver is whether a move has ended the run here although no other engine has
	// resumed it yet. See handOver.
	handedOver atomic.Bool
	// endOrdered is whether the engine is being made to end the run; see endRun.
	endOrdered atomic.Bool
	// cancel cancels the exchange, also while the upstream has not responded; nil if
	// sendCancelable has set stream.cancelUpstream.
	cancel context.CancelFunc
}

// ended reports whether err, the result of reading the events, shows that the upstream
// has sent all of them. The end of a body without framing doesn't if a move has ended the
// run.
func (up *upstreamStream) ended(err error) bool {
	return errors.Is(err, io.EOF) && (up.exchange.Framed || !up.handedOver.Load())
}

// failure describes the end of the exchange by an error. ctx is that of the
// stream.
func (up *upstreamStream) failure(ctx context.Context) failure {
	return failure{view: up.view, sentAt: up.startedAt, firstEventAt: up.firstEventAt, lastEventAt: up.lastEventAt, broken: ctx.Err() == nil && !up.stalled.Load()}
}

// sendCancelable is sendToUpstream for the first run of a stream and for a
// resume after a failure. It also indexes the stream at the upstream and sets
// cancelUpstream, so that the exchange can be canceled even before the
// upstream responds.
func (s *stream) sendCancelable(choice balancer.Choice, parameters currantwood.UpstreamRequest) (*upstreamStream, error) {
	ctx, cancel := context.WithCancel(s.ctx)
	s.mu.Lock()
	s.cancelUpstream = cancel
	s.mu.Unlock()
	s.g.addStream(choice.View.ID, s)
	opened, err := s.sendToUpstream(ctx, choice, s.load(), parameters)
	if err != nil {
		s.g.removeStream(choice.View.ID, s)
		cancel()
	}
	return opened, err
}

// sendToUpstream starts an exchange with an upstream and splits its body into
// events. The caller must have reported the load to the balancer.
func (s *stream) sendToUpstream(ctx context.Context, choice balancer.Choice, load balancer.Load, parameters currantwood.UpstreamRequest) (*upstreamStream, error) {
	startedAt := s.g.Now()
	x, err := s.startExchange(ctx, choice, load, parameters)
	if err != nil {
		return nil, err
	}
	return &upstreamStream{view: choice.View, exchange: x, events: eventsplitter.New(x.Body, s.g.responses), load: load, startedAt: startedAt, continues: s.hasBegun()}, nil
}

// rejectResume ends the exchange with an upstream that was to resume the stream. What it
// responded can't be passed on within the stream, or it isn't known to be the one that was
// chosen. rejectResume returns cause as the error.
func (s *stream) rejectResume(up *upstreamStream, cause error) error {
	up.exchange.Abort()
	s.g.removeStream(up.view.ID, s)
	s.recordEnd(up.view, up.load, balancer.Failed)
	s.possibleRuns++
	return errors.Wrap(cause, "resume rejected")
}

// writeWholeResponse passes on a response whose status isn't 200. The header must not
// have been written for an earlier upstream.
func (s *stream) writeWholeResponse(up *upstreamStream, choice balancer.Choice) {
	body, err := s.g.responses.ReadAll(up.exchange.Body, MaxResponseBytes)
	defer s.g.responses.ReleaseBody(body)
	if err != nil {
		up.exchange.Abort()
		s.recordBrokenBody(err, up.failure(s.ctx))
		s.recordEnd(up.view, up.load, balancer.Failed)
		s.endRequest(&gatewayResponse{status: http.StatusBadGateway, reason: "upstream failed"})
		return
	}
	up.exchange.Finish()
	outcome := balancer.Failed
	if up.exchange.Answer.Pause > 0 {
		outcome = balancer.Neutral
	}
	s.recordEnd(up.view, up.load, outcome)
	s.writeResponse(&response{sentAt: up.startedAt, framed: up.exchange.Framed, status: up.exchange.Status, header: up.exchange.Header, body: body}, choice)
}

// setCurrent sets s.current to up and indexes the stream at its upstream.
func (s *stream) setCurrent(up *upstreamStream) {
	s.mu.Lock()
	s.current = up
	if up.cancel != nil {
		s.cancelUpstream = up.cancel
	}
	s.mu.Unlock()
	s.g.addStream(up.view.ID, s)
}

// closeUpstream ends the exchange with an upstream and reports its end to the
// balancer.
func (s *stream) closeUpstream(up *upstreamStream, outcome balancer.Outcome) {
	if outcome == balancer.Served && s.next == nil {
		up.exchange.Finish()
	} else {
		up.exchange.Abort()
	}
	if outcome != balancer.Served && !up.handedOver.Load() {
		s.endRun(up, currantwood.RunCopy{}, "")
	}
	s.g.removeStream(up.view.ID, s)
	s.recordEnd(up.view, up.load, outcome)
}
