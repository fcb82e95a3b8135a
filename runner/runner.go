// Package runner drives the streams of one engine for its side: it starts each
// generation, sends its tokens to the entry that asked and ends it with one
// final frame.
package runner

import (
	"context"
	"sync"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/linker"
	"github.com/currantwood/currantwood/wire"
)

const (
	step = "runner"
	// retryAfterCrash is when a caller whose engine was lost should ask again.
	retryAfterCrash = 2 * time.Second
)

// Options says what a runner needs.
type Options struct {
	Engine   currantwood.Engine
	Upstream currantwood.UpstreamID
}

// Runner is safe for concurrent use.
type Runner struct {
	options Options
	wait    sync.WaitGroup

	mu sync.Mutex
	// runs holds one cancel function for each generation that runs.
	runs map[currantwood.GenerationID]context.CancelFunc
}

// New makes a runner for one engine.
func New(options Options) *Runner {
	return &Runner{options: options, runs: make(map[currantwood.GenerationID]context.CancelFunc)}
}

// Start runs a generation and sends its frames to link. It doesn't block.
func (r *Runner) Start(link *linker.Link, start *wire.Start) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(start.DeadlineMs)*time.Millisecond)
	id := currantwood.GenerationID(start.GenerationId)
	r.mu.Lock()
	r.runs[id] = cancel
	r.mu.Unlock()
	r.wait.Add(1)
	go func() {
		defer r.wait.Done()
		defer r.forget(id)
		defer cancel()
		final := r.run(ctx, link, start)
		final.RequestId = start.RequestId
		final.GenerationId = start.GenerationId
		_ = link.Send(&wire.Frame{Body: &wire.Frame_Final{Final: final}})
	}()
}

// Cancel gives a generation up.
func (r *Runner) Cancel(id currantwood.GenerationID) {
	r.mu.Lock()
	cancel := r.runs[id]
	r.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// Running returns the number of generations that run.
func (r *Runner) Running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs)
}

// Wait returns when no generation runs.
func (r *Runner) Wait() { r.wait.Wait() }

func (r *Runner) forget(id currantwood.GenerationID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.runs, id)
}

func (r *Runner) run(ctx context.Context, link *linker.Link, start *wire.Start) *wire.Final {
	source, err := r.options.Engine.Generate(ctx, generationOf(start))
	if err != nil {
		return r.failed(err, currantwood.RanUnknown)
	}
	defer func() { _ = source.Close() }()
	var next uint64
	for {
		event, err := source.Next()
		if err != nil {
			_ = r.options.Engine.Cancel(context.WithoutCancel(ctx), streamOf(start))
			return r.failed(err, currantwood.RanDone)
		}
		if event.Kind == currantwood.EventDone {
			return &wire.Final{Complete: true, TokenCount: next, FinishReason: event.FinishReason}
		}
		_ = link.Send(&wire.Frame{Body: &wire.Frame_Tokens{Tokens: &wire.Tokens{
			RequestId:    start.RequestId,
			GenerationId: start.GenerationId,
			FirstIndex:   next,
			Texts:        []string{event.Text},
		}}})
		next++
	}
}

func (r *Runner) failed(err error, ran currantwood.Ran) *wire.Final {
	return &wire.Final{Refusal: wire.FromRefusal(&currantwood.Refusal{
		Kind:       currantwood.KindGenerationLost,
		Ran:        ran,
		RetryAfter: retryAfterCrash,
		Step:       step,
		Peer:       string(r.options.Upstream),
		Detail:     err.Error(),
	})}
}

func generationOf(start *wire.Start) currantwood.Generation {
	return currantwood.Generation{
		Stream:       streamOf(start),
		Model:        currantwood.ModelID(start.Model),
		Priority:     currantwood.Priority(start.Priority),
		Prompt:       start.Body,
		PromptTokens: currantwood.TokenCount(start.PromptTokens),
		Prefix:       currantwood.PrefixID(start.Prefix),
		MaxTokens:    currantwood.TokenCount(start.MaxTokens),
	}
}

func streamOf(start *wire.Start) currantwood.EngineStreamID {
	return currantwood.EngineStreamID(start.RequestId + "." + start.GenerationId)
}
