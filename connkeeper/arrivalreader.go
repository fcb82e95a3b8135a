package connkeeper

import (
	"io"
	"sync/atomic"
	"time"
)

// arrivalReader knows when something last arrived from its source. Only one goroutine reads at
// a time; the other methods are safe for concurrent use.
type arrivalReader struct {
	source io.Reader
	now    func() time.Time
	// readAt is when the last read returned, or when the last request was sent if that is
	// later, as a UnixNano.
	readAt atomic.Int64
	// waiting is whether a read waits for bytes.
	waiting atomic.Bool
}

func (r *arrivalReader) Read(p []byte) (int, error) {
	r.waiting.Store(true)
	n, err := r.source.Read(p)
	r.waiting.Store(false)
	r.restart()
	return n, err
}

// restart notes that a request was sent, so that bytes are expected from now on.
func (r *arrivalReader) restart() { r.readAt.Store(r.now().UnixNano()) }

// silence returns how long nothing has arrived.
func (r *arrivalReader) silence(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, r.readAt.Load()))
}
