// Package retrier decides whether and when a failed request is retried.
//
// Only the entry retries, and only within a retry budget, since retries add load
// when there already is too much. Each first attempt adds to the budget. A request
// that isn't repeatable is never retried once it may have run.
package retrier

import (
	"cmp"
	"math/rand"
	"time"

	"github.com/currantwood/currantwood"
)

// Defaults of Options.
const (
	DefaultShare       = currantwood.Share(0.1)
	DefaultMaxBudget   = 10
	DefaultMaxAttempts = 4
	DefaultBaseDelay   = 10 * time.Millisecond
	DefaultMaxDelay    = time.Second
)

// Options configures a Retrier. A zero field takes its default.
type Options struct {
	// Share is the number of retries that each first attempt adds to the retry
	// budget.
	Share currantwood.Share
	// MaxBudget is the highest retry budget, in retries, and that of a new Retrier.
	MaxBudget float64
	// MaxAttempts bounds the attempts at one request, including the first.
	MaxAttempts int
	// BaseDelay is the mean delay before the first retry. The mean doubles with
	// each further retry.
	BaseDelay time.Duration
	// MaxDelay bounds the mean delay. A single delay may be twice as long.
	MaxDelay time.Duration
}

// Failure describes a request whose last attempt failed.
type Failure struct {
	// Attempts counts the attempts made so far, including the first; >= 1.
	Attempts int
	// Ran is whether the last attempt has run.
	Ran currantwood.Ran
	// Repeatable is whether the request may run twice.
	Repeatable bool
	// Delivered is whether any part of the response has reached the caller.
	Delivered bool
	// Deadline is the request's absolute deadline.
	Deadline time.Time
}

//go:generate go tool stringer -linecomment -type=Reason

// Reason is why a request isn't retried.
type Reason uint8

// The reasons. None means that the request is retried.
const (
	None             Reason = iota // none
	Unrepeatable                   // unrepeatable
	AlreadyDelivered               // already-delivered
	TooManyAttempts                // too-many-tries
	PastDeadline                   // past-deadline
	OverBudget                     // over-budget
)

// Retrier holds a retry budget. It is not safe for concurrent use.
type Retrier struct {
	options Options
	random  *rand.Rand
	// budget is the number of retries that may be made now;
	// 0 <= budget <= options.MaxBudget, its start value.
	budget float64
}

// New returns a retrier with a full budget. It draws delays from random, so that
// retries are spread in time.
func New(options Options, random *rand.Rand) *Retrier {
	options.Share = cmp.Or(options.Share, DefaultShare)
	options.MaxBudget = cmp.Or(options.MaxBudget, DefaultMaxBudget)
	options.MaxAttempts = cmp.Or(options.MaxAttempts, DefaultMaxAttempts)
	options.BaseDelay = cmp.Or(options.BaseDelay, DefaultBaseDelay)
	options.MaxDelay = cmp.Or(options.MaxDelay, DefaultMaxDelay)
	return &Retrier{options: options, random: random, budget: options.MaxBudget}
}

// RecordFirstAttempt records the first attempt at a request, which adds
// Options.Share to the budget.
func (r *Retrier) RecordFirstAttempt() {
	r.budget = min(r.options.MaxBudget, r.budget+float64(r.options.Share))
}

// Decide decides whether a failed request is retried. If the reason is None, the
// budget is charged and the request must be retried after the delay. Any other
// reason makes the failure final.
func (r *Retrier) Decide(now time.Time, failure Failure) (delay time.Duration, reason Reason) {
	if failure.Ran != currantwood.NotRun && !failure.Repeatable {
		return 0, Unrepeatable
	}
	if failure.Delivered {
		return 0, AlreadyDelivered
	}
	if failure.Attempts >= r.options.MaxAttempts {
		return 0, TooManyAttempts
	}
	delay = r.delay(failure.Attempts)
	if !now.Add(delay).Before(failure.Deadline) {
		return 0, PastDeadline
	}
	if r.budget < 1 {
		return 0, OverBudget
	}
	r.budget--
	return delay, None
}

// delay draws the delay before the next attempt, uniformly between 0 and twice its
// mean. The number of attempts made so far is >= 1.
func (r *Retrier) delay(attempts int) time.Duration {
	mean := min(r.options.MaxDelay, r.options.BaseDelay<<(attempts-1))
	return time.Duration(r.random.Int63n(int64(2*mean) + 1))
}
