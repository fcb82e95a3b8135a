package runner

import (
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/wire"
)

// admission is the name under which the admitter knows the run. A request that
// is run anew here is another one to it.
func (u *run) admission() currantwood.RequestID {
	return currantwood.RequestID(u.origin.generation)
}

// admit waits until the generation may be started. It returns false when it was
// refused or given up; then nothing was dispatched.
func (u *run) admit() bool {
	refusal := u.runner.options.Admitter.Admit(u.ctx, u.demand(time.Now()), u.stream, u.queued)
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.forgotten || u.ctx.Err() != nil {
		return false
	}
	if refusal == nil {
		return true
	}
	refusal.Peer = string(u.runner.options.Upstream)
	u.apply(u.holder.Refuse(refusal))
	return false
}

// queued tells the entry that the generation waits.
func (u *run) queued(wait time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	_ = u.link.Send(&wire.Frame{Body: &wire.Frame_Queued{Queued: &wire.Queued{
		RequestId:       string(u.origin.request),
		GenerationId:    string(u.origin.generation),
		PredictedWaitMs: wait.Milliseconds(),
	}}})
}

// account tells the admitter of an event of the engine. It is called without mu,
// since the admitter has a lock of its own.
func (u *run) account(event currantwood.TokenEvent, err error) {
	switch {
	case err != nil:
	case event.Kind == currantwood.EventDone:
		u.runner.options.Admitter.Finished(u.admission())
	default:
		u.runner.options.Admitter.Token(u.admission(), event.Index)
	}
}

func (u *run) demand(now time.Time) currantwood.Demand {
	start := u.origin.start
	return currantwood.Demand{
		Request:      u.admission(),
		Customer:     u.origin.customer,
		Rule:         currantwood.RuleID(start.Rule),
		Class:        currantwood.Class(start.Class),
		Priority:     currantwood.Priority(start.Priority),
		Model:        currantwood.ModelID(start.Model),
		PromptTokens: currantwood.TokenCount(start.PromptTokens),
		Prefix:       currantwood.PrefixID(start.Prefix),
		MaxTokens:    currantwood.TokenCount(start.MaxTokens),
		Deadline:     now.Add(u.origin.deadline),
		Region:       currantwood.RegionID(start.Region),
		Weight:       start.Weight,
		Promised:     start.Promised,
	}
}

func generationOf(stream currantwood.EngineStreamID, start *wire.Start) currantwood.GenerationRequest {
	return currantwood.GenerationRequest{
		Stream:       stream,
		Model:        currantwood.ModelID(start.Model),
		Priority:     currantwood.Priority(start.Priority),
		Prompt:       start.Body,
		PromptTokens: currantwood.TokenCount(start.PromptTokens),
		Prefix:       currantwood.PrefixID(start.Prefix),
		MaxTokens:    currantwood.TokenCount(start.MaxTokens),
	}
}
