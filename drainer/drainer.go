// Package drainer delays the shutdown of an HTTP server while requests still arrive.
// net/http closes the connection of a request that it reads after its shutdown has
// begun, without a response, however long ago the client has sent it.
package drainer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/currantwood/currantwood/sleeper"
)

const (
	// quietTime is how long no request must have arrived.
	quietTime = 250 * time.Millisecond
	// maxWait bounds the wait, as clients may go on sending.
	maxWait = 1500 * time.Millisecond
	// checkInterval is the time between two checks.
	checkInterval = 25 * time.Millisecond
)

// Drainer notes when requests arrive. It is safe for concurrent use.
type Drainer struct {
	// last is when the last request arrived, as the UnixNano of the caller's clock; 0
	// before the first.
	last atomic.Int64
}

// New returns a Drainer without requests.
func New() *Drainer { return &Drainer{} }

// NoteRequest notes that a request has arrived.
func (d *Drainer) NoteRequest(now time.Time) { d.last.Store(now.UnixNano()) }

// IsQuiet reports whether no request has arrived for quietTime.
func (d *Drainer) IsQuiet(now time.Time) bool {
	return now.Sub(time.Unix(0, d.last.Load())) >= quietTime
}

// Wait waits until it is quiet, for maxWait at most or until ctx is done. now reads the
// clock of NoteRequest.
func (d *Drainer) Wait(ctx context.Context, now func() time.Time) {
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	for !d.IsQuiet(now()) {
		if !sleeper.Sleep(ctx, checkInterval) {
			return
		}
	}
}
