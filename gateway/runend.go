package gateway

import (
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/runstopper"
	"github.com/currantwood/currantwood/upstreamkeeper"
)

// A run that isn't wanted any longer is ended in two ways: its connection is closed, and its
// engine is ordered to stop it. The close alone isn't enough, as an engine may not hear of it, or
// work on. Nobody waits for the order. A run past its deadline is left alone: the engine was told
// the deadline with the request. Calls of plain services can't be stopped but by the close.

// abortRun closes the exchange with an engine and makes that end the run.
func (s *stream) abortRun(up *upstreamStream) {
	up.exchange.Abort()
	s.endRun(up, currantwood.RunCopy{}, "")
}

// endMovedRun is abortRun for a run that goes on at another engine, from a copy.
func (s *stream) endMovedRun(from *upstreamStream, copied currantwood.RunCopy, target string) {
	from.exchange.Abort()
	if from.handedOver.Load() {
		// stopAtSource or resumeSilent has ordered the engine to stop the run.
		return
	}
	s.endRun(from, copied, target)
}

// endRun makes an engine end the run of an exchange that is closed, once. The request goes on at
// target from copied; they are empty if it doesn't.
func (s *stream) endRun(up *upstreamStream, copied currantwood.RunCopy, target string) {
	if up.endOrdered.CompareAndSwap(false, true) {
		s.stopRun(up.view, runstopper.Run{Begun: !up.firstEventAt.IsZero(), Spare: target, UsedHandle: copied.Handle})
	}
}

// endFailedRun makes an engine end the run of a request that failed with err before its response,
// unless the engine doesn't run it.
func (q *request) endFailedRun(view upstreamkeeper.View, err error) {
	var rejected *rejectedError
	var withheld *withheldError
	if unsent(err) || errors.As(err, &rejected) || errors.As(err, &withheld) {
		return
	}
	q.stopRun(view, runstopper.Run{})
}

// stopRun orders an engine to stop the run of the request. It returns at once. The caller sets
// only what it knows beside the engine and the request.
func (q *request) stopRun(view upstreamkeeper.View, run runstopper.Run) {
	engine := q.snapshot.Groups[q.group].Engine
	if engine == nil || !engine.Moves || !q.g.Now().Before(q.deadline) {
		return
	}
	run.Request, run.Address, run.Incarnation = q.client.ID, view.Address, view.Incarnation
	if run.Spare == "" {
		run.Spare = q.g.otherEngine(view)
	}
	closedAt := q.g.Now()
	go func() {
		result := q.g.stopper.Stop(run)
		q.noteRunEnd(view, run, result, q.g.Now().Sub(closedAt))
	}()
}

// noteRunEnd counts and logs what became of a run that was to end.
func (q *request) noteRunEnd(view upstreamkeeper.View, run runstopper.Run, result runstopper.Result, took time.Duration) {
	switch result.Outcome {
	case runstopper.Stopped:
		q.g.instruments.runsStopped.Inc(1)
	case runstopper.Unknown, runstopper.Skipped:
		q.g.instruments.runEndsUnknown.Inc(1)
	case runstopper.Ended:
	}
	q.log("run no longer wanted at an engine", zap.String("upstream", string(view.ID)), zap.Stringer("outcome", result.Outcome), zap.Int("orders", result.Orders), zap.Bool("begun", run.Begun), zap.Duration("since-close", took), zap.NamedError("cause", result.Err))
}

// otherEngine returns the address of another engine of the same group, one in the same
// availability zone if there is one, else that of the engine itself.
func (g *Gateway) otherEngine(view upstreamkeeper.View) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	address := view.Address
	for _, other := range g.upstreams.Available() {
		if other.Group != view.Group || other.ID == view.ID {
			continue
		}
		if address = other.Address; other.Zone == view.Zone {
			break
		}
	}
	return address
}
