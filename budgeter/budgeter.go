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
// What is left of the joint budget, by the retries of which all have heard, is divided among
// the gateways that may retry before they hear of each other. Retries of the last moment are
// counted by time, not by reports: a report that has just arrived says nothing of them.
//
// A process that has just started doesn't know what former processes have spent
// within the window. Until the window has passed it has no part of the reserve, nor
// do the others count one for it.
package budgeter

import (
	"cmp"
	"time"

	"github.com/currantwood/currantwood"
)

const (
	// bucketCount is the number of buckets that a window is divided into. Retries count for
	// one bucket longer: the newest one has only begun, so that those in the oldest may be
	// in the window still.
	bucketCount = 20
	ringSize    = bucketCount + 1
	// guaranteedPart is the part of its own budget that a gateway may use
	// whatever its peers report. They leave it that much even if they receive no
	// report from it.
	guaranteedPart = 0.2
	// jointPart is the part of what requests add to the budget that the retries of all
	// gateways together may use up. The rest covers the guaranteed parts, and requests
	// that leave the window before the retries that they allowed.
	jointPart = 0.75
	// reserveMargin is the part of the reserve that stays unused beside what the other
	// gateways are guaranteed, for reports that are later than reportDelay.
	reserveMargin = 0.04
	// failurePart is the part of guaranteedPart and of jointPart that retries of
	// failed requests may use. The rest is kept for moved runs.
	failurePart = 0.6
	// peerUsageMaxAge is how long reported usage of the peers is used.
	peerUsageMaxAge = time.Second
	// reportDelay is the time from a retry until other gateways hear of it by the collector,
	// and burstFactor by how much more than on the average all may serve in that time.
	reportDelay = 450 * time.Millisecond
	burstFactor = 2
	// movedShare is the share of the requests in the window whose runs may have to be moved
	// at once: runs last up to 20 s, and a zone may be lost. With a smaller share, gateways
	// that move all runs at once together exceed the budget.
	movedShare = 1.0 / 2
	// settleTime is the time until all gateways know of a run that it is to be moved: notices
	// of upstreams and sums of loads are up to 125 ms old each.
	settleTime = 250 * time.Millisecond
	// maxMoveWait is how long a run waits for the budget, beginning some time after the
	// notice of its upstream.
	maxMoveWait = time.Second
	// minGateways is the number of gateways of the smallest fleet whose settings don't name
	// all others: they name three seeds at most. It is also the least number of contenders.
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
	// RelocatedRun is for retries that continue a run on another engine although its own
	// stays, as it is outside the regions that are allowed now.
	RelocatedRun
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
	// MinGateways is the least number of gateways that there are, this one included. Below
	// minGateways it is all of them; from there on there may be more, and the reserve is used
	// only once as many were heard. 0 means that there are minGateways, and no more unless
	// others were heard.
	MinGateways int
	// NamedGateways is the number of gateways that the settings name, this one included. A
	// gateway that has heard fewer may be in one of several groups that never heard of each
	// other. 0 means MinGateways.
	NamedGateways int
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
	// maxReportingGateways is the highest value of peers.Gateways so far, at least
	// Options.MinGateways. It doesn't fall, as gateways whose reports no longer arrive may
	// still send retries.
	maxReportingGateways int
	// countKnown is whether maxReportingGateways is a count and not an assumption: as many
	// gateways were heard as the settings name, or these name all of them.
	countKnown bool
	// recent holds the times of this gateway's retries of which others may not have heard.
	recent map[currantwood.GroupID][]time.Time
	// leaving is what is known of the runs at upstreams that leave.
	leaving map[currantwood.GroupID]*leavingRuns
}

