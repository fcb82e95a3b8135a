package ledger

import (
	"time"

	"github.com/currantwood/currantwood"
)

// coverage tracks the time since which no record was lost to this reader: each
// record appended after it has been read or can still be read. It distinguishes a
// new key from one whose records the log has already dropped.
type coverage struct {
	started bool
	// start is the first offset of the gapless range read so far.
	start currantwood.Offset
	// since is the start of the covered time; zero if nothing was ever dropped.
	since time.Time
}

// reset restarts coverage at an offset that was read at time now.
func (c *coverage) reset(now time.Time, start currantwood.Offset) {
	c.started = true
	c.start = start
	c.since = now
	if start == 0 {
		c.since = time.Time{}
	}
}

// extend moves since back to batch.At if possible: records appended after
// batch.At have offsets of at least batch.Seen.
func (c *coverage) extend(batch Batch) {
	if batch.Seen >= c.start && batch.At.Before(c.since) {
		c.since = batch.At
	}
}

// timeUntilCovered returns how much later than at an operation would have to
// start for its window to be covered; 0 if it is covered at that time.
func (c *coverage) timeUntilCovered(at time.Time, window time.Duration) time.Duration {
	required := at.Add(-window - 2*maxClockSkew)
	return max(0, c.since.Sub(required))
}
