package gatekeeper

import (
	"time"

	"github.com/currantwood/currantwood"
)

// ActionKind is what the caller has to do for a request.
type ActionKind uint8

// The kinds of actions.
const (
	// ActionStart sends the request to the engine.
	ActionStart ActionKind = iota + 1 // start
	// ActionQueue tells the entry that the request waits in the queue.
	ActionQueue // queue
	// ActionRefuse refuses the request, which was not dispatched.
	ActionRefuse // refuse
	// ActionPause pauses the request's stream at the engine.
	ActionPause // pause
	// ActionUnpause continues the request's paused stream.
	ActionUnpause // unpause
)

// Action is one thing to do for a request. Actions must be carried out in the
// order in which they are returned.
type Action struct {
	Kind    ActionKind
	Request currantwood.RequestID
	// Wait is the predicted wait in the queue; set only if Kind is ActionQueue.
	Wait time.Duration
	// Refusal is non-nil if and only if Kind is ActionRefuse.
	Refusal *currantwood.Refusal
}
