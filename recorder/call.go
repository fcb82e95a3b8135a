package recorder

import (
	"context"
	"strconv"

	"github.com/pkg/errors"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/ledger"
	"github.com/currantwood/currantwood/wire"
)

// repeatable runs a call that needs no record.
func (r *Recorder) repeatable(ctx context.Context, call *wire.Call) *wire.Answer {
	answer, err := r.options.Service.Call(ctx, serviceCall(call))
	if err == nil {
		return answered(answer, false)
	}
	refusal := currantwood.NewRefusal(currantwood.KindUpstreamError, step, err.Error(), retryAfterError)
	refusal.Peer = string(r.options.Upstream)
	if !errors.Is(err, currantwood.ErrNotDispatched) {
		refusal.Ran = currantwood.RanUnknown
	}
	return refused(refusal)
}

func serviceCall(call *wire.Call) currantwood.ServiceCall {
	return currantwood.ServiceCall{
		Method: call.Method, Path: call.Path, Header: wire.ToHeader(call.Headers),
		Body: call.Body, Repeatable: call.Repeatable,
	}
}

func answered(answer currantwood.ServiceResponse, replayed bool) *wire.Answer {
	return &wire.Answer{
		Status: uint32(answer.Status), Headers: wire.FromHeader(answer.Header),
		Body: answer.Body, Replayed: replayed,
	}
}

func refused(refusal *currantwood.Refusal) *wire.Answer {
	return &wire.Answer{Refusal: wire.FromRefusal(refusal)}
}

// verdict converts the ledger's last word on a call.
func verdict(action ledger.Action, peer currantwood.UpstreamID) *wire.Answer {
	if action.Kind == ledger.ActionAnswer {
		return answered(action.Outcome.Answer, action.Replayed)
	}
	refusal := *action.Refusal
	refusal.Peer = string(peer)
	return refused(&refusal)
}

func formatCount(n uint64) string { return strconv.FormatUint(n, 36) }
