package gateway

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/balancer"
	"github.com/currantwood/currantwood/upstreamkeeper"
)

const (
	// resumeResponseTimeout is how long a run goes on at its source while the target of
	// the move, which may run it too, has not responded. Together with stopTimeout it is
	// below the 400 ms for which two engines may run one generation.
	resumeResponseTimeout = 240 * time.Millisecond
	// restartQuestionTimeout bounds the question whether a target that broke the
	// connection has ended. It falls into the same 400 ms.
	restartQuestionTimeout = 60 * time.Millisecond
)

// rejectedError means that an upstream has responded and doesn't run the request, or no
// longer does.
type rejectedError struct{ status int }

func (e *rejectedError) Error() string { return fmt.Sprintf("rejected with status %d", e.status) }

// resumeAttempt is a request to an engine to resume a run from a copy.
type resumeAttempt struct {
	choice balancer.Choice
	copied currantwood.RunCopy
	sentAt time.Time
	// fields are those of log lines about the move.
	fields []zap.Field
	cancel context.CancelFunc
	// result receives exactly one value.
	result chan resumeResult
}

// resumeResult is the upstream stream if the engine resumes the run, else an error.
type resumeResult struct {
	opened *upstreamStream
	err    error
}

// startResume sends the request to an engine. The run may go on at its source meanwhile.
func (s *stream) startResume(ctx context.Context, choice balancer.Choice, copied currantwood.RunCopy, fields []zap.Field) *resumeAttempt {
	ctx, cancel := context.WithCancel(ctx)
	a := &resumeAttempt{choice: choice, copied: copied, sentAt: s.g.Now(), fields: fields, cancel: cancel, result: make(chan resumeResult, 1)}
	go func() {
		opened, err := s.sendResume(ctx, choice, copied)
		if err == nil {
			opened.cancel = cancel
		}
		a.result <- resumeResult{opened, err}
	}()
	return a
}

func (s *stream) sendResume(ctx context.Context, choice balancer.Choice, copied currantwood.RunCopy) (*upstreamStream, error) {
	opened, err := s.sendToUpstream(ctx, choice, s.moveLoad(), currantwood.UpstreamRequest{LastEvent: s.lastEvent.Load(), ResumeFrom: &copied})
	if err != nil {
		s.endFailedRun(choice.View, err)
		return nil, err
	}
	if err := s.checkContinues(opened); err != nil {
		opened.exchange.Abort()
		s.endFailedRun(choice.View, err)
		s.recordEnd(opened.view, opened.load, balancer.Failed)
		return nil, err
	}
	return opened, nil
}

// resumeAt waits for the response to a and lets the client's stream go on there. It
// reports whether the move is over; if not, the run goes on at its source and another
// engine may be tried.
//
// The run ends at its source once the target may have run it for too long, whether or
// not the target has responded.
func (s *stream) resumeAt(ctx context.Context, from *upstreamStream, a *resumeAttempt) bool {
	s.resuming.Store(true)
	defer s.resuming.Store(false)
	timer := time.NewTimer(resumeResponseTimeout)
	defer timer.Stop()
	select {
	case r := <-a.result:
		if s.continueAt(from, a, r) {
			return true
		}
		if !s.mayRun(ctx, a, r.err) {
			s.freeCopy(a.copied)
			return false
		}
		s.handOver(ctx, from, a, true)
	case <-timer.C:
		s.handOver(ctx, from, a, false)
	}
	return true
}

// mayRun reports whether an engine to which a request was sent may run it although the
// exchange failed. It doesn't if nothing was sent, if it has responded or if it has ended.
func (s *stream) mayRun(ctx context.Context, a *resumeAttempt, err error) bool {
	var rejected *rejectedError
	if unsent(err) || errors.As(err, &rejected) || ctx.Err() != nil {
		return false
	}
	return !s.g.hasEnded(a.choice.View, restartQuestionTimeout)
}

// hasEnded asks an engine whether the incarnation of the view has ended. No answer counts
// as no, but for a refused connection.
func (g *Gateway) hasEnded(view upstreamkeeper.View, timeout time.Duration) bool {
	state, err := g.States.State(view.Address, timeout)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	return state.Incarnation != view.Incarnation
}

// hasEndedRun asks an engine whether it has ended the run of a request, by itself or
// because the incarnation of the view has ended. No answer counts as no, but for a refused
// connection.
func (g *Gateway) hasEndedRun(view upstreamkeeper.View, id currantwood.RequestID, timeout time.Duration) bool {
	state, err := g.States.State(view.Address, timeout)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_, runs := state.FindRun(id)
	return state.Incarnation != view.Incarnation || !runs
}

// continueAt lets the client's stream go on at the engine of a if r says that it resumes
// the run. It reports whether that is so, or whether the stream has ended meanwhile.
func (s *stream) continueAt(from *upstreamStream, a *resumeAttempt, r resumeResult) bool {
	if r.err != nil {
		s.log("resume failed", append(a.fields, zap.Error(r.err), zap.Duration("after-resume", s.g.Now().Sub(a.sentAt)))...)
		return false
	}
	s.mu.Lock()
	if s.finished {
		s.mu.Unlock()
		s.abortRun(r.opened)
		s.recordEnd(r.opened.view, r.opened.load, balancer.Neutral)
		return true
	}
	s.next = r.opened
	s.mu.Unlock()
	s.endMovedRun(from, a.copied, a.choice.View.Address)
	s.g.instruments.generationsMoved.Inc(1)
	s.log("run moved", append(a.fields, zap.Duration("response", s.g.Now().Sub(a.sentAt)), zap.Int64("last-event", s.lastEvent.Load()), zap.Int64("events-left", s.eventsLeft()))...)
	return true
}
