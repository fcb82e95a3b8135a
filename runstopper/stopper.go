// Package runstopper makes engines end runs that nobody waits for any longer. That the
// connection of a run is closed doesn't show that the run has ended: the engine may not hear
// of it, or may work on. So the engine is ordered to stop the run over a connection of its
// own, again if the order is lost, until the run is known to have ended.
package runstopper

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/sleeper"
)

const (
	// closeGrace is the time that an engine has to end a run by itself once its connection is
	// closed, before the first order.
	closeGrace = 50 * time.Millisecond
	// retryPause is the time from an order without a result to the next.
	retryPause = 100 * time.Millisecond
	// maxOrders bounds the orders for one run.
	maxOrders = 4
	// orderTimeout bounds an order. The engine stops the run first and responds once it has
	// copied the run's memory.
	orderTimeout = 2500 * time.Millisecond
	// reportLag is how old the state may be that an engine reports.
	reportLag = 500 * time.Millisecond
	// reportTimeout bounds the question for that state.
	reportTimeout = 300 * time.Millisecond
	// dropTimeout bounds the freeing of a copy, which nobody uses.
	dropTimeout = time.Second
	// maxConcurrent bounds the runs that are being stopped at a time.
	maxConcurrent = 512
)

// Run is a run to end.
type Run struct {
	Request currantwood.RequestID
	// Address is that of the engine, host:port, and Incarnation the one that began the run.
	Address     string
	Incarnation int64
	// Begun is whether the engine has generated an event. One that hasn't may hold the request
	// in its queue, where an order doesn't find it.
	Begun bool
	// Spare is the address, host:port, of the engine that the order names as the target of a
	// copy. The copy is freed at once.
	Spare string
	// UsedHandle is the handle of a copy at Spare from which the request goes on there; empty if
	// there is none. That copy isn't freed.
	UsedHandle string
}

// Result is the result of Stop.
type Result struct {
	Outcome Outcome
	// Orders is the number of orders that were sent.
	Orders int
	// Err is the error of the last order that failed; nil if none did.
	Err error
}

// Stopper stops runs. It is safe for concurrent use.
type Stopper struct {
	mover  currantwood.RunMover
	states currantwood.StateReader
	now    func() time.Time
	slots  *semaphore.Weighted
}

// New returns a Stopper that sends its orders through mover and asks states.
func New(mover currantwood.RunMover, states currantwood.StateReader, now func() time.Time) *Stopper {
	return &Stopper{mover: mover, states: states, now: now, slots: semaphore.NewWeighted(maxConcurrent)}
}

// Stop ends a run whose connection has just been closed, and returns once it is known to have
// ended or after maxOrders orders.
func (s *Stopper) Stop(run Run) Result {
	if !s.slots.TryAcquire(1) {
		return Result{Outcome: Skipped}
	}
	defer s.slots.Release(1)
	began := s.now()
	result, pause := Result{}, closeGrace
	for result.Outcome == Unknown && result.Orders < maxOrders {
		// Nobody waits for the run, so there is nothing that ends this sleep early.
		sleeper.Sleep(context.Background(), pause)
		pause = retryPause
		result.Orders++
		result.Outcome, result.Err = s.order(run)
		if result.Outcome == Unknown && s.now().Sub(began) >= reportLag {
			result.Outcome = s.ask(run)
		}
	}
	return result
}

// order orders the engine once to stop the run.
func (s *Stopper) order(run Run) (Outcome, error) {
	copied, err := s.mover.Copy(currantwood.CopyOrder{Request: run.Request, From: run.Address, To: run.Spare, Stop: true}, orderTimeout)
	if copied.Handle != "" && copied.Handle != run.UsedHandle {
		// A copy that isn't freed here is freed by the engines after a while.
		_ = s.mover.Drop(copied, dropTimeout)
	}
	switch {
	case copied.SourceStopped && copied.Handle != "":
		return Stopped, nil
	case copied.SourceStopped && !run.Begun:
		sleeper.Sleep(context.Background(), reportLag)
		return s.ask(run), err
	case copied.SourceStopped, errors.Is(err, syscall.ECONNREFUSED):
		return Ended, err
	}
	return Unknown, err
}

// ask asks the engine whether it works on the run. The connection of the run must have been
// closed for reportLag.
func (s *Stopper) ask(run Run) Outcome {
	state, err := s.states.State(run.Address, reportTimeout)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			return Ended
		}
		return Unknown
	}
	if _, runs := state.FindRun(run.Request); runs && state.Incarnation == run.Incarnation {
		return Unknown
	}
	return Ended
}
