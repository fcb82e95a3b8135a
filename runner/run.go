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

// origin is what a run was begun with.
type origin struct {
	request    currantwood.RequestID
	generation currantwood.GenerationID
	customer   currantwood.CustomerID
	// deadline counts from the frame's arrival; zero when it is not known.
	deadline time.Duration
	// start is nil when the generation was started by an earlier process.
	start *wire.Start
	from  currantwood.TokenIndex
}

// run is one generation at this side.
type run struct {
	runner *Runner
	origin origin
	stream currantwood.EngineStreamID
	ctx    context.Context
	cancel context.CancelFunc
	// expiry ends the generation at its deadline; nil without one.
	expiry *time.Timer
	// wake tells the driving goroutine to look at the state again.
	wake chan struct{}

	mu     sync.Mutex
	holder *holder.Holder
	// link leads to the entry that reads the generation.
	link *linker.Link
	// offered is the link that will take the run's frames; nil when none was
	// asked to.
	offered *linker.Link
	// source is the open stream; nil while there is none.
	source currantwood.TokenSource
	// epoch counts the sources that were given up. An event of an earlier
	// epoch is dropped.
	epoch int
	// opening asks the driving goroutine to open the stream, from index from.
	opening bool
	from    currantwood.TokenIndex
	// forgotten says that no caller needs the generation any more.
	forgotten bool
	// beganAt is when the run was begun; for the memory that it held.
	beganAt time.Time
	// promptTokens is 0 when the generation was started by an earlier process.
	promptTokens currantwood.TokenCount
}

func newRun(r *Runner, link *linker.Link, o origin) *run {
	ctx, cancel := context.WithCancel(context.Background())
	now := time.Now()
	u := &run{
		runner:  r,
		origin:  o,
		stream:  currantwood.DeriveEngineStreamID(o.request, o.generation, o.customer),
		ctx:     ctx,
		cancel:  cancel,
		wake:    make(chan struct{}, 1),
		holder:  holder.New(now, o.request, o.generation, o.from, r.options.Limits),
		link:    link,
		opening: true,
		from:    o.from,
		beganAt: now,
	}
	if o.start != nil {
		u.promptTokens = currantwood.TokenCount(o.start.PromptTokens)
	}
	if o.deadline > 0 {
		u.expiry = time.AfterFunc(o.deadline, u.expire)
	}
	return u
}

// drive opens the engine's stream and reads it until no caller needs the
// generation. It is the run's one goroutine.
func (u *run) drive() {
	defer u.cancel()
	source, epoch := u.begin()
	for {
		if source == nil {
			if source, epoch = u.next(); source == nil {
				return
			}
		}
		event, err := source.Next()
		u.account(event, err)
		if !u.take(source, epoch, event, err) {
			source = nil
		}
	}
}

// begin opens the stream for the first time.
func (u *run) begin() (currantwood.TokenSource, int) {
	if u.origin.start == nil {
		return nil, 0
	}
	u.mu.Lock()
	u.opening = false
	u.mu.Unlock()
	if !u.admit() {
		return nil, 0
	}
	u.mu.Lock()
	u.beganAt = time.Now()
	epoch := u.epoch
	u.mu.Unlock()
	generation := generationOf(u.stream, u.origin.start)
	u.origin.start.Body = nil
	source, err := u.runner.options.Engine.Generate(u.ctx, generation)
	return u.opened(source, epoch, err, false), epoch
}

// next waits until the stream is to be opened again or read on. It returns nil
// when the run is over.
func (u *run) next() (currantwood.TokenSource, int) {
	for {
		u.mu.Lock()
		over, opening, from, epoch := u.forgotten, u.opening, u.from, u.epoch
		source, reading := u.source, u.holder.Reading()
		u.opening = false
		u.mu.Unlock()
		switch {
		case over:
			return nil, 0
		case opening:
			resumed, err := u.runner.options.Engine.Resume(u.ctx, u.stream, from)
			if source := u.opened(resumed, epoch, err, true); source != nil {
				return source, epoch
			}
		case source != nil && reading:
			return source, epoch
		case !u.pause():
			return nil, 0
		}
	}
}

// pause waits for a wake-up. It returns false when the side is closing.
func (u *run) pause() bool {
	select {
	case <-u.wake:
		return true
	case <-u.ctx.Done():
		return false
	}
}

// expire ends a generation whose deadline has passed.
func (u *run) expire() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.forgotten || u.holder.Ended() {
		return
	}
	refusal := u.refusal(currantwood.KindDeadline, errors.New("the deadline passed"))
	u.apply(u.holder.Refuse(refusal))
	u.closeSource()
	u.notify()
	go func() { u.runner.cancelAtEngine(u.stream) }()
}

