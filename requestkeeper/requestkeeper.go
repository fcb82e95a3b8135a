// Package requestkeeper keeps the last generations that an entry served, so that
// operators can download them as a trace.
package requestkeeper

import (
	"sync"
	"time"

	"github.com/currantwood/currantwood/tracer"
)

// Path is the HTTP path of the kept requests at an entry's operators' address.
const Path = "/recent-requests"

// Keeper is a ring buffer of served requests. It is safe for concurrent use.
type Keeper struct {
	mu sync.Mutex
	// ring holds the last requests. All of it is in use only once full is set.
	ring []tracer.Request
	// next is the index in ring of the next request.
	next int
	full bool
}

// New returns an empty Keeper of the last limit requests; limit must be at least 1.
func New(limit int) *Keeper { return &Keeper{ring: make([]tracer.Request, limit)} }

// Add adds a served request and sets its ArrivalMs to arrival, in milliseconds since
// the Unix epoch.
func (k *Keeper) Add(arrival time.Time, request tracer.Request) {
	request.ArrivalMs = arrival.UnixMilli()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ring[k.next] = request
	k.next = (k.next + 1) % len(k.ring)
	k.full = k.full || k.next == 0
}

// Recent returns a copy of the kept requests, ordered by the time at which they ended.
func (k *Keeper) Recent() []tracer.Request {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.full {
		return append([]tracer.Request{}, k.ring[:k.next]...)
	}
	return append(append([]tracer.Request{}, k.ring[k.next:]...), k.ring[:k.next]...)
}
