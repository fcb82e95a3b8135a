// Package runner drives the streams of one engine for its side: it starts each
// generation, sends its tokens to the entry that reads it, and ends it with one
// final frame. What it sends and when is decided by package holder.
package runner

import (
	"context"
	"sync"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/admitter"
	"github.com/currantwood/currantwood/holder"
	"github.com/currantwood/currantwood/linker"
	"github.com/currantwood/currantwood/wire"
)

const (
	step = "runner"
	// retryAfterLost is when a caller whose engine was lost should ask again.
	retryAfterLost = 2 * time.Second
	// tickInterval is how often generations without a reader or an open stream
	// are looked at.
	tickInterval = 100 * time.Millisecond
	// engineCallTimeout bounds a cancel at the engine.
	engineCallTimeout = 5 * time.Second
)

// DefaultLimits are the limits of a generation in service.
func DefaultLimits() holder.Options {
	return holder.Options{
		Window:      512,
		Grace:       20 * time.Second,
		ReopenEvery: 100 * time.Millisecond,
		LostAfter:   time.Second,
		RetryAfter:  retryAfterLost,
	}
}

// Options says what a runner needs.
type Options struct {
	Engine   currantwood.Engine
	Upstream currantwood.UpstreamID
	// Admitter says when a generation may be started. The caller closes it
	// after the runner.
	Admitter *admitter.Admitter
	// Limits are those of each generation.
	Limits holder.Options
}

// Runner is safe for concurrent use.
type Runner struct {
	options Options
	wait    sync.WaitGroup
	done    chan struct{}

	mu sync.Mutex
	// runs holds the generations that a caller may still need.
	runs map[currantwood.GenerationID]*run
	// refused holds the generations that an entry was told to be lost, and
	// when: a start of one that comes late is not run.
	refused map[currantwood.GenerationID]time.Time
	closed  bool
}

// New makes a runner for one engine. Close stops it.
func New(options Options) *Runner {
	r := &Runner{
		options: options,
		done:    make(chan struct{}),
		runs:    make(map[currantwood.GenerationID]*run),
		refused: make(map[currantwood.GenerationID]time.Time),
	}
	go func() {
		ticker := time.NewTicker(tickInterval)
		defer ticker.Stop()
		for {
			select {
			case <-r.done:
				return
			case now := <-ticker.C:
				r.tick(now)
			}
		}
	}()
	return r
}

// Close ends all generations at this side. Their streams go on at the engine,
// so that the next side can resume them.
func (r *Runner) Close() {
	r.mu.Lock()
	wasClosed := r.closed
	r.closed = true
	r.mu.Unlock()
	if wasClosed {
		return
	}
	close(r.done)
	for _, run := range r.all() {
		run.stop()
	}
	r.wait.Wait()
}

// Start runs a generation and sends its frames to link. It doesn't block. A
// generation that is known already is resumed.
func (r *Runner) Start(link *linker.Link, start *wire.Start) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := currantwood.GenerationID(start.GenerationId)
	if known := r.runs[id]; known != nil {
		known.resume(link, 0)
		return
	}
	if _, told := r.refused[id]; told || r.closed {
		return
	}
	r.begin(newRun(r, link, origin{
		request:    currantwood.RequestID(start.RequestId),
		generation: id,
		customer:   currantwood.CustomerID(start.Customer),
		deadline:   time.Duration(start.DeadlineMs) * time.Millisecond,
		start:      start,
	}))
}

// Resume goes on sending a generation. One that this process doesn't hold is
// looked for at the engine: an earlier process may have started it.
func (r *Runner) Resume(link *linker.Link, resume *wire.Resume) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := currantwood.GenerationID(resume.GenerationId)
	if known := r.runs[id]; known != nil {
		if string(known.origin.customer) == resume.Customer && string(known.origin.request) == resume.RequestId {
			known.resume(link, currantwood.TokenIndex(resume.NextIndex))
			return
		}
		sendLost(link, resume)
		return
	}
	if r.closed {
		return
	}
	r.begin(newRun(r, link, origin{
		request:    currantwood.RequestID(resume.RequestId),
		generation: id,
		customer:   currantwood.CustomerID(resume.Customer),
		deadline:   time.Duration(resume.DeadlineMs) * time.Millisecond,
		from:       currantwood.TokenIndex(resume.NextIndex),
	}))
}

// begin starts to drive a run. The caller holds mu.
func (r *Runner) begin(run *run) {
	r.runs[run.origin.generation] = run
	r.wait.Add(1)
	go func() {
		defer r.wait.Done()
		run.drive()
	}()
}

// Ack notes which tokens the caller has.
func (r *Runner) Ack(ack *wire.Ack) {
	if run := r.find(ack.GenerationId); run != nil {
		run.ack(currantwood.TokenIndex(ack.NextIndex))
	}
}

// Cancel gives a generation up, or leaves it to a caller that may reconnect.
// Only the entry that reads a generation may do so.
func (r *Runner) Cancel(link *linker.Link, cancel *wire.Cancel) {
	run := r.find(cancel.GenerationId)
	if run == nil || !run.readBy(link) {
		return
	}
	if cancel.Reason == wire.ReasonCallerGone {
		run.detach(link, time.Now())
		return
	}
	run.giveUp()
}

// LinkClosed leaves the generations that the link's entry read to a resume.
func (r *Runner) LinkClosed(link *linker.Link) {
	now := time.Now()
	for _, run := range r.all() {
		run.detach(link, now)
	}
}

// Running returns the number of generations that a caller may still need.
func (r *Runner) Running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs)
}

// Wait returns when no generation is held.
func (r *Runner) Wait() { r.wait.Wait() }

func (r *Runner) tick(now time.Time) {
	for _, run := range r.all() {
		run.tick(now)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, at := range r.refused {
		if now.Sub(at) > r.options.Limits.Grace {
			delete(r.refused, id)
		}
	}
}

func (r *Runner) find(generation string) *run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[currantwood.GenerationID(generation)]
}

func (r *Runner) all() []*run {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := make([]*run, 0, len(r.runs))
	for _, run := range r.runs {
		runs = append(runs, run)
	}
	return runs
}

// forget lets go of a run. One that was resumed without success is remembered
// as refused.
func (r *Runner) forget(run *run, refused bool) {
	r.options.Admitter.Cancel(run.admission())
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.runs, run.origin.generation)
	if refused {
		r.refused[run.origin.generation] = time.Now()
	}
}

// cancelAtEngine frees what a generation holds at the engine.
func (r *Runner) cancelAtEngine(stream currantwood.EngineStreamID) {
	ctx, cancel := context.WithTimeout(context.Background(), engineCallTimeout)
	defer cancel()
	_ = r.options.Engine.Cancel(ctx, stream)
}

// sendLost answers a resume of a generation that is not the asker's.
func sendLost(link *linker.Link, resume *wire.Resume) {
	refusal := currantwood.NewRefusal(currantwood.KindGenerationLost, step,
		"this side has no such generation", retryAfterLost)
	_ = link.Send(&wire.Frame{Body: &wire.Frame_Final{Final: &wire.Final{
		RequestId:    resume.RequestId,
		GenerationId: resume.GenerationId,
		Refusal:      wire.FromRefusal(refusal),
	}}})
}
