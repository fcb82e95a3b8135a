// Package admitter is the shell of one engine's gatekeeper: it hands it the time
// and the engine's reports, holds back requests until they may start and sends
// the engine its pauses.
package admitter

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/estimator"
	"github.com/currantwood/currantwood/gatekeeper"
)

const (
	step = "admitter"
	// tickInterval is how often the gatekeeper looks at the time, about a step
	// of the engine.
	tickInterval = 20 * time.Millisecond
	// pollInterval is how often the engine is asked for its load and its cache
	// events.
	pollInterval = 500 * time.Millisecond
	// callTimeout bounds a call of the engine.
	callTimeout = 2 * time.Second
	// maxOrders bounds the pauses that wait to be sent. More are dropped: the
	// engine then preempts by itself.
	maxOrders = 256
)

// Options say what an admitter needs.
type Options struct {
	Engine     currantwood.Engine
	Gatekeeper gatekeeper.Options
	Logger     *zap.Logger
}

// Report is what the side tells its entries of the engine.
type Report struct {
	Headroom      currantwood.TokenCount
	Running       int
	Queued        int
	PredictedWait time.Duration
	// Load is the engine's own last report.
	Load currantwood.EngineLoad
	// EngineUp says that the engine answered lately.
	EngineUp bool
}

// Admitter is safe for concurrent use.
type Admitter struct {
	options Options
	orders  chan order
	ctx     context.Context
	cancel  context.CancelFunc
	wait    sync.WaitGroup

	mu     sync.Mutex
	keeper *gatekeeper.Gatekeeper
	// held has an element for each request between Admit and its end.
	held map[currantwood.RequestID]*request
	load currantwood.EngineLoad
	// answeredAt is when the engine last answered a poll.
	answeredAt time.Time
	// events came since the last TakeEvents; seen is the number of the last one.
	events []currantwood.CacheEvent
	seen   uint64
}

// request is one request at the side.
type request struct {
	stream currantwood.EngineStreamID
	// decided gets nil once the request may start, or its refusal. It has room
	// for one, and exactly one is sent.
	decided chan *currantwood.Refusal
	// queued gets the predicted wait, at most once, before decided.
	queued chan time.Duration
}

// order is a pause or unpause on its way to the engine.
type order struct {
	stream currantwood.EngineStreamID
	pause  bool
}

// New starts an admitter. Close stops it.
func New(options Options) *Admitter {
	ctx, cancel := context.WithCancel(context.Background())
	a := &Admitter{
		options: options,
		orders:  make(chan order, maxOrders),
		ctx:     ctx,
		cancel:  cancel,
		keeper:  gatekeeper.New(options.Gatekeeper, estimator.New(estimator.DefaultOptions())),
		held:    make(map[currantwood.RequestID]*request),

		answeredAt: time.Now(),
	}
	a.every(tickInterval, a.tick)
	a.every(pollInterval, a.poll)
	a.wait.Add(1)
	go func() {
		defer a.wait.Done()
		a.send()
	}()
	return a
}

// Close stops the admitter. Requests that wait are refused.
func (a *Admitter) Close() {
	a.cancel()
	a.wait.Wait()
}

// Admit waits until the request may be sent to the engine and returns nil, or
// returns why it is refused; then nothing was dispatched. Queued is called, at
// most once, when the request has to wait. After nil, Finished or Cancel must
// follow.
func (a *Admitter) Admit(ctx context.Context, demand currantwood.Demand, stream currantwood.EngineStreamID, queued func(wait time.Duration)) *currantwood.Refusal {
	r := &request{stream: stream, decided: make(chan *currantwood.Refusal, 1), queued: make(chan time.Duration, 1)}
	a.mu.Lock()
	a.held[demand.Request] = r
	a.apply(a.keeper.Offer(time.Now(), demand))
	a.mu.Unlock()
	for {
		select {
		case refusal := <-r.decided:
			return refusal
		case wait := <-r.queued:
			queued(wait)
			continue
		case <-ctx.Done():
		case <-a.ctx.Done():
		}
		a.Cancel(demand.Request)
		return currantwood.NewRefusal(currantwood.KindShuttingDown, step, "the request was given up before it was started", 0)
	}
}

