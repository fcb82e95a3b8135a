// Package requestkeeper keeps the last generations that an entry has served, so
// that operators can record them as a trace.
package requestkeeper

import (
	"sync"
	"time"

	"github.com/currantwood/currantwood/tracer"
)

// Path is where operators' addresses serve what is kept.
const Path = "/recent-requests"

// Keeper is safe for concurrent use.
type Keeper struct {
	mu sync.Mutex
	// ring holds the last requests; next is the place of the next one.
	ring []tracer.Request
	next int
	full bool
}

// New makes a keeper of the last limit requests; limit is at least 1.
func New(limit int) *Keeper { return &Keeper{ring: make([]tracer.Request, limit)} }

// Add keeps a request that arrived at the given time; its ArrivalMs then counts
// from the Unix epoch.
func (k *Keeper) Add(arrival time.Time, request tracer.Request) {
	request.ArrivalMs = arrival.UnixMilli()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ring[k.next] = request
	k.next = (k.next + 1) % len(k.ring)
	k.full = k.full || k.next == 0
}

// Recent returns what is kept, oldest first by end.
func (k *Keeper) Recent() []tracer.Request {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.full {
		return append([]tracer.Request{}, k.ring[:k.next]...)
	}
	return append(append([]tracer.Request{}, k.ring[k.next:]...), k.ring[:k.next]...)
}
