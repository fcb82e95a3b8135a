package gateway

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/balancer"
	"github.com/currantwood/currantwood/budgeter"
	"github.com/currantwood/currantwood/sleeper"
	"github.com/currantwood/currantwood/upstreamkeeper"
)

const (
	// maxEnginesPerRound bounds the engines that are asked one after the other,
	// and maxMoveRounds how often that is repeated. All rounds together last
	// longer than most upstreams stay.
	maxEnginesPerRound = 4
	maxMoveRounds      = 10
	// moveRetryPause is the time before the engines that had no room are asked
	// again.
	moveRetryPause = 200 * time.Millisecond
	// maxBudgetChecks is how often a run that was copied asks for the retry budget, with
	// budgetCheckPause between: for 0.8 s, as engines stay for 1.5 s after their notice.
	maxBudgetChecks  = 16
	budgetCheckPause = 50 * time.Millisecond
	// minEventsLeft is the result of eventsLeft below which a run is left to
	// finish where it is.
	minEventsLeft = 10
)

// moveStreams starts to move streams away from leaving upstreams, those that would lose most
// first. The moves then run concurrently.
func (g *Gateway) moveStreams(leaving []*stream) {
	slices.SortStableFunc(leaving, func(a, b *stream) int { return cmp.Compare(b.moveValue(), a.moveValue()) })
	for _, s := range leaving {
		s.startMove()
	}
}

// promptTokenCost is the time to read a token of a prompt, relative to that to generate one:
// engines read about 14 tokens per millisecond and generate one in some milliseconds.
const promptTokenCost = 0.02

// moveValue is what the loss of the run would cost, in generated tokens: those that would have
// to be read and generated again, and those for which the client still waits.
func (s *stream) moveValue() float64 {
	generated := max(0, s.lastEvent.Load()) * s.tokensPerEvent()
	left := max(0, s.eventsLeft()) * s.tokensPerEvent()
	return promptTokenCost*float64(s.client.Size.Prompt) + float64(generated+left)
}

// eventsLeft is the largest number of events still to come, by the maximum
// output. It is 0 or less if that is unknown; such a run is never moved.
func (s *stream) eventsLeft() int64 {
	return int64(s.client.Size.Output)/s.tokensPerEvent() - max(0, s.lastEvent.Load())
}

// tokensPerEvent is the number of tokens in one event of the stream; 1 if unknown.
func (s *stream) tokensPerEvent() int64 {
	if e := s.snapshot.Groups[s.group].Engine; e != nil && e.TokensPerEvent > 0 {
		return int64(e.TokensPerEvent)
	}
	return 1
}

// outputLeft is the expected number of tokens still to come.
func (s *stream) outputLeft() currantwood.TokenCount {
	expected := s.client.Size.Expected(s.client.LengthHint) - s.client.Size.Prompt
	return max(0, expected-currantwood.TokenCount(max(0, s.lastEvent.Load())*s.tokensPerEvent()))
}

// moveIfLeaving starts to move the stream if its upstream is leaving, gone or
// restarted.
func (s *stream) moveIfLeaving(up *upstreamStream) {
	if s.g.leaves(up.view) {
		s.startMove()
	}
}

// leaves reports whether an upstream is leaving, gone or restarted.
func (g *Gateway) leaves(view upstreamkeeper.View) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.isCurrent(view)
}

// moveReason returns as what a move away from an upstream counts in the retry budget.
func (g *Gateway) moveReason(from upstreamkeeper.View) budgeter.RetryReason {
	if g.leaves(from) {
		return budgeter.MovedRun
	}
	return budgeter.RelocatedRun
}

// startMove moves the stream to another engine in a new goroutine, unless a
// move is already under way.
func (s *stream) startMove() { s.startMoveBy(s.move) }

// startMoveBy calls move in a new goroutine, unless a move is already under way.
func (s *stream) startMoveBy(move func(ctx context.Context, from *upstreamStream)) {
	engine := s.snapshot.Groups[s.group].Engine
	if engine == nil || !engine.Moves {
		return
	}
	s.mu.Lock()
	from := s.current
	if s.finished || s.moveDone != nil || s.next != nil || from == nil {
		s.mu.Unlock()
		return
	}
	done := make(chan struct{})
	// The upstream that the move reaches is used as long as the stream lasts, so ctx is
	// canceled only if nobody waits for the move any longer.
	ctx, cancel := context.WithCancel(s.ctx)
	s.moveDone, s.cancelMove = done, cancel
	s.mu.Unlock()
	go func() {
		move(ctx, from)
		s.mu.Lock()
		s.moveDone = nil
		s.mu.Unlock()
		close(done)
	}()
}

