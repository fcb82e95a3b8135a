package forwarder

import (
	"fmt"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/wire"
)

// requestIDOf returns the ID of the request that a frame from a side belongs to, or "" if
// the frame belongs to none.
func requestIDOf(frame *wire.Frame) currantwood.RequestID {
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

func startFrame(r *activeRequest, now time.Time) *wire.Frame {
	d := r.request.Demand
	return &wire.Frame{Body: &wire.Frame_Start{Start: &wire.Start{
		RequestId:    string(d.Request),
		GenerationId: string(r.current.generation),
		Customer:     string(d.Customer),
		Rule:         string(d.Rule),
		Class:        uint32(d.Class),
		Priority:     uint32(d.Priority),
		Model:        string(d.Model),
		PromptTokens: int64(d.PromptTokens),
		Prefix:       uint64(d.Prefix),
		MaxTokens:    int64(d.MaxTokens),
		DeadlineMs:   d.Deadline.Sub(now).Milliseconds(),
		Body:         r.request.Body,
		Fingerprint:  uint64(r.request.Fingerprint),
		Region:       string(d.Region),
		Weight:       d.Weight,
		Promised:     d.Promised,
	}}}
}

func linkLostRefusal(lost run) *currantwood.Refusal {
	refusal := currantwood.NewRefusal(currantwood.KindLinkLost, step, "the link to the side closed", defaultRetryAfter)
	refusal.Peer = string(lost.upstream)
	return refusal
}

// ejectedRefusal ends an attempt at an upstream that is ejected, because it fails
// requests or makes no progress. The upstream may still run the generation, but its output
// is discarded.
func ejectedRefusal(ejected run) *currantwood.Refusal {
	return &currantwood.Refusal{
		Kind:       currantwood.KindUpstreamError,
		Ran:        currantwood.RanUnknown,
		RetryAfter: defaultRetryAfter,
		Step:       step,
		Peer:       string(ejected.upstream),
		Detail:     "the upstream makes no progress",
	}
}

// takenOverRefusal ends a request whose client has reconnected: a newer call of Forward
// has the same request ID.
func takenOverRefusal() *currantwood.Refusal {
	return &currantwood.Refusal{
		Kind:   currantwood.KindTakenOver,
		Ran:    currantwood.RanUnknown,
		Step:   step,
		Detail: "the caller has reconnected and reads on there",
	}
}

// clientGoneRefusal ends a request whose client has disconnected.
func clientGoneRefusal() *currantwood.Refusal {
	return &currantwood.Refusal{
		Kind:   currantwood.KindLinkLost,
		Ran:    currantwood.RanUnknown,
		Step:   step,
		Peer:   "caller",
		Detail: "the caller has closed its connection",
	}
}

// deadlineRefusal ends a request whose deadline has passed. Ran is RanDone if a token of
// the generation has arrived, at this connection of the client or an earlier one: the
// request has run, though not to its end.
func (r *activeRequest) deadlineRefusal() *currantwood.Refusal {
	ran := currantwood.RanUnknown
	if _, next := r.relayer.Position(); next > 0 {
		ran = currantwood.RanDone
	}
	return &currantwood.Refusal{
		Kind:       currantwood.KindDeadline,
		Ran:        ran,
		RetryAfter: defaultRetryAfter,
		Step:       step,
		Peer:       string(r.current.upstream),
		Detail:     fmt.Sprintf("the deadline passed while %s held the request", r.current.upstream),
	}
}
