// Package speedkeeper estimates how long work takes at each upstream now, in relation to
// the usual time: 1 is as usual, 2 twice as long. Upstreams of one group differ in speed,
// and one that shares its machine with others may slow down for a moment.
//
// An upstream states in its responses how long work takes. One gateway gets too few of them
// to know all upstreams, so gateways report what they have observed to the collector, and
// its digests return the sums of all. An estimate is the mean of the observations,
// weighted by their age, and of one that everything is as usual: without observations an
// upstream counts as usual, so that it is tried again after a while. The mean is one of
// speeds, the reciprocals of times, since the work that is done in a span grows with the
// mean speed: a short slow period of a fast upstream must not make it look like a slow one.
package speedkeeper

import (
	"math"
	"time"

	"github.com/currantwood/currantwood"
)

const (
	// memoryTime is the time in which the weight of an observation falls to 1/e. It is
	// long enough that slow periods of less than a second change the mean little, and short
	// enough to follow a lasting change within two seconds.
	memoryTime = 4 * time.Second
	// priorWeight is the weight of the assumption that work takes the usual time, in
	// observations.
	priorWeight = 0.4
	// reportMaxAge is how long the report of another gateway counts at least, and
	// maxReportMaxAge how long at most that of the only one which reports: with many gateways
	// the collector sends its digests of speeds less often.
	reportMaxAge    = 2 * time.Second
	maxReportMaxAge = 20 * time.Second
	// minReportGap is the least time between two reports of the only gateway that reports which
	// says how often it does. One that arrives twice would otherwise end the estimates after
	// reportMaxAge.
	minReportGap = 100 * time.Millisecond
	// sweepInterval is the time between two searches for reports that are too old.
	sweepInterval = 250 * time.Millisecond
	// rebaseTime is how long weights are scaled by the same time. They grow by a factor of
	// 1,800 in it, which leaves enough digits of a float64.
	rebaseTime = 30 * time.Second
	// minReportedWeight is the least weight of a sum that is reported.
	minReportedWeight = 0.05
)

// Sum is a sum of observations, weighted by their age.
type Sum struct {
	// Weight is the sum of the weights, and Speed that of the speeds, which are the
	// reciprocals of the relative times.
	Weight, Speed float64
}

// plus returns the sum of the observations of both.
func (s Sum) plus(other Sum) Sum {
	return Sum{Weight: s.Weight + other.Weight, Speed: s.Speed + other.Speed}
}

// agedBy returns the sum as it is after some time.
func (s Sum) agedBy(age time.Duration) Sum {
	factor := math.Exp(-age.Seconds() / memoryTime.Seconds())
	return Sum{Weight: s.Weight * factor, Speed: s.Speed * factor}
}

// Sums holds a sum for each observed upstream.
type Sums map[currantwood.UpstreamID]Sum

// datedSum is a sum as of a time.
type datedSum struct {
	Sum
	at time.Time
}

// report is what another gateway has reported at a time.
type report struct {
	at   time.Time
	sums Sums
}

// reportedSum is the sum of the reports about one upstream.
type reportedSum struct {
	Sum
	// reports is the number of reports in it. At 0 the sum is dropped, since rounding may
	// leave it different from 0.
	reports int
}

// Keeper holds the observations. It is not safe for concurrent use.
type Keeper struct {
	own     map[currantwood.UpstreamID]datedSum
	reports map[currantwood.VMID]report
	// reported holds the sums of reports, with weights scaled up by the time since base:
	// they needn't be aged then, and a new report changes only what it names.
	reported map[currantwood.UpstreamID]reportedSum
	base     time.Time
	// reportedAt is when the last report came, and sweptAt when old ones were last dropped.
	reportedAt, sweptAt time.Time
	// reportedFor is how long reports count, and reportGap the time between the last two from
	// the only gateway that reports; 0 if there are more.
	reportedFor, reportGap time.Duration
}

// New returns a keeper without observations.
func New() *Keeper {
	return &Keeper{
		own:      make(map[currantwood.UpstreamID]datedSum),
		reports:  make(map[currantwood.VMID]report),
		reported: make(map[currantwood.UpstreamID]reportedSum),
	}
}

// Observe notes that an upstream said in a response how long work takes, relative to the
// usual time. 0 means that the response doesn't say.
func (k *Keeper) Observe(now time.Time, id currantwood.UpstreamID, relativeTime float64) {
	if relativeTime <= 0 {
		return
	}
	known := k.ownSum(now, id)
	k.own[id] = datedSum{Sum: known.plus(Sum{Weight: 1, Speed: 1 / relativeTime}), at: now}
}

