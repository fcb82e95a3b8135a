// Package budgeter enforces a retry budget for each group of upstreams, which
// all gateways share.
//
// Gateways don't ask each other before a retry. Each reports its usage, and
// allows a retry while the usage of all gateways stays below the budget, with a
// margin for retries that haven't been reported yet. Without recent reports of
// the others, a gateway is limited to a part of its own share of the budget.
package budgeter

import (
	"time"

	"github.com/currantwood/currantwood"
)

const (
	// bucketCount is the number of buckets that a window is divided into.
	bucketCount = 20
	// guaranteedPart is the part of its own share of the budget that a gateway
	// may always use. The others leave it that much even if they receive no
	// report from it.
	guaranteedPart = 0.2
	// jointPart is the part of the budget that all gateways may use together
	// according to their reports. The rest covers retries that haven't been
	// reported yet.
	jointPart = 0.75
	// failurePart is the part of each of these that retries of failed requests
	// may use. The rest is kept for moved runs.
	failurePart = 0.6
	// othersMaxAge is how long a report of the others' usage is used.
	othersMaxAge = time.Second
	// minGateways is the least number of gateways that a share of the budget is
	// computed for. It applies as long as fewer have reported.
	minGateways = 4
)

// RetryReason says why a request is sent again.
type RetryReason uint8

// Reasons to send a request again.
const (
	// FailedRequest is for retries after a failure.
	FailedRequest RetryReason = iota + 1
	// MovedRun is for sends that continue a run whose engine is leaving.
	MovedRun
)

// Usage is what was sent to a group within the window.
type Usage struct {
	// Requests counts the requests, Retries their sends beyond the first.
	Requests, Retries int
}

// GroupUsage holds the usage of each group.
type GroupUsage map[currantwood.GroupID]Usage

// Options defines the budget that all gateways share.
type Options struct {
	// Window is the sliding window in which usage is counted; 0 means 10 s.
	Window time.Duration
	// Share is the number of retries allowed per request in the window.
	Share currantwood.Share
	// Reserve is the number of retries in the window allowed besides.
	Reserve float64
}

// windowCounter counts usage in a sliding window, as a ring of buckets.
type windowCounter struct {
	buckets [bucketCount]Usage
	// newestBucket is the number of the newest bucket, counted from the clock's
	// zero.
	newestBucket int64
}

// Budgeter counts the usage of a gateway and decides on its retries. It is not
// safe for concurrent use.
type Budgeter struct {
	options Options
	groups  map[currantwood.GroupID]*windowCounter
	// others is the usage of the other gateways as of othersAt.
	others   GroupUsage
	othersAt time.Time
	// reporting is the number of gateways whose reports arrive, this one
	// included; at least 1.
	reporting int
	// maxReporting is the highest value of reporting so far, at least
	// minGateways. Gateways whose reports no longer arrive may still send
	// retries.
	maxReporting int
	// retriesSinceReport counts this gateway's retries in each group since the
	// last report of the others.
	retriesSinceReport map[currantwood.GroupID]int
}

// New returns a budgeter without any usage.
func New(options Options) *Budgeter {
	if options.Window <= 0 {
		options.Window = 10 * time.Second
	}
	return &Budgeter{options: options, groups: make(map[currantwood.GroupID]*windowCounter), maxReporting: minGateways, reporting: 1, retriesSinceReport: make(map[currantwood.GroupID]int)}
}

// Requested counts a request to a group.
func (b *Budgeter) Requested(now time.Time, id currantwood.GroupID) {
	b.bucket(now, id).Requests++
}

// Retried counts a send of a request beyond the first.
func (b *Budgeter) Retried(now time.Time, id currantwood.GroupID) {
	b.bucket(now, id).Retries++
	b.retriesSinceReport[id]++
}

// bucket returns the current bucket of a group.
func (b *Budgeter) bucket(now time.Time, id currantwood.GroupID) *Usage {
	c := b.groups[id]
	if c == nil {
		c = &windowCounter{}
		b.groups[id] = c
	}
	b.advance(now, c)
	return &c.buckets[c.newestBucket%bucketCount]
}

// advance moves the window of a counter to now and clears the buckets that it
// reuses.
func (b *Budgeter) advance(now time.Time, c *windowCounter) {
	current := now.UnixNano() / int64(b.options.Window/bucketCount)
	if current-c.newestBucket >= bucketCount {
		c.buckets = [bucketCount]Usage{}
		c.newestBucket = current
		return
	}
	for c.newestBucket < current {
		c.newestBucket++
		c.buckets[c.newestBucket%bucketCount] = Usage{}
	}
}

// OwnUsage returns this gateway's usage of each group, to be reported to the others.
func (b *Budgeter) OwnUsage(now time.Time) GroupUsage {
	used := make(GroupUsage, len(b.groups))
	for id := range b.groups {
		used[id] = b.used(now, id)
	}
	return used
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
	return sum
}

// SetOthersUsage sets the usage of the other gateways, and the number of gateways
// whose reports arrive, this one included.
func (b *Budgeter) SetOthersUsage(now time.Time, others GroupUsage, reporting int) {
	b.others, b.othersAt, b.reporting = others, now, max(1, reporting)
	b.maxReporting = max(b.maxReporting, reporting)
	clear(b.retriesSinceReport)
}

// Allows reports whether a request may be sent again.
func (b *Budgeter) Allows(now time.Time, id currantwood.GroupID, urgency RetryReason) bool {
	part := 1.0
	if urgency == FailedRequest {
		part = failurePart
	}
	own := b.used(now, id)
	share := 1 / float64(b.maxReporting)
	if float64(own.Retries+1) <= part*guaranteedPart*b.budget(own.Requests, share) {
		return true
	}
	if b.othersAt.IsZero() || now.Sub(b.othersAt) > othersMaxAge {
		return false
	}
	return b.fitsJointBudget(own, id, part)
}

// fitsJointBudget reports whether one more retry fits the budget of all gateways
// together. What is left of it is divided equally among the gateways until the
// next report. The part of the reserve that belongs to gateways whose reports
// don't arrive is left to them.
func (b *Budgeter) fitsJointBudget(own Usage, id currantwood.GroupID, part float64) bool {
	all := b.others[id]
	all.Requests += own.Requests
	all.Retries += own.Retries
	since := b.retriesSinceReport[id]
	left := part*jointPart*b.budget(all.Requests, float64(b.reporting)/float64(b.maxReporting)) - float64(all.Retries-since)
	return float64(since+1) <= left/float64(b.reporting)
}

// budget returns the number of retries that requests and a share of the reserve
// allow.
func (b *Budgeter) budget(requests int, share float64) float64 {
	return float64(b.options.Share)*float64(requests) + share*b.options.Reserve
}
