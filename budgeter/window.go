package budgeter

import (
	"time"

	"github.com/currantwood/currantwood"
)

// windowCounter counts usage in a sliding window, as a ring of buckets.
type windowCounter struct {
	buckets [ringSize]Usage
	// newestBucket is the number of the newest bucket, counted from the zero of
	// the clock that the times are read from.
	newestBucket int64
}

// bucket returns the current bucket of a group.
func (b *Budgeter) bucket(now time.Time, id currantwood.GroupID) *Usage {
	c := b.groups[id]
	if c == nil {
		c = &windowCounter{}
		b.groups[id] = c
	}
	b.advance(now, c)
	return &c.buckets[c.newestBucket%ringSize]
}

// advance moves the window of a counter to now and clears the buckets that it
// reuses.
func (b *Budgeter) advance(now time.Time, c *windowCounter) {
	current := now.UnixNano() / int64(b.options.Window/bucketCount)
	if current-c.newestBucket >= ringSize {
		c.buckets = [ringSize]Usage{}
		c.newestBucket = current
		return
	}
	for c.newestBucket < current {
		c.newestBucket++
		c.buckets[c.newestBucket%ringSize] = Usage{}
	}
}

// used returns this gateway's usage of one group.
func (b *Budgeter) used(now time.Time, id currantwood.GroupID) Usage {
	c := b.groups[id]
	if c == nil {
		return Usage{}
	}
	b.advance(now, c)
	var sum Usage
	for _, u := range c.buckets {
		sum.Requests += u.Requests
		sum.Retries += u.Retries
	}
	// The oldest bucket counts for retries only; see bucketCount.
	sum.Requests -= c.buckets[(c.newestBucket+1)%ringSize].Requests
	return sum
}
