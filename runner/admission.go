package runner

import (
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/wire"
)

// admissionID returns the ID of the run at the admitter. It is the generation's ID,
// since each generation of a request is admitted separately.
func (r *run) admissionID() currantwood.RequestID {
	return currantwood.RequestID(r.params.generation)
}

// admit waits until the generation may start. It returns false if it was refused,
// or the run was forgotten or stopped; then nothing was dispatched.
func (r *run) admit() bool {
	refusal := r.runner.options.Admitter.Admit(r.ctx, r.demand(time.Now()), r.stream, r.sendQueued)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.forgotten || r.ctx.Err() != nil {
		return false
	}
	if refusal == nil {
		return true
	}
	refusal.Peer = string(r.runner.options.Upstream)
	r.apply(r.holder.Refuse(refusal))
	return false
}

// sendQueued tells the entry that the generation is queued, and for how long
// according to the prediction.
func (r *run) sendQueued(wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.link.Send(&wire.Frame{Body: &wire.Frame_Queued{Queued: &wire.Queued{
		RequestId:       string(r.params.request),
		GenerationId:    string(r.params.generation),
		PredictedWaitMs: wait.Milliseconds(),
	}}})
}

// reportToAdmitter reports an event of the engine's stream to the admitter. It
// doesn't need mu: the admitter has its own lock, and the run's ID never changes.
func (r *run) reportToAdmitter(event currantwood.TokenEvent, err error) {
	switch {
	case err != nil:
	case event.Kind == currantwood.EventDone:
		r.runner.options.Admitter.Finished(r.admissionID())
	default:
		r.runner.options.Admitter.Token(r.admissionID(), event.Index)
	}
}

func (r *run) demand(now time.Time) currantwood.Demand {
	start := r.params.start
	return currantwood.Demand{
		Request:      r.admissionID(),
		Customer:     r.params.customer,
		Rule:         currantwood.RuleID(start.Rule),
		Class:        currantwood.Class(start.Class),
		Priority:     currantwood.Priority(start.Priority),
		Model:        currantwood.ModelID(start.Model),
		PromptTokens: currantwood.TokenCount(start.PromptTokens),
		Prefix:       currantwood.PrefixID(start.Prefix),
		MaxTokens:    currantwood.TokenCount(start.MaxTokens),
		Deadline:     now.Add(r.params.deadline),
		Region:       currantwood.RegionID(start.Region),
		Weight:       start.Weight,
		Promised:     start.Promised,
	}
}

func generationRequest(stream currantwood.EngineStreamID, start *wire.Start) currantwood.GenerationRequest {
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