// opened takes in the outcome of an open. It returns the source to read, or nil.
func (u *run) opened(source currantwood.TokenSource, epoch int, err error, resumed bool) currantwood.TokenSource {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	switch {
	case err == nil && epoch == u.epoch && !u.forgotten:
		u.source = source
		u.holder.Reopened(now)
		return source
	case err == nil:
		_ = source.Close()
	case u.ctx.Err() != nil:
		// The side is closing.
	case errors.Is(err, currantwood.ErrNotDispatched) && !resumed:
		refusal := u.refusal(currantwood.KindNoUpstream, err)
		refusal.Ran = currantwood.NotRun
		u.apply(u.holder.Refuse(refusal))
	case errors.Is(err, currantwood.ErrStreamUnknown):
		u.apply(u.holder.Refuse(u.refusal(currantwood.KindGenerationLost, err)))
	default:
		u.apply(u.holder.Cut(now))
	}
	return nil
}

// refusal says why a generation that was asked of the engine ended.
func (u *run) refusal(kind currantwood.Kind, cause error) *currantwood.Refusal {
	ran := currantwood.RanUnknown
	if u.holder.Produced() > 0 {
		ran = currantwood.RanDone
	}
	return &currantwood.Refusal{
		Kind:       kind,
		Ran:        ran,
		RetryAfter: retryAfterLost,
		Step:       step,
		Peer:       string(u.runner.options.Upstream),
		Detail:     cause.Error(),
	}
}

// take hands an event to the holder. It returns false when the source must not
// be read further for now.
func (u *run) take(source currantwood.TokenSource, epoch int, event currantwood.TokenEvent, err error) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if epoch != u.epoch {
		_ = source.Close()
		return false
	}
	if err != nil {
		u.closeSource()
		if u.ctx.Err() == nil {
			u.apply(u.holder.Cut(time.Now()))
		}
		return false
	}
	u.apply(u.holder.Event(time.Now(), event))
	if u.holder.Ended() {
		u.closeSource()
	}
	return u.source != nil && u.holder.Reading()
}

// apply does what the holder asked for. The caller holds mu.
func (u *run) apply(actions holder.Actions) {
	if actions.Ready {
		u.offer()
	}
	if actions.Reopen {
		u.closeSource()
		u.opening = true
		u.from = actions.From
	}
	if actions.Forget {
		u.forget(actions.Cancel)
	}
	if actions.Reopen || actions.Forget {
		u.notify()
	}
}

// offer makes the link take the run's frames when it next writes. The caller
// holds mu.
func (u *run) offer() {
	if u.offered == u.link {
		return
	}
	u.offered = u.link
	if u.link.SendFrom(u) != nil {
		u.holder.Detach(time.Now())
	}
}

// Frames hands the link what its entry has not been sent. A link that has been
// replaced gets nothing.
func (u *run) Frames(link *linker.Link) []*wire.Frame {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.link != link {
		return nil
	}
	u.offered = nil
	frames := u.holder.Take()
	for _, frame := range frames {
		if final := frame.GetFinal(); final != nil {
			final.TokenSeconds = u.tokenSeconds()
		}
	}
	return frames
}

// forget ends the run. The caller holds mu.
func (u *run) forget(cancel bool) {
	u.forgotten = true
	if u.expiry != nil {
		u.expiry.Stop()
	}
	u.closeSource()
	if cancel {
		go func() { u.runner.cancelAtEngine(u.stream) }()
	}
	u.cancel()
	resumed := u.origin.start == nil
	go func() { u.runner.forget(u, resumed) }()
}

// closeSource gives the open stream up. The caller holds mu.
func (u *run) closeSource() {
	if u.source != nil {
		_ = u.source.Close()
		u.source = nil
	}
	u.epoch++
}

func (u *run) notify() {
	select {
	case u.wake <- struct{}{}:
	default:
	}
}

// tokenSeconds is the engine memory held so far: the prompt and, on average,
// half of the output. The caller holds mu.
func (u *run) tokenSeconds() float64 {
	held := float64(u.promptTokens) + float64(u.holder.Produced())/2
	return held * time.Since(u.beganAt).Seconds()
}

func (u *run) resume(link *linker.Link, next currantwood.TokenIndex) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.link != link {
		u.takeOver(link)
	}
	u.apply(u.holder.Resume(next))
	u.notify()
}

// takeOver makes link the reader. A former reader in another process is told,
// or both would ask for the stream in turn. The caller holds mu.
func (u *run) takeOver(link *linker.Link) {
	former := u.link
	u.link = link
	if former.Peer().Process == link.Peer().Process {
		return
	}
	refusal := currantwood.NewRefusal(currantwood.KindTakenOver, step, "another entry reads on", 0)
	refusal.Ran = currantwood.RanUnknown
	_ = former.Send(&wire.Frame{Body: &wire.Frame_Final{Final: &wire.Final{
		RequestId:    string(u.origin.request),
		GenerationId: string(u.origin.generation),
		Refusal:      wire.FromRefusal(refusal),
	}}})
}

func (u *run) ack(next currantwood.TokenIndex) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.apply(u.holder.Ack(next))
	u.notify()
}

func (u *run) readBy(link *linker.Link) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.link == link
}

func (u *run) detach(link *linker.Link, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.link == link {
		u.holder.Detach(now)
	}
}

func (u *run) giveUp() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.apply(u.holder.Cancel())
}

// stop ends the run's goroutine. The stream goes on at the engine.
func (u *run) stop() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cancel()
	u.closeSource()
}

func (u *run) tick(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.forgotten {
		u.apply(u.holder.Tick(now))
	}
}