// move copies the run's memory to another engine and resumes the stream there.
// Engines that had no room are asked again after a pause: meanwhile other runs
// leave them and copies under way end.
func (s *stream) move(ctx context.Context, from *upstreamStream) {
	for range maxMoveRounds {
		if s.moveRound(ctx, from) || !sleeper.Sleep(ctx, moveRetryPause) {
			return
		}
	}
	s.log("run not moved: no engine accepted it", zap.String("from", string(from.view.ID)))
}

// moveRound tries up to maxEnginesPerRound engines, one after the other, and
// reports whether the move is over, whatever its outcome.
func (s *stream) moveRound(ctx context.Context, from *upstreamStream) bool {
	if s.confirmVersion(from); s.beganAt() == "" {
		return false
	}
	exclude := []currantwood.UpstreamID{from.view.ID}
	for range maxEnginesPerRound {
		if !s.mayMove(ctx) {
			return true
		}
		choice, err := s.pickMoveTarget(from, exclude)
		if errors.Is(err, errTargetsCold) {
			return false
		}
		if err != nil && len(exclude) == 1 {
			s.log("no engine to move to", zap.String("from", string(from.view.ID)))
			return true
		}
		if err != nil {
			return false
		}
		exclude = append(exclude, choice.View.ID)
		if s.moveTo(ctx, from, choice) {
			return true
		}
	}
	return false
}

// mayMove reports whether the run can be moved and is worth it: the client has
// received an event and still waits, the run will not end soon and its request
// has not crashed too many upstreams.
func (s *stream) mayMove(ctx context.Context) bool {
	if s.blocked() != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.finished && s.headerWritten.Load() && s.eventsLeft() >= minEventsLeft && ctx.Err() == nil
}

// reasonNotToResume returns why a run that was copied stays where it is, or "" if it may go
// on at the target. It then takes what the move costs from the retry budget.
func (s *stream) reasonNotToResume(ctx context.Context, from *upstreamStream) string {
	if !s.mayMove(ctx) {
		return "run ends soon or has ended"
	}
	return s.awaitRetryBudget(ctx, from)
}

// awaitRetryBudget takes the cost of the move from the retry budget as soon as that allows
// it. It returns why the run stays where it is, or "". A gateway may use only a part of what
// is left before the others have heard of its retries, which takes less than half a second;
// an engine that leaves stays for longer.
func (s *stream) awaitRetryBudget(ctx context.Context, from *upstreamStream) string {
	for range maxBudgetChecks {
		if s.g.takeRetryBudget(s.g.Now(), s.group, s.g.moveReason(from.view)) {
			return ""
		}
		if !sleeper.Sleep(ctx, budgetCheckPause) || !s.mayMove(ctx) {
			return "run ends soon or has ended"
		}
	}
	s.log("retry budget exhausted", s.g.budgetFields(s.g.Now(), s.group)...)
	return "retry budget exhausted"
}

// moveTo moves the run to one engine and reports whether the move is over; if
// not, another engine may be tried.
func (s *stream) moveTo(ctx context.Context, from *upstreamStream, choice balancer.Choice) bool {
	began := s.g.Now()
	fields := append(moveFields(from, choice), zap.Bool("upstream-leaves", s.g.leaves(from.view)))
	copied, err := s.copyRun(from, choice, false)
	if err != nil {
		s.log("copy failed", append(fields, zap.Error(err), zap.Duration("took", s.g.Now().Sub(began)))...)
		return !errors.Is(err, currantwood.ErrNoRoom) && !errors.Is(err, errTargetUnusable)
	}
	fields = append(fields, zap.Duration("copy", s.g.Now().Sub(began)))
	if reason := s.reasonNotToResume(ctx, from); reason != "" {
		s.recordEnd(choice.View, s.moveLoad(), balancer.Neutral)
		s.log("copied run not resumed: it ends soon or has ended, or the retry budget is exhausted", append(fields, zap.String("reason", reason))...)
		s.freeCopy(copied)
		return true
	}
	if silence, _ := from.exchange.Silence(s.g.Now()); silence >= silenceTimeout {
		s.resumeSilent(ctx, from, choice, copied, append(fields, zap.Duration("silence", silence)))
		return true
	}
	return s.resumeAt(ctx, from, s.startResume(ctx, choice, copied, fields))
}
