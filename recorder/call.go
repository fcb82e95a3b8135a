package recorder

import (
	"context"
	"strconv"

	"github.com/pkg/errors"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/ledger"
	"github.com/currantwood/currantwood/wire"
)

// callRepeatable calls the service without a record in the operations log.
func (r *Recorder) callRepeatable(ctx context.Context, call *wire.Call) *wire.Answer {
	response, err := r.options.Service.Call(ctx, toServiceCall(call))
	if err == nil {
		return answerFromResponse(response, false)
	}
	refusal := currantwood.NewRefusal(currantwood.KindUpstreamError, step, err.Error(), retryAfterError)
	refusal.Peer = string(r.options.Upstream)
	if !errors.Is(err, currantwood.ErrNotDispatched) {
		refusal.Ran = currantwood.RanUnknown
	}
	return answerFromRefusal(refusal)
}

func toServiceCall(call *wire.Call) currantwood.ServiceCall {
	return currantwood.ServiceCall{
		Method: call.Method, Path: call.Path, Header: wire.ToHeader(call.Headers),
		Body: call.Body, Repeatable: call.Repeatable,
	}
}

func answerFromResponse(response currantwood.ServiceResponse, replayed bool) *wire.Answer {
	return &wire.Answer{
		Status: uint32(response.Status), Headers: wire.FromHeader(response.Header),
		Body: response.Body, Replayed: replayed,
	}
}

func answerFromRefusal(refusal *currantwood.Refusal) *wire.Answer {
	return &wire.Answer{Refusal: wire.FromRefusal(refusal)}
}

// answerFromAction converts an action of kind ActionRespond or ActionRefuse. peer
// is the upstream that a refusal names.
func answerFromAction(action ledger.Action, peer currantwood.UpstreamID) *wire.Answer {
	if action.Kind == ledger.ActionRespond {
		return answerFromResponse(action.Outcome.Response, action.Replayed)
	}
	refusal := *action.Refusal
	refusal.Peer = string(peer)
	return answerFromRefusal(&refusal)
}

func formatBase36(n uint64) string { return strconv.FormatUint(n, 36) }
