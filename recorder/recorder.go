// Package recorder sends calls to one plain service, which is an HTTP service other
// than an LLM engine. A call that must not run twice is recorded in the operations
// log before it is sent. Package ledger decides what to do with such a call; this
// package does its I/O: it reads the log, calls the service, and appends records in
// batches, so that the rate of appends stays within a limit.
package recorder

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/ledger"
	"github.com/currantwood/currantwood/wire"
)

const (
	// step names this package in refusals and log lines.
	step = "recorder"

	// DefaultAppendsPerSecond is the default of Options.AppendsPerSecond.
	DefaultAppendsPerSecond = 40

	// tickInterval is how often each shard's ledger.Tick is called.
	tickInterval = 20 * time.Millisecond
	// answerGrace is how long Call waits for the ledger's answer after ctx is
	// done. The entry may have stopped waiting before.
	answerGrace = 500 * time.Millisecond
	// outcomeGrace is how long after a call's deadline the service may still
	// respond. The outcome is recorded, so that the client can ask for it later.
	outcomeGrace = 30 * time.Second
	// maxMarkDelay bounds the random delay of a process's marks, which are empty
	// batches by which later readers can tell how far back the log reaches. It
	// spreads the marks of many processes over time.
	maxMarkDelay = time.Minute
	// drainPollInterval is how often Drain checks for unsettled calls.
	drainPollInterval = 10 * time.Millisecond
	// retryAfterLogDown is the retry delay sent to clients when too many records
	// wait for an append or the log can't be read.
	retryAfterLogDown = time.Second
	// retryAfterError is the retry delay sent to clients when a service failed or
	// no outcome is known in time.
	retryAfterError = 500 * time.Millisecond
)

// Options configures a Recorder.
type Options struct {
	Log     currantwood.Log
	Service currantwood.Service
	// Upstream identifies the service in refusals and log lines.
	Upstream currantwood.UpstreamID
	// AppendsPerSecond bounds the rate of appends over all shards; 0 means
	// DefaultAppendsPerSecond.
	AppendsPerSecond float64
	Metrics          metrics.Registry
	Logger           *zap.Logger
}

// Recorder sends calls to one service and records those that must not run twice.
// It is safe for concurrent use.
type Recorder struct {
	options       Options
	incarnation   currantwood.Incarnation
	appendLimiter *rate.Limiter
	shards        [ledger.Shards]*shard
	meters        *meters
	// callCount and callIDPrefix form the call IDs, which are unique among all
	// processes.
	callCount    atomic.Uint64
	callIDPrefix string
	markDelay    time.Duration

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New starts a recorder, which reads the log from its oldest record.
func New(options Options) *Recorder {
	if options.AppendsPerSecond == 0 {
		options.AppendsPerSecond = DefaultAppendsPerSecond
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Recorder{
		options:     options,
		incarnation: currantwood.Incarnation(rand.Uint64()),
		// The burst lets every shard append at once.
		appendLimiter: rate.NewLimiter(rate.Limit(options.AppendsPerSecond), ledger.Shards),
		callIDPrefix:  uuid.NewString(),
		markDelay:     rand.N(maxMarkDelay),
		ctx:           ctx,
		cancel:        cancel,
	}
	for i := range r.shards {
		r.shards[i] = newShard(r, i)
	}
	r.meters = newMeters(options.Metrics, r.operationCount)
	for _, s := range r.shards {
		r.startGoroutine(s.appendLoop)
		r.startGoroutine(s.readLoop)
	}
	r.startGoroutine(r.tickLoop)
	return r
}

// startGoroutine calls f in a goroutine that Close waits for. It does nothing
// after Close.
func (r *Recorder) startGoroutine(f func()) {
	if r.ctx.Err() != nil {
		return
	}
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		f()
	}()
}

// Call performs a call and returns its final answer.
func (r *Recorder) Call(ctx context.Context, call *wire.Call) *wire.Answer {
	if call.Repeatable {
		return r.callRepeatable(ctx, call)
	}
	scope := ledger.Scope{
		Customer: currantwood.CustomerID(call.Customer),
		Rule:     currantwood.RuleID(call.Rule),
		Key:      currantwood.OperationKey(call.OperationKey),
	}
	now := time.Now()
	operation := ledger.Operation{
		Scope:       scope,
		Fingerprint: currantwood.Fingerprint(call.Fingerprint),
		Deadline:    now.Add(time.Duration(call.DeadlineMs) * time.Millisecond),
		Window:      time.Duration(call.WindowMs) * time.Millisecond,
	}
	return r.awaitAnswer(ctx, scope, r.shards[scope.Shard()].begin(now, r.newCallID(), operation, call))
}

// awaitAnswer returns the ledger's answer. Once ctx is done, it waits for up to
// answerGrace more, but not beyond Close. If no answer comes by then, the call may
// have been sent, so the outcome is unknown.
func (r *Recorder) awaitAnswer(ctx context.Context, scope ledger.Scope, answers <-chan *wire.Answer) *wire.Answer {
	select {
	case answer := <-answers:
		return answer
	case <-ctx.Done():
	}
	timer := time.NewTimer(answerGrace)
	defer timer.Stop()
	select {
	case answer := <-answers:
		return answer
	case <-timer.C:
	case <-r.ctx.Done():
	}
	return answerFromRefusal(&currantwood.Refusal{
		Kind: currantwood.KindOutcomeUnknown, Ran: currantwood.RanUnknown, RetryAfter: retryAfterError,
		Step: step, Detail: "The side ended before the outcome was known.", Operation: scope.OperationID(),
	})
}

// Ask returns the recorded outcome of an operation without running it.
func (r *Recorder) Ask(ctx context.Context, ask *wire.Ask) *wire.Answer {
	scope := ledger.Scope{
		Customer: currantwood.CustomerID(ask.Customer),
		Rule:     currantwood.RuleID(ask.Rule),
		Key:      currantwood.OperationKey(ask.OperationKey),
	}
	return r.shards[scope.Shard()].ask(ctx, r.newCallID(), scope)
}

// Drain waits until every recorded call that was sent has its outcome in the log,
// and every recorded attempt that was given up is marked so there. It returns an
// error if ctx is done before. It must be called only when no more calls arrive.
func (r *Recorder) Drain(ctx context.Context) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for r.unsettledCount() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// Close cancels the recorded calls in flight, stops the recorder's goroutines and
// waits for them.
func (r *Recorder) Close() {
	r.cancel()
	r.wg.Wait()
}

// newCallID returns a new ID for ledger.Begin, which forms the IDs of the call's
// attempts from it.
func (r *Recorder) newCallID() currantwood.AttemptID {
	return currantwood.AttemptID(r.callIDPrefix + "-" + formatBase36(r.callCount.Add(1)))
}

func (r *Recorder) unsettledCount() int {
	sum := 0
	for _, s := range r.shards {
		sum += s.unsettledCount()
	}
	return sum
}

func (r *Recorder) operationCount() int64 {
	sum := int64(0)
	for _, s := range r.shards {
		sum += s.operationCount()
	}
	return sum
}

func (r *Recorder) tickLoop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
		}
		for _, s := range r.shards {
			s.tick(time.Now())
		}
	}
}
