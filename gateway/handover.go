package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/balancer"
	"github.com/currantwood/currantwood/sleeper"
	"github.com/currantwood/currantwood/upstreamkeeper"
)

const (
	// stopTimeout is how long the source may take to stop the run by itself before its
	// connection is closed.
	stopTimeout = 60 * time.Millisecond
	// handOverTimeout bounds the time from the end of a run at its source to the response
	// of an engine that goes on with it.
	handOverTimeout = awaitMoveTimeout - 500*time.Millisecond
	// stateLag is how old the state that an engine reports may be.
	stateLag = 500 * time.Millisecond
	// runEndInterval is the time between two questions whether an engine has ended a run.
	runEndInterval = 100 * time.Millisecond
	// runEndQuestionTimeout bounds each of them.
	runEndQuestionTimeout = 300 * time.Millisecond
)

// Reasons why no spare engine has the memory of a run.
var (
	errNoSpare         = errors.New("no other engine to go on at")
	errBudgetExhausted = errors.New("retry budget exhausted")
)

// spareCopy is the copy of a run that was stopped at its source.
type spareCopy struct {
	choice balancer.Choice
	// ready is closed once the copy is complete, and done once it is complete or has
	// failed. The fields below are set before.
	ready, done chan struct{}
	copied      currantwood.RunCopy
	err         error
}

// handOver ends the run at its source, since the target of a may run it. failed is
// whether the exchange with the target has failed already. If the target doesn't respond
// before the run's memory is at a spare engine, the stream goes on there.
func (s *stream) handOver(ctx context.Context, from *upstreamStream, a *resumeAttempt, failed bool) {
	s.g.instruments.movesUnanswered.Inc(1)
	s.log("run stopped at its source: the target of the move may run it and has not responded", append(a.fields, zap.Duration("after-resume", s.g.Now().Sub(a.sentAt)), zap.Bool("failed", failed))...)
	wait, stop := context.WithTimeout(ctx, handOverTimeout)
	defer stop()
	spare := s.stopAtSource(from, a.choice.View.ID)
	if !failed && s.awaitTarget(wait, from, a, spare.ready) {
		go s.freeSpare(spare)
		return
	}
	if !s.awaitSpare(ctx, spare, a.fields) {
		return
	}
	if !s.awaitRunEnd(wait, a.choice.View, a.sentAt) {
		s.log("run lost: the target of the move may still run it", a.fields...)
		s.freeSpare(spare)
		return
	}
	s.resumeAtSpare(ctx, wait, from, spare)
}

// awaitSpare waits until the memory of a run is at a spare engine. It returns false if it isn't,
// or if nobody waits for the run any longer.
func (s *stream) awaitSpare(ctx context.Context, spare *spareCopy, fields []zap.Field) bool {
	<-spare.done
	if ctx.Err() != nil {
		s.freeSpare(spare)
		return false
	}
	if spare.err != nil {
		s.log("run lost: no spare engine has its memory", append(fields, zap.Error(spare.err))...)
		return false
	}
	return true
}

// resumeAtSpare lets the client's stream go on at a spare engine, which has until wait is done
// to respond.
func (s *stream) resumeAtSpare(ctx, wait context.Context, from *upstreamStream, spare *spareCopy) {
	next := s.startResume(ctx, spare.choice, spare.copied, moveFields(from, spare.choice))
	if !s.awaitTarget(wait, from, next, nil) {
		s.log("run lost: the spare engine didn't resume it", next.fields...)
		s.freeCopy(spare.copied)
	}
}

// stopAtSource makes the source stop the run, keep its memory and copy that to another engine,
// but to none of those given. It returns at once. The connection to the source is closed if
// the source doesn't stop the run by itself.
func (s *stream) stopAtSource(from *upstreamStream, unusable ...currantwood.UpstreamID) *spareCopy {
	from.handedOver.Store(true)
	spare := &spareCopy{ready: make(chan struct{}), done: make(chan struct{})}
	exclude := append(unusable, from.view.ID)
	spare.choice, spare.err = s.pickMoveTarget(from, exclude)
	if spare.err == nil && !s.g.takeRetryBudget(s.g.Now(), s.group, s.g.moveReason(from.view)) {
		s.recordEnd(spare.choice.View, s.moveLoad(), balancer.Neutral)
		spare.err = errBudgetExhausted
	}
	if spare.err != nil {
		s.abortRun(from)
		close(spare.done)
		return spare
	}
	time.AfterFunc(stopTimeout, from.exchange.Abort)
	go func() {
		defer close(spare.done)
		if spare.copied, spare.err = s.copyRun(from, spare.choice, true); spare.err == nil {
			close(spare.ready)
		} else if !spare.copied.SourceStopped {
			s.abortRun(from)
		}
	}()
	return spare
}

// awaitTarget waits for the response of the target until a spare engine is ready or ctx
// is done, and then ends the exchange. It reports whether the move is over.
func (s *stream) awaitTarget(ctx context.Context, from *upstreamStream, a *resumeAttempt, spareReady <-chan struct{}) bool {
	select {
	case r := <-a.result:
		return s.continueAt(from, a, r)
	case <-spareReady:
	case <-ctx.Done():
	}
	a.cancel()
	return s.continueAt(from, a, <-a.result)
}

// awaitRunEnd waits until an engine, to which the request was sent or which was told to stop it
// at a moment, reports that it doesn't run the request. It returns false if that isn't known
// before ctx is done.
func (s *stream) awaitRunEnd(ctx context.Context, view upstreamkeeper.View, since time.Time) bool {
	// A report that is older than the run doesn't have it.
	if !sleeper.Sleep(ctx, since.Add(stateLag).Sub(s.g.Now())) {
		return false
	}
	for {
		if s.g.hasEndedRun(view, s.client.ID, runEndQuestionTimeout) {
			return true
		}
		if !sleeper.Sleep(ctx, runEndInterval) {
			return false
		}
	}
}

// freeSpare frees a spare copy that isn't needed, once it is complete.
func (s *stream) freeSpare(spare *spareCopy) {
	<-spare.done
	if spare.err == nil {
		s.recordEnd(spare.choice.View, s.moveLoad(), balancer.Neutral)
		s.freeCopy(spare.copied)
	}
}
