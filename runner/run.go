package runner

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/holder"
	"github.com/currantwood/currantwood/linker"
	"github.com/currantwood/currantwood/wire"
)

// runParams holds the parameters of a run from its Start or Resume frame.
type runParams struct {
	request    currantwood.RequestID
	generation currantwood.GenerationID
	customer   currantwood.CustomerID
	// deadline is the time from the frame's arrival to the request's deadline. If
	// it is <= 0, a Start is refused at admission, but a Resume has no time limit.
	deadline time.Duration
	// start is nil if an earlier process started the generation.
	start *wire.Start
	// firstIndex is the index of the first token to send.
	firstIndex currantwood.TokenIndex
}

// run is one generation in this process. One goroutine, readLoop, reads its
// stream.
type run struct {
	runner *Runner
	params runParams
	stream currantwood.EngineStreamID
	ctx    context.Context
	cancel context.CancelFunc
	// deadlineTimer ends the generation at its deadline; nil if params.deadline
	// is <= 0.
	deadlineTimer *time.Timer
	// wake makes readLoop check the state again.
	wake chan struct{}

	mu     sync.Mutex
	holder *holder.Holder
	// link is the link to the entry that reads the generation, or last read it.
	link *linker.Link
	// superseded holds the entry processes from which a client of another took the
	// generation over.
	superseded map[string]bool
	// queuedOn is the link whose queue contains this run as a source of frames;
	// nil if there is none.
	queuedOn *linker.Link
	// source is the open stream from the engine; nil if none is open.
	source currantwood.TokenSource
	// epoch counts the calls of closeSource. Events of a source from an earlier
	// epoch are dropped.
	epoch int
	// openRequested makes readLoop open the stream at the token openFrom.
	openRequested bool
	openFrom      currantwood.TokenIndex
	// forgotten is set once the run is to be removed: its final frame was sent and
	// every token acknowledged, it was cancelled, or its grace period without a reader
	// is over.
	forgotten bool
	// startedAt is the time from which the run's engine memory is counted.
	startedAt time.Time
	// promptTokens is 0 if an earlier process started the generation.
	promptTokens currantwood.TokenCount
}

func newRun(runner *Runner, link *linker.Link, params runParams) *run {
	ctx, cancel := context.WithCancel(context.Background())
	now := time.Now()
	r := &run{
		runner:        runner,
		params:        params,
		stream:        currantwood.DeriveEngineStreamID(params.request, params.generation, params.customer),
		ctx:           ctx,
		cancel:        cancel,
		wake:          make(chan struct{}, 1),
		holder:        holder.New(now, params.request, params.generation, params.firstIndex, runner.options.Limits),
		link:          link,
		superseded:    make(map[string]bool),
		openRequested: true,
		openFrom:      params.firstIndex,
		startedAt:     now,
	}
	if params.start != nil {
		r.promptTokens = currantwood.TokenCount(params.start.PromptTokens)
	}
	if params.deadline > 0 {
		r.deadlineTimer = time.AfterFunc(params.deadline, r.expire)
	}
	return r
}

// readLoop opens the engine's stream and reads it until the run is forgotten or
// stopped. It is the only goroutine that opens or reads the stream.
func (r *run) readLoop() {
	defer r.cancel()
	source, epoch := r.startGeneration()
	for {
		if source == nil {
			if source, epoch = r.awaitSource(); source == nil {
				return
			}
		}
		event, err := source.Next()
		r.reportToAdmitter(event, err)
		if !r.handleEvent(source, epoch, event, err) {
			source = nil
		}
	}
}

// startGeneration waits for admission and starts the generation at the engine. It
// returns nil if that failed or an earlier process started the generation.
func (r *run) startGeneration() (currantwood.TokenSource, int) {
	if r.params.start == nil {
		return nil, 0
	}
	r.mu.Lock()
	r.openRequested = false
	r.mu.Unlock()
	if !r.admit() {
		return nil, 0
	}
	r.mu.Lock()
	r.startedAt = time.Now()
	epoch := r.epoch
	r.mu.Unlock()
	generation := generationRequest(r.stream, r.params.start)
	r.params.start.Body = nil
	source, err := r.runner.options.Engine.Generate(r.ctx, generation)
	return r.handleOpened(source, epoch, err, false), epoch
}

// awaitSource waits until the stream can be read, and reopens it when requested.
// It returns nil when the run was forgotten or stopped.
func (r *run) awaitSource() (currantwood.TokenSource, int) {
	for {
		r.mu.Lock()
		forgotten, openRequested, openFrom, epoch := r.forgotten, r.openRequested, r.openFrom, r.epoch
		source, canRead := r.source, r.holder.CanRead()
		r.openRequested = false
		r.mu.Unlock()
		switch {
		case forgotten:
			return nil, 0
		case openRequested:
			resumed, err := r.runner.options.Engine.Resume(r.ctx, r.stream, openFrom)
			if source := r.handleOpened(resumed, epoch, err, true); source != nil {
				return source, epoch
			}
		case source != nil && canRead:
			return source, epoch
		case !r.awaitWake():
			return nil, 0
		}
	}
}

// awaitWake waits for notify. It returns false when the run was forgotten or
// stopped.
func (r *run) awaitWake() bool {
	select {
	case <-r.wake:
		return true
	case <-r.ctx.Done():
		return false
	}
}

