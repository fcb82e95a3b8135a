package ledger

import (
	"time"

	"github.com/currantwood/currantwood"
)

// coverage tracks the time since which no record was lost to this reader: each
// record that was appended since that time was read or can still be read. It
// distinguishes a new key from one whose records the log has already dropped.
type coverage struct {
	// started is set by the first read.
	started bool
	// start is the first offset of the gapless range read so far.
	start currantwood.Offset
	// since is the start of the covered time; zero before the first read and as long
	// as no record was dropped unread or was unreadable.
	since time.Time
}

// reset restarts coverage at time now and at start, the first offset that can be
// read from then on.
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

// timeUntilCovered returns how much later than intentAt the time in an intent must
// be for its window to be covered; 0 if intentAt is late enough. The clock skew
// counts twice: an owner's intent counts for maxClockSkew longer than the window,
// and the clock that gave its time may differ from the one that gave since.
func (c *coverage) timeUntilCovered(intentAt time.Time, window time.Duration) time.Duration {
	required := intentAt.Add(-window - 2*maxClockSkew)
	return max(0, c.since.Sub(required))
}
