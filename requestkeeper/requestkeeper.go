// Package requestkeeper keeps the last generations that an entry served, so that
// operators can download them and make a workload trace of them.
package requestkeeper

import (
	"sync"
	"time"

	"github.com/currantwood/currantwood/tracer"
)

// Path is the HTTP path of the kept generations at an entry's operators' address.
const Path = "/recent-requests"

// Keeper is a ring buffer of served generations. It is safe for concurrent use.
type Keeper struct {
	mu sync.Mutex
	// ring holds the last generations. All of it is in use only once full is set.
	ring []tracer.Request
	// next is the index in ring of the next generation.
	next int
	full bool
}

// New returns an empty Keeper of the last limit generations; limit must be at least 1.
func New(limit int) *Keeper { return &Keeper{ring: make([]tracer.Request, limit)} }

// Add adds a served generation and sets its ArrivalMs to arrival, in milliseconds
// since the Unix epoch. In a trace, ArrivalMs counts from the trace's start instead.
func (k *Keeper) Add(arrival time.Time, generation tracer.Request) {
	generation.ArrivalMs = arrival.UnixMilli()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ring[k.next] = generation
	k.next = (k.next + 1) % len(k.ring)
	k.full = k.full || k.next == 0
}

// Recent returns a copy of the kept generations, ordered by the time at which they ended.
func (k *Keeper) Recent() []tracer.Request {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.full {
		return append([]tracer.Request{}, k.ring[:k.next]...)
	}
	return append(append([]tracer.Request{}, k.ring[k.next:]...), k.ring[:k.next]...)
}
