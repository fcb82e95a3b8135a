package recorder

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/ledger"
	"github.com/currantwood/currantwood/wire"
)

const (
	// streamPrefix and the shard's number name a stream of the log.
	streamPrefix = "operations-"
	// maxWaiting bounds the records that wait for an append.
	maxWaiting = 4096
	// maxBatchRecords bounds the records of one append.
	maxBatchRecords = 256
)

// waiter is a call whose verdict is awaited.
type waiter struct {
	call *wire.Call
	// deadline bounds the wait for the service's answer.
	deadline time.Time
	// verdict has room for the one answer.
	verdict chan *wire.Answer
}

// shard is one shard of the operations log.
type shard struct {
	recorder *Recorder
	stream   currantwood.StreamName
	// wake is signalled when something waits to be appended, readNow when the
	// log is likely to have something new.
	wake    chan struct{}
	readNow chan struct{}

	mu     sync.Mutex
	ledger *ledger.Ledger
	// waiting are the records to append, oldest first.
	waiting []ledger.Record
	// mark asks for an append even if no record waits.
	mark  bool
	calls map[currantwood.AttemptID]*waiter
}

func newShard(r *Recorder, number int) *shard {
	return &shard{
		recorder: r,
		stream:   currantwood.StreamName(fmt.Sprint(streamPrefix, number)),
		wake:     make(chan struct{}, 1),
		readNow:  make(chan struct{}, 1),
		ledger:   ledger.New(),
		calls:    make(map[currantwood.AttemptID]*waiter),
	}
}

func (s *shard) begin(now time.Time, id currantwood.AttemptID, operation ledger.Operation, call *wire.Call) <-chan *wire.Answer {
	w := &waiter{call: call, deadline: operation.Deadline, verdict: make(chan *wire.Answer, 1)}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) >= maxWaiting {
		w.verdict <- refused(currantwood.NewRefusal(currantwood.KindLogDown, step, "Too many operations wait for the log.", retryAfterBusy))
		return w.verdict
	}
	s.calls[id] = w
	s.perform(s.ledger.Begin(now, id, operation))
	return w.verdict
}

// perform does what the ledger asks for. The caller holds mu.
func (s *shard) perform(actions []ledger.Action) {
	for _, action := range actions {
		switch action.Kind {
		case ledger.ActionAppend:
			s.waiting = append(s.waiting, action.Record)
			signal(s.wake)
		case ledger.ActionDispatch:
			s.dispatch(action.Call)
		case ledger.ActionAnswer, ledger.ActionRefuse:
			s.conclude(action)
		}
	}
}

func (s *shard) conclude(action ledger.Action) {
	w := s.calls[action.Call]
	if w == nil {
		return
	}
	delete(s.calls, action.Call)
	w.verdict <- verdict(action, s.recorder.options.Upstream)
}

// dispatch sends a call that owns its operation, unless the ledger takes that
// back at the last moment. The caller holds mu.
func (s *shard) dispatch(id currantwood.AttemptID) {
	w := s.calls[id]
	s.recorder.start(func() {
		s.mu.Lock()
		allowed, actions := s.ledger.Dispatch(time.Now(), id)
		s.perform(actions)
		s.mu.Unlock()
		if allowed {
			s.run(id, w)
		}
	})
}

// run sends a call and takes its outcome in. The call isn't given up at its
// deadline, so that the outcome can be asked for.
func (s *shard) run(id currantwood.AttemptID, w *waiter) {
	s.recorder.meters.runs.Inc(1)
	ctx, cancel := context.WithDeadline(s.recorder.ctx, w.deadline.Add(outcomeGrace))
	defer cancel()
	answer, err := s.recorder.options.Service.Call(ctx, serviceCall(w.call))
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	switch {
	case errors.Is(err, currantwood.ErrNotDispatched):
		s.perform(s.ledger.NotDispatched(now, id, err.Error()))
	case err != nil:
		s.recorder.logError("outcome of a call is unknown", s.stream, err)
		s.perform(s.ledger.Done(now, id, ledger.Outcome{Unknown: true}))
	default:
		s.perform(s.ledger.Done(now, id, ledger.Outcome{Answer: answer}))
	}
}

func (s *shard) ask(ctx context.Context, id currantwood.AttemptID, scope ledger.Scope) *wire.Answer {
	if err := s.readHead(ctx); err != nil {
		refusal := currantwood.NewRefusal(currantwood.KindLogDown, step, "The operations log can't be read.", retryAfterBusy)
		refusal.Ran = currantwood.RanUnknown
		refusal.Operation = scope.OperationID()
		return refused(refusal)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return verdict(s.ledger.Ask(time.Now(), id, scope), s.recorder.options.Upstream)
}

func (s *shard) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.perform(s.ledger.Tick(now))
	if s.ledger.MarkDue(now.Add(-s.recorder.markDelay)) {
		s.ledger.Marked(now)
		s.mark = true
		signal(s.wake)
	}
}

func (s *shard) unsettled() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Unsettled()
}

func (s *shard) operations() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(s.ledger.Operations())
}

func (r *Recorder) logError(message string, stream currantwood.StreamName, err error) {
	if r.ctx.Err() == nil {
		r.options.Logger.Warn(message, zap.String("step", step), zap.String("stream", string(stream)),
			zap.String("peer", string(r.options.Upstream)), zap.Error(err))
	}
}

// signal wakes the one that waits on the channel, now or at its next wait.
func signal(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}
