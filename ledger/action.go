package ledger

import (
	"time"

	"github.com/currantwood/currantwood"
)

// ActionKind says what the shell has to do.
type ActionKind uint8

// The kinds of action.
const (
	// ActionAppend asks to append Record, in any batch. Appended or Failed
	// follows.
	ActionAppend ActionKind = iota + 1 // append
	// ActionDispatch asks to call Dispatch and, if that allows it, to send the
	// call. Done or NotDispatched follows.
	ActionDispatch // dispatch
	// ActionAnswer gives the caller the outcome.
	ActionAnswer // answer
	// ActionRefuse gives the caller the refusal.
	ActionRefuse // refuse
)

// Action is one thing that the shell has to do for a call.
type Action struct {
	Kind ActionKind
	// Call is the id given to Begin; empty on an append.
	Call currantwood.AttemptID
	// Record is set on ActionAppend.
	Record Record
	// Outcome is set on ActionAnswer; never Unknown.
	Outcome Outcome
	// Replayed says that the outcome is that of an earlier call.
	Replayed bool
	// Refusal is set on ActionRefuse.
	Refusal *currantwood.Refusal
}

// step names this package in refusals.
const step = "ledger"

func appendRecord(record Record) Action {
	return Action{Kind: ActionAppend, Record: record}
}

func refuse(c *call, refusal *currantwood.Refusal) Action {
	return Action{Kind: ActionRefuse, Call: c.id, Refusal: refusal}
}

func notRun(c *call, kind currantwood.Kind, detail string, retryAfter time.Duration) Action {
	return refuse(c, currantwood.NewRefusal(kind, step, detail, retryAfter))
}

// unknown refuses a call whose operation may have run or may yet run.
func unknown(c *call, kind currantwood.Kind, detail string) Action {
	return refuse(c, &currantwood.Refusal{
		Kind: kind, Ran: currantwood.RanUnknown, RetryAfter: askAgainAfter, Step: step,
		Detail: detail, Operation: c.operation.Scope.OperationID(),
	})
}

// conclude gives a call the outcome of its operation.
func conclude(c *call, outcome Outcome, replayed bool) Action {
	switch {
	case outcome.Unknown:
		return unknown(c, currantwood.KindOutcomeUnknown, "The upstream was called and no whole answer came.")
	case outcome.Omitted:
		refusal := currantwood.NewRefusal(currantwood.KindUpstreamError, step, "The operation ran; its answer was too long to be recorded.", 0)
		refusal.Ran = currantwood.RanDone
		refusal.Operation = c.operation.Scope.OperationID()
		return refuse(c, refusal)
	default:
		return Action{Kind: ActionAnswer, Call: c.id, Outcome: outcome, Replayed: replayed}
	}
}