// Token tells that the engine produced the token at index.
func (a *Admitter) Token(id currantwood.RequestID, index currantwood.TokenIndex) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.apply(a.keeper.Token(time.Now(), id, index))
}

// Finished tells that a request's stream is complete.
func (a *Admitter) Finished(id currantwood.RequestID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.held, id)
	a.apply(a.keeper.Finished(time.Now(), id))
}

// Cancel tells that a request is over without being complete. It may follow
// Finished.
func (a *Admitter) Cancel(id currantwood.RequestID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.held, id)
	a.apply(a.keeper.Cancel(time.Now(), id))
}

// Report says how full the engine is.
func (a *Admitter) Report() Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	return Report{
		Headroom:      a.keeper.Headroom(now),
		Running:       a.keeper.Running(),
		Queued:        a.keeper.Queued(),
		PredictedWait: a.keeper.PredictedWait(now),
		Load:          a.load,
		EngineUp:      now.Sub(a.answeredAt) < pollInterval+callTimeout,
	}
}

// TakeEvents returns the cache events since the last call.
func (a *Admitter) TakeEvents() []currantwood.CacheEvent {
	a.mu.Lock()
	defer a.mu.Unlock()
	events := a.events
	a.events = nil
	return events
}

// apply does what the gatekeeper decided. The caller holds mu.
func (a *Admitter) apply(actions []gatekeeper.Action) {
	for _, action := range actions {
		r := a.held[action.Request]
		if r == nil {
			continue
		}
		switch action.Kind {
		case gatekeeper.ActionStart:
			r.decided <- nil
		case gatekeeper.ActionQueue:
			r.queued <- action.Wait
		case gatekeeper.ActionRefuse:
			delete(a.held, action.Request)
			r.decided <- action.Refusal
		case gatekeeper.ActionPause, gatekeeper.ActionUnpause:
			a.order(order{stream: r.stream, pause: action.Kind == gatekeeper.ActionPause})
		}
	}
}

func (a *Admitter) order(o order) {
	select {
	case a.orders <- o:
	default:
		a.options.Logger.Warn("pause dropped", zap.String("step", step), zap.String("stream", string(o.stream)))
	}
}

// send passes pauses on to the engine, one after the other.
func (a *Admitter) send() {
	for {
		select {
		case <-a.ctx.Done():
			return
		case o := <-a.orders:
			a.sendOne(o)
		}
	}
}

func (a *Admitter) sendOne(o order) {
	ctx, cancel := context.WithTimeout(a.ctx, callTimeout)
	defer cancel()
	call := a.options.Engine.Unpause
	if o.pause {
		call = a.options.Engine.Pause
	}
	if err := call(ctx, o.stream); err != nil {
		a.options.Logger.Info("pause not taken", zap.String("step", step), zap.Bool("pause", o.pause), zap.Error(err))
	}
}

// every runs something at an interval until the admitter is closed.
func (a *Admitter) every(interval time.Duration, run func()) {
	a.wait.Add(1)
	go func() {
		defer a.wait.Done()
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		run()
		for {
			select {
			case <-a.ctx.Done():
				return
			case <-ticker.C:
				run()
			}
		}
	}()
}

func (a *Admitter) tick() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.apply(a.keeper.Tick(time.Now()))
}

// maxEvents bounds the cache events that wait for the next report.
const maxEvents = 256

// poll asks the engine for its load and its cache events.
func (a *Admitter) poll() {
	ctx, cancel := context.WithTimeout(a.ctx, callTimeout)
	defer cancel()
	load, err := a.options.Engine.Load(ctx)
	if err != nil {
		return
	}
	a.mu.Lock()
	seen := a.seen
	a.mu.Unlock()
	events, _ := a.options.Engine.CacheEvents(ctx, seen)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.load = load
	a.answeredAt = now
	a.keeper.ObserveEngineLoad(now, load)
	if len(events) > 0 {
		a.seen = events[len(events)-1].Seq
	}
	a.events = append(a.events, events...)
	if over := len(a.events) - maxEvents; over > 0 {
		a.events = a.events[over:]
	}
}
