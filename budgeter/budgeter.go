// Package budgeter enforces, for each group of upstreams, one retry budget for
// all gateways together.
//
// Gateways don't ask each other before a retry. Each reports its requests and
// retries to its peers, the other gateways, and allows a retry while the
// retries of all stay below the joint budget, with a margin for retries that
// haven't been reported yet. It always allows a guaranteed part of its own
// budget, and only that part if it has no recent reports of its peers. A
// gateway's own budget is that of its own requests plus an equal part of the
// reserve.
//
// A process that has just started doesn't know what former processes have spent
// within the window. Until the window has passed it has no part of the reserve, nor
// do the others count one for it.
package budgeter

import (
	"time"

	"github.com/currantwood/currantwood"
)

const (
	// bucketCount is the number of buckets that a window is divided into.
	bucketCount = 20
	// guaranteedPart is the part of its own budget that a gateway may use
	// whatever its peers report. They leave it that much even if they receive no
	// report from it.
	guaranteedPart = 0.2
	// jointPart is the part of the budget that the reported retries of all
	// gateways together may use up. The rest covers the guaranteed parts and other
	// retries that haven't been reported yet.
	jointPart = 0.75
	// failurePart is the part of guaranteedPart and of jointPart that retries of
	// failed requests may use. The rest is kept for moved runs.
	failurePart = 0.6
	// peerUsageMaxAge is how long reported usage of the peers is used.
	peerUsageMaxAge = time.Second
	// reportDelay is the time from a retry until other gateways hear of it by the collector,
	// and burstFactor by how much more than on the average all may serve in that time.
	reportDelay = 400 * time.Millisecond
	burstFactor = 2
	// minGateways is the number of gateways assumed until more have reported.
	minGateways = 4
)

// RetryReason says why a request is retried.
type RetryReason uint8

// Reasons to retry a request.
const (
	// FailedRequest is for retries after a failure.
	FailedRequest RetryReason = iota + 1
	// MovedRun is for retries that continue a run on another engine because its
	// own shuts down.
	MovedRun
)

// Usage is what was sent to a group within the window.
type Usage struct {
	// Requests counts the requests, Retries their sends beyond the first. Moving
	// a run to another engine counts as a retry.
	Requests, Retries int
}

// GroupUsage holds the usage of each group.
type GroupUsage map[currantwood.GroupID]Usage

// Options defines the budget that all gateways share.
type Options struct {
	// Window is the sliding window in which usage is counted; 0 means 10 s.
	Window time.Duration
	// RetryShare is the number of retries allowed per request in the window.
	RetryShare currantwood.Share
	// Reserve is the number of retries allowed in the window in addition, however
	// few the requests.
	Reserve float64
	// FirstStart is whether there were no former processes.
	FirstStart bool
}

// Peers is what is known of the other gateways.
type Peers struct {
	// Usage is the sum of what they have used.
	Usage GroupUsage
	// Gateways is the number of gateways whose reports arrive, this one included.
	Gateways int
	// Established is how many of these know all that their VMs have spent within the
	// window.
	Established int
}

// windowCounter counts usage in a sliding window, as a ring of buckets.
type windowCounter struct {
	buckets [bucketCount]Usage
	// newestBucket is the number of the newest bucket, counted from the zero of
	// the clock that the times are read from.
	newestBucket int64
}

// Budgeter counts the usage of a gateway and decides on its retries. It is not
// safe for concurrent use.
type Budgeter struct {
	options Options
	// startedAt is when this process started.
	startedAt time.Time
	groups    map[currantwood.GroupID]*windowCounter
	// peers is what was known of the other gateways at peersAt; its Gateways is at
	// least 1.
	peers   Peers
	peersAt time.Time
	// maxReportingGateways is the highest value of peers.Gateways so far, at
	// least minGateways. Gateways whose reports no longer arrive may still send
	// retries.
	maxReportingGateways int
	// retriesSinceReport counts this gateway's retries in each group since the
	// peers' usage was last set.
	retriesSinceReport map[currantwood.GroupID]int
}