func (k *Keeper) ownSum(now time.Time, id currantwood.UpstreamID) Sum {
	known, ok := k.own[id]
	if !ok {
		return Sum{}
	}
	return known.agedBy(now.Sub(known.at))
}

// Learn notes what another gateway has reported, in place of its report before. It takes
// time for the upstreams in both, not for those in the reports of all gateways. sums must
// not be changed afterwards.
func (k *Keeper) Learn(now time.Time, from currantwood.VMID, sums Sums) {
	if now.Sub(k.base) > rebaseTime {
		k.rebase(now)
	}
	k.noteGap(now, from)
	k.drop(from)
	r := report{at: now, sums: sums}
	k.reports[from], k.reportedAt = r, now
	k.add(r)
	if now.Sub(k.sweptAt) < sweepInterval {
		return
	}
	k.sweptAt = now
	for vm, r := range k.reports {
		if now.Sub(r.at) > k.reportedFor {
			k.drop(vm)
		}
	}
}

// noteGap sets how long reports count when one arrives. A single longer gap is a lost report
// or another collector.
func (k *Keeper) noteGap(now time.Time, from currantwood.VMID) {
	gap := time.Duration(0)
	if last, known := k.reports[from]; known && len(k.reports) == 1 {
		gap = now.Sub(last.at)
		if gap < minReportGap {
			return
		}
	}
	k.reportedFor = min(maxReportMaxAge, max(reportMaxAge, 5*(min(gap, k.reportGap)/2)))
	k.reportGap = gap
}

// rebase scales the weights by a new time.
func (k *Keeper) rebase(now time.Time) {
	k.base = now
	clear(k.reported)
	for _, r := range k.reports {
		k.add(r)
	}
}

// add adds a report to the sums.
func (k *Keeper) add(r report) {
	for id, sum := range r.sums {
		known := k.reported[id]
		k.reported[id] = reportedSum{known.plus(sum.agedBy(k.base.Sub(r.at))), known.reports + 1}
	}
}

// drop removes the report of a gateway, if there is one, from the sums.
func (k *Keeper) drop(vm currantwood.VMID) {
	r, known := k.reports[vm]
	if !known {
		return
	}
	delete(k.reports, vm)
	for id, sum := range r.sums {
		rest := k.reported[id]
		if rest.reports <= 1 {
			delete(k.reported, id)
			continue
		}
		scaled := sum.agedBy(k.base.Sub(r.at))
		rest = reportedSum{Sum{Weight: max(0, rest.Weight-scaled.Weight), Speed: max(0, rest.Speed-scaled.Speed)}, rest.reports - 1}
		k.reported[id] = rest
	}
}

// RelativeTime estimates how long work takes at an upstream now.
func (k *Keeper) RelativeTime(now time.Time, id currantwood.UpstreamID) float64 {
	all := k.sum(now, id)
	return (priorWeight + all.Weight) / (priorWeight + all.Speed)
}

// sum returns what this gateway and the others have observed. The collector's digests have
// this gateway's own observations, too, which therefore count twice.
func (k *Keeper) sum(now time.Time, id currantwood.UpstreamID) Sum {
	sum := k.ownSum(now, id)
	if reported, ok := k.reported[id]; ok && now.Sub(k.reportedAt) <= k.reportedFor {
		sum = sum.plus(reported.agedBy(now.Sub(k.base)))
	}
	return sum
}

// Own returns what this gateway has observed itself, to be reported to the collector.
func (k *Keeper) Own(now time.Time) Sums {
	sums := make(Sums)
	for id := range k.own {
		if sum := k.ownSum(now, id); sum.Weight >= minReportedWeight {
			sums[id] = sum
		}
	}
	return sums
}

// All returns what all gateways have observed, for the collector's digests.
func (k *Keeper) All(now time.Time) Sums {
	sums := k.Own(now)
	for id := range k.reported {
		if sum := k.sum(now, id); sum.Weight >= minReportedWeight {
			sums[id] = sum
		}
	}
	return sums
}

// Forget drops the observations of upstreams that are gone.
func (k *Keeper) Forget(known func(id currantwood.UpstreamID) bool) {
	for id := range k.own {
		if !known(id) {
			delete(k.own, id)
		}
	}
}
