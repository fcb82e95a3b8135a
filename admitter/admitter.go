// Package admitter runs the gatekeeper of one engine. It supplies the
// gatekeeper with the time and the engine's load, blocks each request until the
// gatekeeper starts or refuses it, and sends pauses and unpauses to the engine.
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
	// pipelineStep is the Step of this package's refusals and the field step of
	// its log lines.
	pipelineStep = "admitter"
	// tickInterval is the interval of gatekeeper ticks, about one step of the
	// engine.
	tickInterval = 20 * time.Millisecond
	// pollInterval is the interval at which the engine is asked for its load
	// and its cache events.
	pollInterval = 500 * time.Millisecond
	// callTimeout is the timeout of a call to the engine.
	callTimeout = 2 * time.Second
	// maxPauseCommands is the maximum number of queued pauses and unpauses.
	// Further ones are dropped. If a pause is dropped, the engine preempts a
	// stream of its own choice; if an unpause is dropped, the stream stays
	// paused at the engine.
	maxPauseCommands = 256
)

// Options are the arguments of New. All fields are required.
type Options struct {
	Engine     currantwood.Engine
	Gatekeeper gatekeeper.Options
	Logger     *zap.Logger
}

// Report is the state of the engine that the side sends to its entries.
type Report struct {
	// Headroom is the memory that is free for new requests.
	Headroom currantwood.TokenCount
	// Running and Queued are numbers of requests.
	Running int
	Queued  int
	// PredictedWait is the predicted wait of a request of average size before
	// its own prefill; see Gatekeeper.PredictedWait.
	PredictedWait time.Duration
	// Load is the engine's last report; it is zero before the first one.
	Load currantwood.EngineLoad
	// EngineUp is true if the engine has answered a poll recently or the
	// admitter has just been started.
	EngineUp bool
}

// Admitter admits requests to one engine. It is safe for concurrent use.
type Admitter struct {
	options       Options
	pauseCommands chan pauseCommand
	ctx           context.Context
	cancel        context.CancelFunc
	workers       sync.WaitGroup

	mu         sync.Mutex
	gatekeeper *gatekeeper.Gatekeeper
	// requests has an element for each request from the call of Admit until it
	// ends or is refused. As in package gatekeeper, a request is one run of a
	// generation.
	requests map[currantwood.RequestID]*request
	load     currantwood.EngineLoad
	// lastLoadAt is when the engine last answered a poll; initially the time of
	// New.
	lastLoadAt time.Time
	// pendingEvents are the cache events since the last TakeEvents;
	// lastEventSeq is the sequence number of the last event received.
	pendingEvents []currantwood.CacheEvent
	lastEventSeq  uint64
}

// request is a request that was passed to Admit.
type request struct {
	stream currantwood.EngineStreamID
	// decision receives nil when the request may start, or else its refusal. At
	// most one value is sent, so a send never blocks on its buffer of 1.
	decision chan *currantwood.Refusal
	// queueWait receives the predicted wait if the request is queued, at most
	// once and before decision.
	queueWait chan time.Duration
}

// pauseCommand is a pause or unpause to be sent to the engine.
type pauseCommand struct {
	stream currantwood.EngineStreamID
	pause  bool
}

// New starts an admitter. Close stops it.
func New(options Options) *Admitter {
	ctx, cancel := context.WithCancel(context.Background())
	a := &Admitter{
		options:       options,
		pauseCommands: make(chan pauseCommand, maxPauseCommands),
		ctx:           ctx,
		cancel:        cancel,
		gatekeeper:    gatekeeper.New(options.Gatekeeper, estimator.New(estimator.DefaultOptions())),
		requests:      make(map[currantwood.RequestID]*request),

		lastLoadAt: time.Now(),
	}
	a.runEvery(tickInterval, a.tick)
	a.runEvery(pollInterval, a.poll)
	a.workers.Add(1)
	go func() {
		defer a.workers.Done()
		a.sendPauseCommands()
	}()
	return a
}

// Close stops the admitter. Requests that wait in Admit are refused.
func (a *Admitter) Close() {
	a.cancel()
	a.workers.Wait()
}

// Admit waits until the request may be sent to the engine and returns nil, or
// returns a refusal of the request, which was then not dispatched. It calls
// queued at most once, with the predicted wait, if the request has to wait.
// After Admit has returned nil, Finished or Cancel must be called.
func (a *Admitter) Admit(ctx context.Context, demand currantwood.Demand, stream currantwood.EngineStreamID, queued func(wait time.Duration)) *currantwood.Refusal {
	r := &request{stream: stream, decision: make(chan *currantwood.Refusal, 1), queueWait: make(chan time.Duration, 1)}
	a.mu.Lock()
	a.requests[demand.Request] = r
	a.apply(a.gatekeeper.Offer(time.Now(), demand))
	a.mu.Unlock()
	for {
		select {
		case refusal := <-r.decision:
			return refusal
		case wait := <-r.queueWait:
			queued(wait)
			continue
		case <-ctx.Done():
		case <-a.ctx.Done():
		}
		a.Aborted(demand.Request)
		return currantwood.NewRefusal(currantwood.KindShuttingDown, pipelineStep, "the request was given up before it was started", 0)
	}
}

