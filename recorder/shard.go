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
	// streamPrefix precedes the shard's number in the name of its stream.
	streamPrefix = "operations-"
	// maxPendingRecords limits the queue for new calls: they are refused while at
	// least that many records wait for an append. Records of earlier calls may
	// exceed it.
	maxPendingRecords = 4096
	// maxBatchRecords is the maximum number of records per append.
	maxBatchRecords = 256
)

// pendingCall is a call that has no answer yet.
type pendingCall struct {
	call *wire.Call
	// deadline is the call's deadline; callService adds outcomeGrace.
	deadline time.Time
	// answer receives the only answer; its capacity is 1.
	answer chan *wire.Answer
}

// shard reads and appends to the stream of one shard of the operations log and
// performs the actions of its ledger.
type shard struct {
	recorder *Recorder
	stream   currantwood.StreamName
	// appendWake is signaled when a batch has to be appended, readWake when the log
	// is likely to have new records or an append failed: the ledger then looks in
	// the log for a record that may have been stored before it appends it again.
	appendWake chan struct{}
	readWake   chan struct{}

	mu     sync.Mutex
	ledger *ledger.Ledger
	// pendingRecords holds the records to append, oldest first.
	pendingRecords []ledger.Record
	// markDue is set when a batch has to be appended even if it has no records.
	markDue bool
	// calls holds the calls that have no answer yet, by the ID given to
	// ledger.Begin.
	calls map[currantwood.AttemptID]*pendingCall
}

func newShard(r *Recorder, number int) *shard {
	return &shard{
		recorder:   r,
		stream:     currantwood.StreamName(fmt.Sprint(streamPrefix, number)),
		appendWake: make(chan struct{}, 1),
		readWake:   make(chan struct{}, 1),
		ledger:     ledger.New(),
		calls:      make(map[currantwood.AttemptID]*pendingCall),
	}
}

// begin passes a call to the ledger and returns the channel that receives its
// answer.
func (s *shard) begin(now time.Time, id currantwood.AttemptID, operation ledger.Operation, call *wire.Call) <-chan *wire.Answer {
	pending := &pendingCall{call: call, deadline: operation.Deadline, answer: make(chan *wire.Answer, 1)}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pendingRecords) >= maxPendingRecords {
		pending.answer <- answerFromRefusal(currantwood.NewRefusal(currantwood.KindLogDown, step, "Too many operations wait for the log.", retryAfterLogDown))
		return pending.answer
	}
	s.calls[id] = pending
	s.perform(s.ledger.Begin(now, id, operation))
	return pending.answer
}

// perform performs the ledger's actions. The caller holds mu.
func (s *shard) perform(actions []ledger.Action) {
	for _, action := range actions {
		switch action.Kind {
		case ledger.ActionAppend:
			s.pendingRecords = append(s.pendingRecords, action.Record)
			signal(s.appendWake)
		case ledger.ActionDispatch:
			s.dispatch(action.Call)
		case ledger.ActionRespond, ledger.ActionRefuse:
			s.deliverAnswer(action)
		}
	}
}

func (s *shard) deliverAnswer(action ledger.Action) {
	pending := s.calls[action.Call]
	if pending == nil {
		return
	}
	delete(s.calls, action.Call)
	pending.answer <- answerFromAction(action, s.recorder.options.Upstream)
}

// dispatch starts a goroutine that sends a call that owns its operation, unless the
// ledger refuses the call right before it is sent. The caller holds mu.
func (s *shard) dispatch(id currantwood.AttemptID) {
	pending := s.calls[id]
	s.recorder.startGoroutine(func() {
		s.mu.Lock()
		allowed, actions := s.ledger.AllowSend(time.Now(), id)
		s.perform(actions)
		s.mu.Unlock()
		if allowed {
			s.callService(id, pending)
		}
	})
}

// callService sends a call to the service and passes the outcome to the ledger. It
// waits beyond the deadline, so that the client can ask for the outcome later.
func (s *shard) callService(id currantwood.AttemptID, pending *pendingCall) {
	s.recorder.meters.runs.Inc(1)
	ctx, cancel := context.WithDeadline(s.recorder.ctx, pending.deadline.Add(outcomeGrace))
	defer cancel()
	response, err := s.recorder.options.Service.Call(ctx, toServiceCall(pending.call))
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	switch {
	case errors.Is(err, currantwood.ErrNotDispatched):
		s.perform(s.ledger.NotSent(now, id, err.Error()))
	case err != nil:
		s.recorder.logError("outcome of a call is unknown", s.stream, err)
		s.perform(s.ledger.Done(now, id, ledger.Outcome{Unknown: true}))
	default:
		s.perform(s.ledger.Done(now, id, ledger.Outcome{Response: response}))
	}
}

// ask reads the stream to its end and returns what the ledger knows of an
// operation. id only identifies the query in the ledger's action.
func (s *shard) ask(ctx context.Context, id currantwood.AttemptID, scope ledger.Scope) *wire.Answer {
	if err := s.readToEnd(ctx); err != nil {
		refusal := currantwood.NewRefusal(currantwood.KindLogDown, step, "The operations log can't be read.", retryAfterLogDown)
		refusal.Ran = currantwood.RanUnknown
		refusal.Operation = scope.OperationID()
		return answerFromRefusal(refusal)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return answerFromAction(s.ledger.Query(time.Now(), id, scope), s.recorder.options.Upstream)
}

func (s *shard) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.perform(s.ledger.Tick(now))
	// The earlier time delays this process's mark by markDelay, so that a batch of
	// another process can make it unnecessary.
	if s.ledger.MarkDue(now.Add(-s.recorder.markDelay)) {
		s.ledger.PostponeMark(now)
		s.markDue = true
		signal(s.appendWake)
	}
}

func (s *shard) unsettledCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Unsettled()
}

func (s *shard) operationCount() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(s.ledger.Operations())
}

// logError logs at level Warn. After Close it does nothing, because the errors are
// then due to the canceled context.
func (r *Recorder) logError(message string, stream currantwood.StreamName, err error) {
	if r.ctx.Err() == nil {
		r.options.Logger.Warn(message, zap.String("step", step), zap.String("stream", string(stream)),
			zap.String("peer", string(r.options.Upstream)), zap.Error(err))
	}
}

// signal wakes the receiver of a channel of capacity 1, now or at its next receive.
func signal(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}
