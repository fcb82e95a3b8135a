// Package recorder runs the calls of one plain service. A call that may not be
// repeated is recorded in the operations log before it is sent; package ledger
// decides, and this package does the input and output for it: it appends what
// waits in as few records as the log's rate allows, reads the log and calls the
// service.
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
	step = "recorder"

	// DefaultAppendsPerSecond bounds the appends of one side over all shards.
	DefaultAppendsPerSecond = 40

	tickInterval = 20 * time.Millisecond
	// verdictGrace is waited for the ledger's own verdict after a call's time
	// is over.
	verdictGrace = 500 * time.Millisecond
	// outcomeGrace is how long an outcome is awaited after its call's deadline,
	// so that it can be asked for later.
	outcomeGrace = 30 * time.Second
	// markSpread spreads the marks of many processes.
	markSpread = time.Minute
	// drainPoll is the time between two looks at what is unsettled.
	drainPoll = 10 * time.Millisecond
	// retryAfterBusy is when to come back to a side whose queue is full.
	retryAfterBusy = time.Second
	// retryAfterError is when to come back after a service failed.
	retryAfterError = 500 * time.Millisecond
)

// Options says what a recorder needs.
type Options struct {
	Log     currantwood.Log
	Service currantwood.Service
	// Upstream is the service's name in refusals.
	Upstream currantwood.UpstreamID
	// AppendsPerSecond bounds the appends; 0 means the default.
	AppendsPerSecond float64
	Metrics          metrics.Registry
	Logger           *zap.Logger
}

// Recorder is safe for concurrent use.
type Recorder struct {
	options     Options
	incarnation currantwood.Incarnation
	limiter     *rate.Limiter
	shards      [ledger.Shards]*shard
	meters      *meters
	// attempts numbers the calls of this process.
	attempts   atomic.Uint64
	attemptKey string
	markDelay  time.Duration

	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup
}

// New starts a recorder. It reads the log from its oldest record on.
func New(options Options) *Recorder {
	if options.AppendsPerSecond == 0 {
		options.AppendsPerSecond = DefaultAppendsPerSecond
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Recorder{
		options:     options,
		incarnation: currantwood.Incarnation(rand.Uint64()),
		limiter:     rate.NewLimiter(rate.Limit(options.AppendsPerSecond), ledger.Shards),
		attemptKey:  uuid.NewString(),
		markDelay:   rand.N(markSpread),
		ctx:         ctx,
		cancel:      cancel,
	}
	for i := range r.shards {
		r.shards[i] = newShard(r, i)
	}
	r.meters = newMeters(options.Metrics, r.operations)
	for _, s := range r.shards {
		r.start(s.appendLoop)
		r.start(s.readLoop)
	}
	r.start(r.tick)
	return r
}

// start runs a loop until it returns; nothing starts after Close.
func (r *Recorder) start(loop func()) {
	if r.ctx.Err() != nil {
		return
	}
	r.wait.Add(1)
	go func() {
		defer r.wait.Done()
		loop()
	}()
}

// Call runs one call to its final answer.
func (r *Recorder) Call(ctx context.Context, call *wire.Call) *wire.Answer {
	if call.Repeatable {
		return r.repeatable(ctx, call)
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
	return r.await(ctx, scope, r.shards[scope.Shard()].begin(now, r.newAttempt(), operation, call))
}

// await returns the ledger's verdict. A call that is cut off from it may have
// been sent.
func (r *Recorder) await(ctx context.Context, scope ledger.Scope, verdict <-chan *wire.Answer) *wire.Answer {
	select {
	case answer := <-verdict:
		return answer
	case <-ctx.Done():
	}
	timer := time.NewTimer(verdictGrace)
	defer timer.Stop()
	select {
	case answer := <-verdict:
		return answer
	case <-timer.C:
	case <-r.ctx.Done():
	}
	return refused(&currantwood.Refusal{
		Kind: currantwood.KindOutcomeUnknown, Ran: currantwood.RanUnknown, RetryAfter: retryAfterError,
		Step: step, Detail: "The side ended before the outcome was known.", Operation: scope.OperationID(),
	})
}

// Ask looks the outcome of an operation up and runs nothing.
func (r *Recorder) Ask(ctx context.Context, ask *wire.Ask) *wire.Answer {
	scope := ledger.Scope{
		Customer: currantwood.CustomerID(ask.Customer),
		Rule:     currantwood.RuleID(ask.Rule),
		Key:      currantwood.OperationKey(ask.OperationKey),
	}
	return r.shards[scope.Shard()].ask(ctx, r.newAttempt(), scope)
}

// Drain returns when every call that was sent has its outcome in the log, or
// when ctx is done. It is called once no more calls arrive.
func (r *Recorder) Drain(ctx context.Context) error {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for r.unsettled() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// Close ends the recorder at once.
func (r *Recorder) Close() {
	r.cancel()
	r.wait.Wait()
}

func (r *Recorder) newAttempt() currantwood.AttemptID {
	return currantwood.AttemptID(r.attemptKey + "-" + formatCount(r.attempts.Add(1)))
}

func (r *Recorder) unsettled() int {
	sum := 0
	for _, s := range r.shards {
		sum += s.unsettled()
	}
	return sum
}

func (r *Recorder) operations() int64 {
	sum := int64(0)
	for _, s := range r.shards {
		sum += s.operations()
	}
	return sum
}

func (r *Recorder) tick() {
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