// New returns a budgeter without any usage, for a process that starts now.
func New(options Options, now time.Time) *Budgeter {
	if options.Window <= 0 {
		options.Window = 10 * time.Second
	}
	return &Budgeter{
		options:              options,
		startedAt:            now,
		groups:               make(map[currantwood.GroupID]*windowCounter),
		maxReportingGateways: cmp.Or(options.MinGateways, minGateways),
		countKnown:           options.MinGateways < minGateways,
		peers:                Peers{Gateways: 1},
		recent:               make(map[currantwood.GroupID][]time.Time),
		leaving:              make(map[currantwood.GroupID]*leavingRuns),
	}
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
	b.recent[id] = append(b.unheard(now, id), now)
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

// SetPeers sets what is known of the other gateways.
func (b *Budgeter) SetPeers(now time.Time, peers Peers) {
	peers.Gateways = max(1, peers.Gateways)
	peers.Established = min(peers.Established, peers.Gateways)
	b.peers, b.peersAt = peers, now
	b.maxReportingGateways = max(b.maxReportingGateways, peers.Gateways)
	b.countKnown = b.countKnown || peers.Gateways >= cmp.Or(b.options.NamedGateways, b.options.MinGateways, minGateways)
}

// SetNamedGateways replaces Options.MinGateways and Options.NamedGateways, as the settings have
// changed. That there are fewer gateways than were heard or assumed isn't believed.
func (b *Budgeter) SetNamedGateways(least, named int) {
	b.options.MinGateways, b.options.NamedGateways = least, named
	if least > b.maxReportingGateways {
		b.maxReportingGateways, b.countKnown = least, least < minGateways
	}
}

// Peers returns what SetPeers set last.
func (b *Budgeter) Peers() Peers { return b.peers }

// PeersAge returns how long ago SetPeers was called last; the longest Duration if it
// never was.
func (b *Budgeter) PeersAge(now time.Time) time.Duration { return now.Sub(b.peersAt) }

// Allows reports whether a request may be retried.
func (b *Budgeter) Allows(now time.Time, id currantwood.GroupID, reason RetryReason) bool {
	own := b.used(now, id)
	guaranteed := guaranteedPart * b.budget(own.Requests, 0)
	if b.Established(now) {
		guaranteed += b.guaranteedReserve()
	}
	if float64(own.Retries+1) <= partOf(reason)*guaranteed {
		return true
	}
	if b.peersAt.IsZero() || now.Sub(b.peersAt) > peerUsageMaxAge {
		return false
	}
	return b.fitsJointBudget(now, own, id, reason)
}

// unheard returns the times of this gateway's retries of which others may not have heard.
func (b *Budgeter) unheard(now time.Time, id currantwood.GroupID) []time.Time {
	recent := b.recent[id]
	for len(recent) > 0 && now.Sub(recent[0]) >= reportDelay {
		recent = recent[1:]
	}
	b.recent[id] = recent
	return recent
}

// fitsJointBudget reports whether one more retry fits the budget of all
// gateways together. What is left of it, by the retries that all have heard of, is divided
// equally among the gateways that may retry before they hear of each other; each may use
// its part. So the parts together never exceed what is left, however the gateways' reports
// interleave. The part of the reserve that belongs to gateways whose
// reports don't arrive is left to them, and that of those that aren't established
// to their former processes.
func (b *Budgeter) fitsJointBudget(now time.Time, own Usage, id currantwood.GroupID, reason RetryReason) bool {
	part := partOf(reason)
	all := b.peers.Usage[id]
	all.Requests += own.Requests
	all.Retries += own.Retries
	recent := len(b.unheard(now, id))
	// Other gateways haven't heard of the recent ones either, and divide the same amount.
	left := part*b.jointBudget(all.Requests) - float64(all.Retries-recent)
	// While reports are late, the others may have used their parts again.
	late := 1 + now.Sub(b.peersAt).Seconds()/reportDelay.Seconds()
	return float64(recent+1)*late*b.contenders(now, id, all.Requests, reason) <= left
}

// guaranteedReserve returns the part of the reserve that each gateway may use whatever its
// peers report; 0 if that is less than one retry, since no gateway could use it.
// Without a known number of gateways it is 0, too: 68 with a part of one in 4 each would
// exceed the reserve together.
func (b *Budgeter) guaranteedReserve() float64 {
	if !b.countKnown {
		return 0
	}
	part := guaranteedPart * b.options.Reserve / float64(b.maxReportingGateways)
	if part < 1 {
		return 0
	}
	return part
}

// jointBudget returns the retries that all gateways together may use, besides the parts that
// are guaranteed to those that aren't heard of.
func (b *Budgeter) jointBudget(requests int) float64 {
	gateways := float64(b.maxReportingGateways)
	reservePart := 0.0
	if b.countKnown {
		reservePart = float64(b.peers.Established)/gateways - reserveMargin
	}
	return jointPart*b.budget(requests, 0) + max(0, b.budget(0, reservePart)-(gateways-1)*b.guaranteedReserve())
}

// partOf returns the part of the budget that is open to a kind of retry.
func partOf(reason RetryReason) float64 {
	if reason == FailedRequest {
		return failurePart
	}
	return 1
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
