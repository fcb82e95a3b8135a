package ledger

import (
	"time"

	"github.com/currantwood/currantwood"
)

// coverage knows since when every record that reached the log was read, or
// was there to be read. Without that a key that looks new might be one whose
// record the log has already dropped.
type coverage struct {
	started bool
	// start is the first offset read without a gap up to now.
	start currantwood.Offset
	// since is the zero time when nothing was ever dropped.
	since time.Time
}

// begin starts anew at an offset that was read at the given time.
func (c *coverage) begin(now time.Time, start currantwood.Offset) {
	c.started = true
	c.start = start
	c.since = now
	if start == 0 {
		c.since = time.Time{}
	}
}

// extend takes in the proof that a batch carries: whatever landed after At has
// an offset of at least Seen.
func (c *coverage) extend(batch Batch) {
	if batch.Seen >= c.start && batch.At.Before(c.since) {
		c.since = batch.At
	}
}

// missing returns how long it takes until an operation that starts at the given
// time is covered for its window; 0 when it is covered now.
func (c *coverage) missing(at time.Time, window time.Duration) time.Duration {
	need := at.Add(-window - 2*maxClockSkew)
	return max(0, c.since.Sub(need))
}
