package gateway

import (
	"context"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/balancer"
)

// An open connection may go silent, without a reset, while new ones to the same engine work. The
// engine then doesn't hear that its exchange was closed, and works on. What stops it is an order
// over a connection of its own.

const (
	// silenceTimeout is how long nothing may arrive from an engine before the gateway doubts
	// that the engine would hear of the end of the exchange.
	silenceTimeout = time.Second
	// silenceQuestionAfter is how long nothing may arrive before the engine is asked whether
	// it has generated events since. Long prompts of other requests delay events by less.
	silenceQuestionAfter = 2 * time.Second
	// silenceInterval is the time between two searches for silent exchanges.
	silenceInterval = 500 * time.Millisecond
	// silenceQuestionTimeout bounds a question to the engine of a silent exchange.
	silenceQuestionTimeout = 300 * time.Millisecond
)

// unheard reports whether an exchange ended with an error that the upstream need not have heard
// of: this gateway has closed the connection, or its probes weren't acknowledged.
func unheard(err error) bool {
	return errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.ETIMEDOUT)
}

// moveSilent starts to move the runs whose connections have gone silent.
func (g *Gateway) moveSilent(now time.Time) {
	if now.Sub(g.silenceCheckedAt) < silenceInterval {
		return
	}
	g.silenceCheckedAt = now
	for _, s := range g.silentStreams(now) {
		s.startMoveBy(s.moveIfSilent)
	}
}

// silentStreams returns the streams that have begun and whose exchanges have been silent for
// silenceQuestionAfter.
func (g *Gateway) silentStreams(now time.Time) []*stream {
	g.mu.Lock()
	var all []*stream
	for id := range g.streams {
		all = append(all, g.streamsAt(id)...)
	}
	g.mu.Unlock()
	var silent []*stream
	for _, s := range all {
		s.mu.Lock()
		current := s.current
		s.mu.Unlock()
		if current == nil || !s.headerWritten.Load() {
			continue
		}
		if silence, awaited := current.exchange.Silence(now); awaited && silence >= silenceQuestionAfter {
			silent = append(silent, s)
		}
	}
	return silent
}

// moveIfSilent moves the run if its engine has generated events that haven't arrived. Otherwise
// the engine may only be slow.
func (s *stream) moveIfSilent(ctx context.Context, from *upstreamStream) {
	state, err := s.g.States.State(from.view.Address, silenceQuestionTimeout)
	if err != nil || state.Incarnation != from.view.Incarnation {
		return
	}
	silence, awaited := from.exchange.Silence(s.g.Now())
	run, runs := state.FindRun(s.client.ID)
	// The ids of events begin with 0 or 1.
	if !runs || !awaited || silence < silenceQuestionAfter || run.Events <= s.lastEvent.Load()+1 {
		return
	}
	s.log("connection is silent: its engine has generated events that haven't arrived", zap.String("upstream", string(from.view.ID)), zap.Duration("silence", silence), zap.Int64("last-event", s.lastEvent.Load()), zap.Int64("generated", run.Events))
	s.stopAndMove(ctx, from)
}

// moveFromUnheard returns where the stream goes on after its exchange has ended with an error
// that the engine need not have heard of; nil if nowhere. The run has then been told to stop.
func (s *stream) moveFromUnheard(from *upstreamStream) *upstreamStream {
	next := s.awaitMove()
	if next != nil || from.handedOver.Load() || s.ctx.Err() != nil {
		return next
	}
	s.startMoveBy(s.moveUnheard)
	if next = s.awaitMove(); next == nil && !from.handedOver.Load() {
		s.abortRun(from)
	}
	return next
}

// moveUnheard moves the run after its exchange has ended with an error that the engine need not
// have heard of, if the engine still works on it.
func (s *stream) moveUnheard(ctx context.Context, from *upstreamStream) {
	state, err := s.g.States.State(from.view.Address, silenceQuestionTimeout)
	if err != nil || state.Incarnation != from.view.Incarnation {
		return
	}
	if _, runs := state.FindRun(s.client.ID); runs {
		s.stopAndMove(ctx, from)
	}
}

// stopAndMove stops the run at its engine and lets it go on at another one.
func (s *stream) stopAndMove(ctx context.Context, from *upstreamStream) {
	if s.confirmVersion(from); s.beganAt() == "" || !s.mayMove(ctx) {
		return
	}
	wait, stop := context.WithTimeout(ctx, handOverTimeout)
	defer stop()
	s.g.instruments.runsStoppedUnheard.Inc(1)
	spare := s.stopAtSource(from)
	if s.awaitSpare(ctx, spare, moveFields(from, spare.choice)) {
		s.resumeAtSpare(ctx, wait, from, spare)
	}
}

// resumeSilent stops a run that was copied to an engine and whose exchange is silent, copies
// the rest of its memory and then lets it go on there. If it isn't known to have stopped, it
// stays where it is.
func (s *stream) resumeSilent(ctx context.Context, from *upstreamStream, choice balancer.Choice, copied currantwood.RunCopy, fields []zap.Field) {
	wait, stop := context.WithTimeout(ctx, handOverTimeout)
	defer stop()
	s.g.instruments.runsStoppedUnheard.Inc(1)
	s.log("run stopped at its source: its connection may be silent", fields...)
	from.handedOver.Store(true)
	began := s.g.Now()
	order := currantwood.CopyOrder{Request: s.client.ID, From: from.view.Address, To: choice.View.Address, Stop: true}
	rest, err := s.g.Mover.Copy(order, copyTimeout)
	if !rest.SourceStopped && !s.awaitRunEnd(wait, from.view, began) {
		from.handedOver.Store(false)
		s.log("run not moved: its source may still run it", append(fields, zap.Error(err))...)
		s.recordEnd(choice.View, s.moveLoad(), balancer.Neutral)
		s.freeCopy(copied)
		return
	}
	if err == nil {
		copied = rest
	}
	a := s.startResume(ctx, choice, copied, fields)
	if !s.awaitTarget(wait, from, a, nil) {
		s.log("run lost: the target of the move didn't resume it", fields...)
		from.exchange.Abort()
		s.freeCopy(copied)
	}
}
