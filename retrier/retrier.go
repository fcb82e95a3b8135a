// Package retrier decides whether and when a request is tried again.
//
// The entry alone retries, and only within a budget that first tries fill: a
// retry adds load just when there is too much of it. Work that may not be
// repeated is never tried again once it may have been dispatched.
package retrier

import (
	"cmp"
	"math/rand"
	"time"

	"github.com/currantwood/currantwood"
)

// Defaults of Options.
const (
	// DefaultShare is the number of retries for each first try.
	DefaultShare = currantwood.Share(0.1)
	// DefaultReserve is the number of retries that may be saved up, and that a
	// new process starts with.
	DefaultReserve = 10
	// DefaultTries bounds the tries of one request, the first included.
	DefaultTries = 4
	// DefaultFirstDelay is the mean delay before the first retry.
	DefaultFirstDelay = 10 * time.Millisecond
	// DefaultLongestDelay bounds the doubling of delays.
	DefaultLongestDelay = time.Second
)

// Options sets the retrier's bounds. A zero value takes the default.
type Options struct {
	Share        currantwood.Share
	Reserve      float64
	Tries        int
	FirstDelay   time.Duration
	LongestDelay time.Duration
}

// Failure is a try that failed.
type Failure struct {
	// Tries counts the tries made so far; at least 1.
	Tries int
	// Ran says whether the try may have run.
	Ran currantwood.Ran
	// Repeatable is whether the request may run twice.
	Repeatable bool
	// Delivered is whether any part of the answer has reached the caller.
	Delivered bool
	// Deadline is the request's absolute deadline.
	Deadline time.Time
}

//go:generate go tool stringer -linecomment -type=Reason

// Reason says why a request is not tried again.
type Reason uint8

// The reasons, with None where the request is tried again.
const (
	None             Reason = iota // none
	Unrepeatable                   // unrepeatable
	AlreadyDelivered               // already-delivered
	TooManyTries                   // too-many-tries
	PastDeadline                   // past-deadline
	OverBudget                     // over-budget
)

// Retrier keeps one process's budget. It is not safe for concurrent use.
type Retrier struct {
	options Options
	random  *rand.Rand
	// saved is the number of retries that may be made now. It is at least 0
	// and at most options.Reserve.
	saved float64
}

// New returns a retrier that draws delays from random.
func New(options Options, random *rand.Rand) *Retrier {
	options.Share = cmp.Or(options.Share, DefaultShare)
	options.Reserve = cmp.Or(options.Reserve, DefaultReserve)
	options.Tries = cmp.Or(options.Tries, DefaultTries)
	options.FirstDelay = cmp.Or(options.FirstDelay, DefaultFirstDelay)
	options.LongestDelay = cmp.Or(options.LongestDelay, DefaultLongestDelay)
	return &Retrier{options: options, random: random, saved: options.Reserve}
}

// First notes a request's first try, which adds its share to the budget.
func (r *Retrier) First() {
	r.saved = min(r.options.Reserve, r.saved+float64(r.options.Share))
}

// Again decides on a failed try. With reason None the request is to be tried
// again after the delay, and the budget is charged; else the failure is final.
func (r *Retrier) Again(now time.Time, failure Failure) (delay time.Duration, reason Reason) {
	if failure.Ran != currantwood.NotRun && !failure.Repeatable {
		return 0, Unrepeatable
	}
	if failure.Delivered {
		return 0, AlreadyDelivered
	}
	if failure.Tries >= r.options.Tries {
		return 0, TooManyTries
	}
	delay = r.delay(failure.Tries)
	if !now.Add(delay).Before(failure.Deadline) {
		return 0, PastDeadline
	}
	if r.saved < 1 {
		return 0, OverBudget
	}
	r.saved--
	return delay, None
}

// delay draws a delay between nothing and twice the mean for this try.
func (r *Retrier) delay(tries int) time.Duration {
	mean := min(r.options.LongestDelay, r.options.FirstDelay<<(tries-1))
	return time.Duration(r.random.Int63n(int64(2*mean) + 1))
}
