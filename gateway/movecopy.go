package gateway

import (
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/balancer"
	"github.com/currantwood/currantwood/upstreamkeeper"
)

const (
	// copyTimeout bounds the copying of one run's memory. Few upstreams stay
	// longer than that after announcing that they leave.
	copyTimeout = 2500 * time.Millisecond
	// dropTimeout bounds the freeing of an unused copy.
	dropTimeout = time.Second
)

// errTargetUnusable means that the target of a move isn't known to be the incarnation that
// the directory shows, or that the request may no longer be sent there.
var errTargetUnusable = errors.New("the target isn't the incarnation in the directory, or may get no requests any more")

// copyRun copies the run's memory to an engine, and asks it meanwhile whether it may be
// used still; if not, the error is errTargetUnusable. If stop is set, the source stops the
// run first. If copyRun fails, it has reported the end of the target's load to the
// balancer, and only SourceStopped of the copy is valid.
func (s *stream) copyRun(from *upstreamStream, choice balancer.Choice, stop bool) (currantwood.RunCopy, error) {
	if !s.mayBeSent(choice.View) {
		s.recordEnd(choice.View, s.moveLoad(), balancer.Neutral)
		return currantwood.RunCopy{}, errTargetUnusable
	}
	// A target that starts again after the copy has begun loses it, so the answer may be
	// older than the resume. After the resume it would delay the end of the run here.
	confirmed := make(chan bool, 1)
	go func() { confirmed <- s.g.acceptsRuns(choice.View) }()
	order := currantwood.CopyOrder{Request: s.client.ID, From: from.view.Address, To: choice.View.Address, Stop: stop}
	copied, err := s.g.Mover.Copy(order, copyTimeout)
	if copied.SourceLeaving {
		s.g.noteLeaving(from.view)
	}
	if err != nil {
		s.recordRejection(choice.View, s.moveLoad(), balancer.Neutral)
		return currantwood.RunCopy{SourceStopped: copied.SourceStopped}, err
	}
	outcome := balancer.Neutral
	accepts := <-confirmed
	if !accepts {
		outcome = balancer.Failed
	}
	if !accepts || !s.mayBeSent(choice.View) {
		s.recordEnd(choice.View, s.moveLoad(), outcome)
		s.freeCopy(copied)
		return currantwood.RunCopy{SourceStopped: copied.SourceStopped}, errTargetUnusable
	}
	return copied, nil
}

// acceptsRuns asks an engine whether it is the incarnation that the directory shows and
// isn't about to shut down. No answer counts as no.
func (g *Gateway) acceptsRuns(view upstreamkeeper.View) bool {
	state, confirmed := g.confirmIncarnation(view)
	if confirmed && state.Leaving {
		g.noteLeaving(view)
	}
	return confirmed && !state.Leaving
}

// freeCopy frees a copy that will not be used.
func (s *stream) freeCopy(copied currantwood.RunCopy) {
	if err := s.g.Mover.Drop(copied, dropTimeout); err != nil {
		s.log("copy not freed", zap.Error(err))
	}
}
