// Package runner runs the generations of one engine in a side process (the sidecar
// of the engine): it starts each one at the engine, sends its tokens to the entry
// that reads it (the process that accepted the caller's request), and ends it with
// a final frame. Package holder decides what is sent and when.
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
	// retryAfterFailure is the retry delay stated to a caller whose generation failed.
	retryAfterFailure = 2 * time.Second
	// tickInterval is how often the runs are checked for expired grace periods
	// and for streams to reopen.
	tickInterval = 100 * time.Millisecond
	// cancelTimeout limits a call that cancels a stream at the engine.
	cancelTimeout = 5 * time.Second
)

// DefaultLimits returns the limits of a generation in production.
func DefaultLimits() holder.Options {
	return holder.Options{
		Window:         512,
		GracePeriod:    20 * time.Second,
		ReopenInterval: 100 * time.Millisecond,
		LostAfter:      time.Second,
		RetryAfter:     retryAfterFailure,
	}
}

// Options configures a Runner.
type Options struct {
	Engine   currantwood.Engine
	Upstream currantwood.UpstreamID
	// Admitter decides when a generation may start. The caller closes it after the
	// Runner.
	Admitter *admitter.Admitter
	// Limits applies to each generation.
	Limits holder.Options
}

// Runner runs the generations of one engine. It is safe for concurrent use.
type Runner struct {
	options Options
	// wait counts the goroutines of the runs.
	wait sync.WaitGroup
	done chan struct{}

	mu sync.Mutex
	// runs holds the generations that a caller may still need.
	runs map[currantwood.GenerationID]*run
	// ignoredStarts maps the generations that this process only resumed to the
	// times when their runs were removed. The entry may have been told that such a
	// generation is lost, so a Start that was delayed on an older link must not run
	// it.
	ignoredStarts map[currantwood.GenerationID]time.Time
	closed        bool
}

// New returns a running Runner. Close stops it.
func New(options Options) *Runner {
	r := &Runner{
		options:       options,
		done:          make(chan struct{}),
		runs:          make(map[currantwood.GenerationID]*run),
		ignoredStarts: make(map[currantwood.GenerationID]time.Time),
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

// Close stops all runs of this process. Their streams continue at the engine, so
// that the next side process can resume them.
func (r *Runner) Close() {
	r.mu.Lock()
	wasClosed := r.closed
	r.closed = true
	r.mu.Unlock()
	if wasClosed {
		return
	}
	close(r.done)
	for _, run := range r.allRuns() {
		run.stop()
	}
	r.wait.Wait()
}

// Start runs a generation and sends its frames to link. It does not block. A
// generation that already has a run is sent again from its first token.
func (r *Runner) Start(link *linker.Link, start *wire.Start) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := currantwood.GenerationID(start.GenerationId)
	if known := r.runs[id]; known != nil {
		known.resume(link, 0, true)
		return
	}
	if _, ignored := r.ignoredStarts[id]; ignored || r.closed {
		return
	}
	r.startRun(newRun(r, link, runParams{
		request:    currantwood.RequestID(start.RequestId),
		generation: id,
		customer:   currantwood.CustomerID(start.Customer),
		deadline:   time.Duration(start.DeadlineMs) * time.Millisecond,
		start:      start,
	}))
}

// Resume continues to send a generation from the index that the entry asks for.
// A generation that has no run here is resumed at the engine, since an earlier
// process may have started it.
func (r *Runner) Resume(link *linker.Link, resume *wire.Resume) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := currantwood.GenerationID(resume.GenerationId)
	if known := r.runs[id]; known != nil {
		if string(known.params.customer) == resume.Customer && string(known.params.request) == resume.RequestId {
			known.resume(link, currantwood.TokenIndex(resume.NextIndex), resume.Recovery)
			return
		}
		sendLost(link, resume)
		return
	}
	if r.closed {
		return
	}
	r.startRun(newRun(r, link, runParams{
		request:    currantwood.RequestID(resume.RequestId),
		generation: id,
		customer:   currantwood.CustomerID(resume.Customer),
		deadline:   time.Duration(resume.DeadlineMs) * time.Millisecond,
		firstIndex: currantwood.TokenIndex(resume.NextIndex),
	}))
}

// startRun adds a run and starts its goroutine. The caller holds mu.
func (r *Runner) startRun(run *run) {
	r.runs[run.params.generation] = run
	r.wait.Add(1)
	go func() {
		defer r.wait.Done()
		run.readLoop()
	}()
}

// Ack records which tokens the entry has acknowledged.
func (r *Runner) Ack(ack *wire.Ack) {
	if run := r.findRun(ack.GenerationId); run != nil {
		run.ack(currantwood.TokenIndex(ack.NextIndex))
	}
}

// Cancel cancels a generation, or detaches its reader if the caller may
// reconnect. It has no effect unless link reads the generation.
func (r *Runner) Cancel(link *linker.Link, cancel *wire.Cancel) {
	run := r.findRun(cancel.GenerationId)
	if run == nil || !run.isReadBy(link) {
		return
	}
	if cancel.Reason == wire.ReasonClientGone {
		run.detach(link, time.Now())
		return
	}
	run.cancelGeneration()
}

// LinkClosed detaches link from the generations that it read; they can be resumed.
func (r *Runner) LinkClosed(link *linker.Link) {
	now := time.Now()
	for _, run := range r.allRuns() {
		run.detach(link, now)
	}
}

// RunCount returns the number of generations that a caller may still need.
func (r *Runner) RunCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs)
}

// Wait blocks until the goroutines of all runs have ended.
func (r *Runner) Wait() { r.wait.Wait() }

func (r *Runner) tick(now time.Time) {
	for _, run := range r.allRuns() {
		run.tick(now)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, removedAt := range r.ignoredStarts {
		if now.Sub(removedAt) > r.options.Limits.GracePeriod {
			delete(r.ignoredStarts, id)
		}
	}
}

func (r *Runner) findRun(generation string) *run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[currantwood.GenerationID(generation)]
}

func (r *Runner) allRuns() []*run {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := make([]*run, 0, len(r.runs))
	for _, run := range r.runs {
		runs = append(runs, run)
	}
	return runs
}

// removeRun removes a forgotten run. If ignoreStarts is true, a Start of its
// generation is ignored for the grace period.
func (r *Runner) removeRun(run *run, ignoreStarts bool) {
	r.options.Admitter.Aborted(run.admissionID())
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.runs, run.params.generation)
	if ignoreStarts {
		r.ignoredStarts[run.params.generation] = time.Now()
	}
}

// cancelAtEngine cancels a stream at the engine, which frees its memory.
func (r *Runner) cancelAtEngine(stream currantwood.EngineStreamID) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = r.options.Engine.Cancel(ctx, stream)
}

// sendLost refuses a resume whose request or customer is not the generation's.
func sendLost(link *linker.Link, resume *wire.Resume) {
	refusal := currantwood.NewRefusal(currantwood.KindGenerationLost, step,
		"this side has no such generation", retryAfterFailure)
	_ = link.Send(&wire.Frame{Body: &wire.Frame_Final{Final: &wire.Final{
		RequestId:    resume.RequestId,
		GenerationId: resume.GenerationId,
		Refusal:      wire.FromRefusal(refusal),
	}}})
}
