package currantwood

import (
	"fmt"
	"time"
)

// Refusal is the final, typed response to work that was not served. It implements
// error.
type Refusal struct {
	// Kind is never zero.
	Kind Kind
	// Ran is NotRun only if nothing was dispatched to an upstream.
	Ran Ran
	// RetryAfter is how long the client should wait before a retry; zero if a
	// retry cannot succeed.
	RetryAfter time.Duration
	// Step is the pipeline stage that refused the work, such as "gatekeeper".
	Step string
	// Peer is the other party that the refusal concerns: a process, an upstream or
	// "caller" for the client; empty if there is none.
	Peer string
	// Detail is a human-readable explanation of one sentence.
	Detail string
	// Operation is the ID under which the outcome can be queried if Ran is
	// RanUnknown; otherwise empty.
	Operation string
}

// Error returns the kind, whether the work ran, the step, peer and detail.
func (r *Refusal) Error() string {
	peer := r.Peer
	if peer == "" {
		peer = "local"
	}
	return fmt.Sprintf("%s (%s) at %s, peer %s: %s", r.Kind, r.Ran, r.Step, peer, r.Detail)
}

// NewRefusal returns a refusal of work that was not dispatched to an upstream.
func NewRefusal(kind Kind, step, detail string, retryAfter time.Duration) *Refusal {
	return &Refusal{Kind: kind, Ran: NotRun, Step: step, Detail: detail, RetryAfter: retryAfter}
}

// Kinds returns all refusal kinds in ascending order.
func Kinds() []Kind {
	var kinds []Kind
	for kind := KindBadRequest; kind <= lastKind; kind++ {
		kinds = append(kinds, kind)
	}
	return kinds
}