// Token records that the engine has produced the token at index.
func (a *Admitter) Token(id currantwood.RequestID, index currantwood.TokenIndex) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.apply(a.gatekeeper.Token(time.Now(), id, index))
}

// Finished records that a request's stream is complete.
func (a *Admitter) Finished(id currantwood.RequestID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.requests, id)
	a.apply(a.gatekeeper.Finished(time.Now(), id))
}

// Aborted records that a request has ended before its stream was complete. It
// doesn't stop the stream at the engine. A call after Finished has no effect.
func (a *Admitter) Aborted(id currantwood.RequestID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.requests, id)
	a.apply(a.gatekeeper.Aborted(time.Now(), id))
}

// Report returns the current state of the engine.
func (a *Admitter) Report() Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	return Report{
		Headroom:      a.gatekeeper.Headroom(now),
		Running:       a.gatekeeper.Running(),
		Queued:        a.gatekeeper.Queued(),
		PredictedWait: a.gatekeeper.PredictedWait(now),
		Load:          a.load,
		EngineUp:      now.Sub(a.lastLoadAt) < pollInterval+callTimeout,
	}
}

// TakeEvents returns the cache events since the last call.
func (a *Admitter) TakeEvents() []currantwood.CacheEvent {
	a.mu.Lock()
	defer a.mu.Unlock()
	events := a.pendingEvents
	a.pendingEvents = nil
	return events
}

// apply carries out the gatekeeper's actions. The caller must hold mu.
func (a *Admitter) apply(actions []gatekeeper.Action) {
	for _, action := range actions {
		r := a.requests[action.Request]
		if r == nil {
			continue
		}
		switch action.Kind {
		case gatekeeper.ActionStart:
			r.decision <- nil
		case gatekeeper.ActionQueue:
			r.queueWait <- action.Wait
		case gatekeeper.ActionRefuse:
			delete(a.requests, action.Request)
			r.decision <- action.Refusal
		case gatekeeper.ActionPause, gatekeeper.ActionUnpause:
			a.enqueuePause(pauseCommand{stream: r.stream, pause: action.Kind == gatekeeper.ActionPause})
		}
	}
}

// enqueuePause queues a command for the engine, without blocking.
func (a *Admitter) enqueuePause(command pauseCommand) {
	select {
	case a.pauseCommands <- command:
	default:
		a.options.Logger.Warn("pause or unpause dropped, too many are queued", zap.String("step", pipelineStep), zap.String("stream", string(command.stream)))
	}
}

// sendPauseCommands sends queued commands to the engine, one at a time and in
// order, until the admitter is closed.
func (a *Admitter) sendPauseCommands() {
	for {
		select {
		case <-a.ctx.Done():
			return
		case command := <-a.pauseCommands:
			a.sendPauseCommand(command)
		}
	}
}

func (a *Admitter) sendPauseCommand(command pauseCommand) {
	ctx, cancel := context.WithTimeout(a.ctx, callTimeout)
	defer cancel()
	call := a.options.Engine.Unpause
	if command.pause {
		call = a.options.Engine.Pause
	}
	if err := call(ctx, command.stream); err != nil {
		a.options.Logger.Info("engine call to pause or unpause a stream failed", zap.String("step", pipelineStep), zap.Bool("pause", command.pause), zap.Error(err))
	}
}

// runEvery calls run at once and then at each interval, in its own goroutine,
// until the admitter is closed.
func (a *Admitter) runEvery(interval time.Duration, run func()) {
	a.workers.Add(1)
	go func() {
		defer a.workers.Done()
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
	a.apply(a.gatekeeper.Tick(time.Now()))
}

// maxPendingEvents bounds pendingEvents; the oldest events are dropped.
const maxPendingEvents = 256

// poll asks the engine for its load and its cache events.
func (a *Admitter) poll() {
	ctx, cancel := context.WithTimeout(a.ctx, callTimeout)
	defer cancel()
	load, err := a.options.Engine.Load(ctx)
	if err != nil {
		return
	}
	a.mu.Lock()
	after := a.lastEventSeq
	a.mu.Unlock()
	events, _ := a.options.Engine.CacheEvents(ctx, after)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.load = load
	a.lastLoadAt = now
	a.gatekeeper.ObserveEngineLoad(now, load)
	if len(events) > 0 {
		a.lastEventSeq = events[len(events)-1].Seq
	}
	a.pendingEvents = append(a.pendingEvents, events...)
	if excess := len(a.pendingEvents) - maxPendingEvents; excess > 0 {
		a.pendingEvents = a.pendingEvents[excess:]
	}
}