// expire refuses a generation whose deadline has passed and cancels it at the
// engine.
func (r *run) expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.forgotten || r.holder.Ended() {
		return
	}
	refusal := r.refusal(currantwood.KindDeadline, errors.New("the deadline passed"))
	r.apply(r.holder.Refuse(refusal))
	r.closeSource()
	r.notify()
	go func() { r.runner.cancelAtEngine(r.stream) }()
}

// handleOpened handles the result of opening the stream. It returns the source to
// read, or nil.
func (r *run) handleOpened(source currantwood.TokenSource, epoch int, err error, resumed bool) currantwood.TokenSource {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	switch {
	case err == nil && epoch == r.epoch && !r.forgotten:
		r.source = source
		r.holder.Opened(now)
		return source
	case err == nil:
		_ = source.Close()
	case r.ctx.Err() != nil:
		// The run was stopped.
	case errors.Is(err, currantwood.ErrNotDispatched) && !resumed:
		refusal := r.refusal(currantwood.KindNoUpstream, err)
		refusal.Ran = currantwood.NotRun
		r.apply(r.holder.Refuse(refusal))
	case errors.Is(err, currantwood.ErrStreamUnknown):
		r.apply(r.holder.Refuse(r.refusal(currantwood.KindGenerationLost, err)))
	default:
		r.apply(r.holder.Interrupted(now))
	}
	return nil
}

// refusal returns a refusal of the generation. Its Ran assumes that the generation
// may have been dispatched to the engine; if it wasn't, the caller changes Ran to
// NotRun. The caller holds mu.
func (r *run) refusal(kind currantwood.Kind, cause error) *currantwood.Refusal {
	ran := currantwood.RanUnknown
	if r.holder.NextIndex() > 0 {
		ran = currantwood.RanDone
	}
	return &currantwood.Refusal{
		Kind:       kind,
		Ran:        ran,
		RetryAfter: retryAfterFailure,
		Step:       step,
		Peer:       string(r.runner.options.Upstream),
		Detail:     cause.Error(),
	}
}

// handleEvent passes an event to the holder. It returns false if the source must
// not be read any further for now.
func (r *run) handleEvent(source currantwood.TokenSource, epoch int, event currantwood.TokenEvent, err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if epoch != r.epoch {
		_ = source.Close()
		return false
	}
	if err != nil {
		r.closeSource()
		if r.ctx.Err() == nil {
			r.apply(r.holder.Interrupted(time.Now()))
		}
		return false
	}
	r.apply(r.holder.Event(time.Now(), event))
	if r.holder.Ended() {
		r.closeSource()
	}
	return r.source != nil && r.holder.CanRead()
}

// apply carries out the holder's actions. The caller holds mu.
func (r *run) apply(actions holder.Actions) {
	if actions.FramesReady {
		r.queueFrames()
	}
	if actions.Reopen {
		r.closeSource()
		r.openRequested = true
		r.openFrom = actions.ReopenFrom
	}
	if actions.Forget {
		r.forget(actions.Cancel)
	}
	if actions.Reopen || actions.Forget {
		r.notify()
	}
}

// queueFrames queues the run on its link, which calls Frames when it next writes.
// The caller holds mu.
func (r *run) queueFrames() {
	if r.queuedOn == r.link {
		return
	}
	r.queuedOn = r.link
	if r.link.SendFrom(r) != nil {
		r.holder.Detach(time.Now())
	}
}

// Frames implements linker.Source. It returns the frames that the reader has not
// been sent, or none if link is no longer the reader's.
func (r *run) Frames(link *linker.Link) []*wire.Frame {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.link != link {
		return nil
	}
	r.queuedOn = nil
	frames := r.holder.TakeFrames()
	for _, frame := range frames {
		if final := frame.GetFinal(); final != nil {
			final.TokenSeconds = r.tokenSeconds()
		}
	}
	return frames
}

// forget stops the run and removes it from the runner. The caller holds mu.
func (r *run) forget(cancel bool) {
	r.forgotten = true
	if r.deadlineTimer != nil {
		r.deadlineTimer.Stop()
	}
	r.closeSource()
	if cancel {
		go func() { r.runner.cancelAtEngine(r.stream) }()
	}
	r.cancel()
	resumed := r.params.start == nil
	go func() { r.runner.removeRun(r, resumed) }()
}

// closeSource closes the open stream, if any, and begins a new epoch. The caller
// holds mu.
func (r *run) closeSource() {
	if r.source != nil {
		_ = r.source.Close()
		r.source = nil
	}
	r.epoch++
}

// notify wakes readLoop.
func (r *run) notify() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// tokenSeconds estimates the engine memory used from startedAt until now, in
// token-seconds: the prompt for the whole time and, since the output grows, half of
// it on average. It is called each time the final frame is sent. The caller holds
// mu.
func (r *run) tokenSeconds() float64 {
	held := float64(r.promptTokens) + float64(r.holder.NextIndex())/2
	return held * time.Since(r.startedAt).Seconds()
}

func (r *run) cancelGeneration() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.apply(r.holder.Cancel())
}

// stop ends the run's goroutine. The stream continues at the engine.
func (r *run) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancel()
	r.closeSource()
}

func (r *run) tick(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.forgotten {
		r.apply(r.holder.Tick(now))
	}
}
