package forwarder

import (
	"fmt"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/wire"
)

// requestOf is the request that a frame of a side belongs to.
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

func startFrame(fl *flight, now time.Time) *wire.Frame {
	d := fl.request.Demand
	return &wire.Frame{Body: &wire.Frame_Start{Start: &wire.Start{
		RequestId:    string(d.Request),
		GenerationId: string(fl.target.generation),
		Customer:     string(d.Customer),
		Rule:         string(d.Rule),
		Class:        uint32(d.Class),
		Priority:     uint32(d.Priority),
		Model:        string(d.Model),
		PromptTokens: int64(d.PromptTokens),
		Prefix:       uint64(d.Prefix),
		MaxTokens:    int64(d.MaxTokens),
		DeadlineMs:   d.Deadline.Sub(now).Milliseconds(),
		Body:         fl.request.Body,
		Fingerprint:  uint64(fl.request.Fingerprint),
		Region:       string(d.Region),
		Weight:       d.Weight,
		Promised:     d.Promised,
	}}}
}

func linkLost(t target) *currantwood.Refusal {
	refusal := currantwood.NewRefusal(currantwood.KindLinkLost, step, "the link to the side closed", retryAfterLost)
	refusal.Peer = string(t.upstream)
	return refusal
}

// standsStill ends a try at an upstream that makes no progress. The upstream
// may yet run what it holds; nobody will read it.
func standsStill(t target) *currantwood.Refusal {
	return &currantwood.Refusal{
		Kind:       currantwood.KindUpstreamError,
		Ran:        currantwood.RanUnknown,
		RetryAfter: retryAfterLost,
		Step:       step,
		Peer:       string(t.upstream),
		Detail:     "the upstream makes no progress",
	}
}

func takenOver() *currantwood.Refusal {
	return &currantwood.Refusal{
		Kind:   currantwood.KindTakenOver,
		Ran:    currantwood.RanUnknown,
		Step:   step,
		Detail: "the caller has reconnected and reads on there",
	}
}

func callerLeft() *currantwood.Refusal {
	return &currantwood.Refusal{
		Kind:   currantwood.KindLinkLost,
		Ran:    currantwood.RanUnknown,
		Step:   step,
		Peer:   "caller",
		Detail: "the caller has closed its connection",
	}
}

func (fl *flight) deadlinePassed() *currantwood.Refusal {
	ran := currantwood.RanUnknown
	if _, next := fl.relayer.Position(); next > 0 {
		ran = currantwood.RanDone
	}
	return &currantwood.Refusal{
		Kind:       currantwood.KindDeadline,
		Ran:        ran,
		RetryAfter: retryAfterLost,
		Step:       step,
		Peer:       string(fl.target.upstream),
		Detail:     fmt.Sprintf("the deadline passed while %s held the request", fl.target.upstream),
	}
}
