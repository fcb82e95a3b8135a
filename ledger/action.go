package ledger

import (
	"time"

	"github.com/currantwood/currantwood"
)

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of action.
const (
	// ActionAppend requests that Record be appended to the log, in any batch.
	// The result is reported with Appended or Failed.
	ActionAppend ActionKind = iota + 1 // append
	// ActionDispatch asks the user of Ledger to invoke Dispatch and, if that
	// returns true, to send the call. The result is reported with Done or
	// NotSent.
	ActionDispatch // dispatch
	// ActionRespond returns the outcome to the client.
	ActionRespond // answer
	// ActionRefuse returns the refusal to the client.
	ActionRefuse // refuse
)

// Action is a side effect that the user of Ledger performs for it.
type Action struct {
	Kind ActionKind
	// Call is the ID passed to Begin or Ask; empty on ActionAppend.
	Call currantwood.AttemptID
	// Record is set on ActionAppend.
	Record Record
	// Outcome is set on ActionRespond. Its Unknown and Omitted are false.
	Outcome Outcome
	// Replayed is set on ActionRespond if the outcome is that of an earlier call.
	Replayed bool
	// Refusal is set on ActionRefuse.
	Refusal *currantwood.Refusal
}

// step is the Refusal.Step of this package.
const step = "ledger"

func appendRecord(record Record) Action {
	return Action{Kind: ActionAppend, Record: record}
}

func refuse(c *call, refusal *currantwood.Refusal) Action {
	return Action{Kind: ActionRefuse, Call: c.id, Refusal: refusal}
}

func refuseNotRun(c *call, kind currantwood.Kind, detail string, retryAfter time.Duration) Action {
	return refuse(c, currantwood.NewRefusal(kind, step, detail, retryAfter))
}

// refuseUnknown refuses a call whose operation may have run or may still run.
func refuseUnknown(c *call, kind currantwood.Kind, detail string) Action {
	return refuse(c, &currantwood.Refusal{
		Kind: kind, Ran: currantwood.RanUnknown, RetryAfter: clientRetryAfter, Step: step,
		Detail: detail, Operation: c.operation.Scope.OperationID(),
	})
}

// respondOrRefuse returns the outcome to the client, or a refusal if the outcome
// contains no response.
func respondOrRefuse(c *call, outcome Outcome, replayed bool) Action {
	switch {
	case outcome.Unknown:
		return refuseUnknown(c, currantwood.KindOutcomeUnknown, "The upstream was called and no whole answer came.")
	case outcome.Omitted:
		refusal := currantwood.NewRefusal(currantwood.KindUpstreamError, step, "The operation ran; its answer was too long to be recorded.", 0)
		refusal.Ran = currantwood.RanDone
		refusal.Operation = c.operation.Scope.OperationID()
		return refuse(c, refusal)
	default:
		return Action{Kind: ActionRespond, Call: c.id, Outcome: outcome, Replayed: replayed}
	}
}
