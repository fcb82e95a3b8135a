package wire

import (
	"time"

	"github.com/currantwood/currantwood"
)

// FromRefusal converts a refusal to a message. It truncates RetryAfter to
// milliseconds. If r is nil, it returns nil.
func FromRefusal(r *currantwood.Refusal) *Refusal {
	if r == nil {
		return nil
	}
	return &Refusal{
		Kind:         uint32(r.Kind),
		Ran:          uint32(r.Ran),
		RetryAfterMs: r.RetryAfter.Milliseconds(),
		Step:         r.Step,
		Peer:         r.Peer,
		Detail:       r.Detail,
		Operation:    r.Operation,
	}
}

// ToRefusal converts a message to a refusal. If r is nil, it returns nil.
func ToRefusal(r *Refusal) *currantwood.Refusal {
	if r == nil {
		return nil
	}
	return &currantwood.Refusal{
		Kind:       currantwood.Kind(r.Kind),
		Ran:        currantwood.Ran(r.Ran),
		RetryAfter: time.Duration(r.RetryAfterMs) * time.Millisecond,
		Step:       r.Step,
		Peer:       r.Peer,
		Detail:     r.Detail,
		Operation:  r.Operation,
	}
}
