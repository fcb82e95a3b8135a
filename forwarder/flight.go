package forwarder

import (
	"sync"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/linker"
	"github.com/currantwood/currantwood/wire"
)

// event is one incoming frame, or the end of its link when frame is nil.
type event struct {
	link  *linker.Link
	frame *wire.Frame
}

// flight is one request on its way.
type flight struct {
	request Request
	deliver func(first currantwood.TokenIndex, texts []string) error
	wake    chan struct{}

	// generation, link and next belong to the goroutine of Forward. All
	// tokens below next were delivered.
	generation currantwood.GenerationID
	link       *linker.Link
	next       currantwood.TokenIndex

	mu     sync.Mutex
	events []event
}

func newFlight(request Request, deliver func(currantwood.TokenIndex, []string) error) *flight {
	return &flight{request: request, deliver: deliver, wake: make(chan struct{}, 1)}
}

func (fl *flight) bind(generation currantwood.GenerationID, link *linker.Link) {
	fl.generation = generation
	fl.link = link
}

func (fl *flight) push(e event) {
	fl.mu.Lock()
	fl.events = append(fl.events, e)
	fl.mu.Unlock()
	select {
	case fl.wake <- struct{}{}:
	default:
	}
}

// drain takes in all events that wait. It reports true once the attempt ended.
func (fl *flight) drain() (Completion, *currantwood.Refusal, bool) {
	fl.mu.Lock()
	events := fl.events
	fl.events = nil
	fl.mu.Unlock()
	before := fl.next
	defer func() {
		if fl.next > before {
			_ = fl.link.Send(ackFrame(fl))
		}
	}()
	for _, e := range events {
		if completion, refusal, ended := fl.take(e); ended {
			return completion, refusal, true
		}
	}
	return Completion{}, nil, false
}

func (fl *flight) take(e event) (Completion, *currantwood.Refusal, bool) {
	if e.frame == nil {
		if e.link != fl.link {
			return Completion{}, nil, false
		}
		return Completion{}, fl.linkClosed(), true
	}
	switch body := e.frame.Body.(type) {
	case *wire.Frame_Tokens:
		return Completion{}, fl.tokens(body.Tokens), false
	case *wire.Frame_Final:
		if body.Final.GenerationId != string(fl.generation) {
			return Completion{}, nil, false
		}
		completion, refusal := fl.final(body.Final)
		return completion, refusal, true
	}
	return Completion{}, nil, false
}

func (fl *flight) tokens(tokens *wire.Tokens) *currantwood.Refusal {
	if tokens.GenerationId != string(fl.generation) || tokens.FirstIndex != uint64(fl.next) {
		return nil
	}
	if err := fl.deliver(fl.next, tokens.Texts); err == nil {
		fl.next += currantwood.TokenIndex(len(tokens.Texts))
	}
	return nil
}

func (fl *flight) final(final *wire.Final) (Completion, *currantwood.Refusal) {
	if !final.Complete {
		return Completion{}, wire.ToRefusal(final.Refusal)
	}
	if final.TokenCount != uint64(fl.next) {
		return Completion{}, linkLost(fl.link, currantwood.RanUnknown)
	}
	return Completion{
		Tokens:       fl.next,
		FinishReason: final.FinishReason,
		TokenSeconds: currantwood.TokenSeconds(final.TokenSeconds),
	}, nil
}

func (fl *flight) linkClosed() *currantwood.Refusal {
	return linkLost(fl.link, currantwood.RanUnknown)
}

func requestOf(frame *wire.Frame) currantwood.RequestID {
	switch body := frame.Body.(type) {
	case *wire.Frame_Tokens:
		return currantwood.RequestID(body.Tokens.RequestId)
	case *wire.Frame_Final:
		return currantwood.RequestID(body.Final.RequestId)
	case *wire.Frame_Queued:
		return currantwood.RequestID(body.Queued.RequestId)
	}
	return ""
}

func startFrame(fl *flight) *wire.Frame {
	d := fl.request.Demand
	return &wire.Frame{Body: &wire.Frame_Start{Start: &wire.Start{
		RequestId:    string(d.Request),
		GenerationId: string(fl.generation),
		Customer:     string(d.Customer),
		Rule:         string(d.Rule),
		Class:        uint32(d.Class),
		Priority:     uint32(d.Priority),
		Model:        string(d.Model),
		PromptTokens: int64(d.PromptTokens),
		Prefix:       uint64(d.Prefix),
		MaxTokens:    int64(d.MaxTokens),
		DeadlineMs:   time.Until(d.Deadline).Milliseconds(),
		Body:         fl.request.Body,
		Fingerprint:  uint64(fl.request.Fingerprint),
		Region:       string(d.Region),
	}}}
}

func ackFrame(fl *flight) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Ack{Ack: &wire.Ack{
		RequestId:    string(fl.request.Demand.Request),
		GenerationId: string(fl.generation),
		NextIndex:    uint64(fl.next),
	}}}
}

func cancelFrame(fl *flight, reason string) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Cancel{Cancel: &wire.Cancel{
		RequestId:    string(fl.request.Demand.Request),
		GenerationId: string(fl.generation),
		Reason:       reason,
	}}}
}
