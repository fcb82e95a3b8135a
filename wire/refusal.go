package wire

import (
	"time"

	"github.com/currantwood/currantwood"
)

// FromRefusal converts a refusal for sending. A nil refusal gives nil.
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

// ToRefusal converts a received refusal. Nil gives nil.
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
