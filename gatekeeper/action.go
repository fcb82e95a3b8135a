package gatekeeper

import (
	"time"

	"github.com/currantwood/currantwood"
)

// ActionKind is a kind of action.
type ActionKind uint8

// What the shell has to do for a request.
const (
	// ActionStart starts the request at the engine.
	ActionStart ActionKind = iota + 1 // start
	// ActionQueue tells the entry that the request waits.
	ActionQueue // queue
	// ActionRefuse gives the request its final answer. Nothing was dispatched.
	ActionRefuse // refuse
	// ActionPause pauses the request's stream at the engine.
	ActionPause // pause
	// ActionUnpause lets the request's stream run on.
	ActionUnpause // unpause
)

// Action is one thing to do, in the order given.
type Action struct {
	Kind    ActionKind
	Request currantwood.RequestID
	// Wait is the predicted wait of an ActionQueue.
	Wait time.Duration
	// Refusal is set exactly on ActionRefuse.
	Refusal *currantwood.Refusal
}
