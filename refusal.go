package currantwood

import (
	"fmt"
	"time"
)

// Refusal is the final, typed answer to work that was not served. It is an
// error.
type Refusal struct {
	// Kind is never zero.
	Kind Kind
	// Ran is NotRun only where nothing was dispatched to an upstream.
	Ran Ran
	// RetryAfter is how long the caller should wait; zero where asking again
	// cannot help.
	RetryAfter time.Duration
	// Step is the stage at which the refusal arose, as in "gatekeeper".
	Step string
	// Peer is the process or upstream concerned; empty where it is this one.
	Peer string
	// Detail is one sentence for a person.
	Detail string
	// Operation is the id to ask about when Ran is RanUnknown; else empty.
	Operation string
}

// Error says kind, what ran, step, peer and detail.
func (r *Refusal) Error() string {
	peer := r.Peer
	if peer == "" {
		peer = "local"
	}
	return fmt.Sprintf("%s (%s) at %s, peer %s: %s", r.Kind, r.Ran, r.Step, peer, r.Detail)
}

// Refuse makes a refusal of work that was not dispatched.
func Refuse(kind Kind, step, detail string, retryAfter time.Duration) *Refusal {
	return &Refusal{Kind: kind, Ran: NotRun, Step: step, Detail: detail, RetryAfter: retryAfter}
}

// Kinds lists all kinds of refusal in ascending order.
func Kinds() []Kind {
	var kinds []Kind
	for kind := KindBadRequest; kind <= lastKind; kind++ {
		kinds = append(kinds, kind)
	}
	return kinds
}