// New returns a budgeter without any usage, for a process that starts now.
func New(options Options, now time.Time) *Budgeter {
	if options.Window <= 0 {
		options.Window = 10 * time.Second
	}
	return &Budgeter{options: options, startedAt: now, groups: make(map[currantwood.GroupID]*windowCounter), maxReportingGateways: minGateways, peers: Peers{Gateways: 1}, retriesSinceReport: make(map[currantwood.GroupID]int)}
}

// Established reports whether this process knows all that its VM has spent within
// the window.
func (b *Budgeter) Established(now time.Time) bool {
	return b.options.FirstStart || now.Sub(b.startedAt) > b.options.Window
}

// Requested counts a request to a group.
func (b *Budgeter) Requested(now time.Time, id currantwood.GroupID) {
	b.bucket(now, id).Requests++
}

// Retried counts a retry.
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

// OwnUsage returns this gateway's usage of each group, to be reported to its
// peers.
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

// SetPeers sets what is known of the other gateways.
func (b *Budgeter) SetPeers(now time.Time, peers Peers) {
	peers.Gateways = max(1, peers.Gateways)
	b.peers, b.peersAt = peers, now
	b.maxReportingGateways = max(b.maxReportingGateways, peers.Gateways)
	clear(b.retriesSinceReport)
}

// Peers returns what SetPeers set last.
func (b *Budgeter) Peers() Peers { return b.peers }

// PeersAge returns how long ago SetPeers was called last; the longest Duration if it
// never was.
func (b *Budgeter) PeersAge(now time.Time) time.Duration { return now.Sub(b.peersAt) }

// Allows reports whether a request may be retried.
func (b *Budgeter) Allows(now time.Time, id currantwood.GroupID, reason RetryReason) bool {
	part := 1.0
	if reason == FailedRequest {
		part = failurePart
	}
	own := b.used(now, id)
	reservePart := 0.0
	if b.Established(now) {
		reservePart = 1 / float64(b.maxReportingGateways)
	}
	if float64(own.Retries+1) <= part*guaranteedPart*b.budget(own.Requests, reservePart) {
		return true
	}
	if b.peersAt.IsZero() || now.Sub(b.peersAt) > peerUsageMaxAge {
		return false
	}
	return b.fitsJointBudget(now, own, id, part)
}

// fitsJointBudget reports whether one more retry fits the budget of all
// gateways together. What is left of it, before this gateway's retries since
// the last call of SetPeers are subtracted, is divided equally among the
// gateways that may retry until the next call; each may use its part.
// part is the part of the joint budget that is open to this kind of retry:
// failurePart or 1. The part of the reserve that belongs to gateways whose
// reports don't arrive is left to them, and that of those that aren't established
// to their former processes.
func (b *Budgeter) fitsJointBudget(now time.Time, own Usage, id currantwood.GroupID, part float64) bool {
	all := b.peers.Usage[id]
	all.Requests += own.Requests
	all.Retries += own.Retries
	newRetries := b.retriesSinceReport[id]
	left := part*jointPart*b.budget(all.Requests, float64(b.peers.Established)/float64(b.maxReportingGateways)) - float64(all.Retries-newRetries)
	return float64(newRetries+1)*b.contenders(now, all.Requests) <= left
}

// contenders returns how many gateways may retry before this one hears of it. Only those
// that serve a request meanwhile can: of many gateways, each of which serves few, that are
// fewer than all.
func (b *Budgeter) contenders(now time.Time, requests int) float64 {
	unheard := reportDelay + now.Sub(b.peersAt)
	served := float64(requests) * unheard.Seconds() / b.options.Window.Seconds()
	return min(float64(b.peers.Gateways), minGateways+burstFactor*served)
}

// budget returns the number of retries that requests and a part of the reserve
// allow.
func (b *Budgeter) budget(requests int, reservePart float64) float64 {
	return b.options.Budget(requests, reservePart)
}

// Budget returns the number of retries within the window that requests and a part of the
// reserve allow to all gateways together.
func (o Options) Budget(requests int, reservePart float64) float64 {
	return float64(o.RetryShare)*float64(requests) + reservePart*o.Reserve
}
