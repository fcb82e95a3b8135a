package connkeeper

import (
	"sync/atomic"
	"time"
)

// arrivalClock knows when a read from a connection last returned. It is safe for concurrent use.
type arrivalClock struct {
	now func() time.Time
	// readAt is when the last read returned, or when the last request was sent if that is
	// later, as a UnixNano.
	readAt atomic.Int64
	// waiting is whether a read waits for bytes.
	waiting atomic.Bool
}

// restart notes that a request was sent, so that bytes are expected from now on.
func (a *arrivalClock) restart() { a.readAt.Store(a.now().UnixNano()) }

func (a *arrivalClock) noteRead() {
	a.waiting.Store(false)
	a.restart()
}

func (a *arrivalClock) silence(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, a.readAt.Load()))
}
