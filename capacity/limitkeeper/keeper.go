// Package limitkeeper estimates the concurrency limit of each upstream: the number of
// concurrent requests beyond which the time per request grows faster than throughput.
//
// Each response states how many requests run at its upstream and how long work takes there.
// Observations are summed by level of concurrency, weighted by age. Gateways report their
// sums to the collector, whose digests return the limits that are below the slots.
//
// A limit needs evidence at several levels: throughput must stop rising, and the time must
// go on growing among the levels above. A slow period of the machine fails that test, since
// work takes equally long at all levels during it. Without evidence the limit is the slots.
package limitkeeper

import (
	"math"
	"time"

	"github.com/currantwood/currantwood"
)

const (
	// Levels is the number of levels of concurrency. Each is wider by a factor of the square
	// root of 2 than the one below; level 0 ends at all slots.
	Levels = 8
	// memoryTime is the time in which the weight of an observation falls to 1/e. With 1 s,
	// three levels seldom have enough observations together at 20 responses a second.
	memoryTime = 1500 * time.Millisecond
	// reportMaxAge is how long the sums and limits of other gateways count at least.
	reportMaxAge = 2 * time.Second
	// maxReportMaxAge bounds how long limits count that are sent less often.
	maxReportMaxAge = 20 * time.Second
	// minLimitsGap is the least time between two digests with limits that says how often these
	// are sent. Digests that arrive twice would otherwise end the limits after reportMaxAge.
	minLimitsGap = 100 * time.Millisecond
	// sweepInterval is the time between two searches for what is too old.
	sweepInterval = 250 * time.Millisecond
	// rebaseTime is how long reported weights are scaled by the same time. They grow by a
	// factor of 22,000 in it, which leaves enough digits of a float64.
	rebaseTime = 15 * time.Second
	// evaluationInterval is the time between two evaluations of an upstream.
	evaluationInterval = 100 * time.Millisecond
	// minKeptWeight is the least weight of an upstream's own sums that is kept.
	minKeptWeight = 0.01
	// minReportedWeight is the least weight of an upstream's sums that is reported.
	minReportedWeight = 0.25
	// busyLevels is the number of levels above a quarter of the slots. Upstreams below aren't
	// reported, which saves nearly all bytes in quiet times.
	busyLevels = 4
	// risePerSecond is the share of the slots by which a limit rises in a second without
	// evidence for it.
	risePerSecond = 0.15
)

// Limits holds the limits that are below the slots, as shares of these.
type Limits map[currantwood.UpstreamID]float64

// Keeper holds the observations and the limits that follow from them. It is not safe for
// concurrent use.
type Keeper struct {
	own     map[currantwood.UpstreamID]*datedSum
	reports map[currantwood.VMID]report
	// reported holds the sums of reports, with weights scaled up by the time since base, so
	// that a new report changes only what it names.
	reported      map[currantwood.UpstreamID]*reportedSum
	base, sweptAt time.Time
	estimates     map[currantwood.UpstreamID]*estimate
	// learned are the collector's limits as of learnedAt, which count for learnedFor.
	learned    Limits
	learnedAt  time.Time
	learnedFor time.Duration
	// learnedGap is the time between the last two digests with limits.
	learnedGap time.Duration
}

// New returns a keeper without observations.
func New() *Keeper {
	return &Keeper{
		own:       make(map[currantwood.UpstreamID]*datedSum),
		reports:   make(map[currantwood.VMID]report),
		reported:  make(map[currantwood.UpstreamID]*reportedSum),
		estimates: make(map[currantwood.UpstreamID]*estimate),
	}
}

// Observe notes that a response said how many requests run at its upstream and how long
// work takes there, relative to the usual time. Figures that aren't positive or aren't
// finite mean that it doesn't say.
func (k *Keeper) Observe(now time.Time, id currantwood.UpstreamID, running, slots int, relativeTime float64) {
	if running <= 0 || slots <= 0 || !(relativeTime > 0) || math.IsInf(relativeTime, 1) {
		return
	}
	share := min(1, float64(running)/float64(slots))
	level := min(Levels-1, int(-2*math.Log2(share)))
	known := k.own[id]
	if known == nil {
		known = &datedSum{at: now}
		k.own[id] = known
	}
	factor := decay(max(0, now.Sub(known.at)))
	aged := Sum{}
	aged.add(&known.sum, factor)
	aged[level].Weight += relativeTime
	aged[level].Running += share * relativeTime
	aged[level].Speed++
	known.sum, known.at = aged, now
	k.evaluate(now, id)
}

// LearnLimits notes the limits that the collector has estimated, in place of those before.
// They count for two seconds, or longer if the collector sends them less often.
func (k *Keeper) LearnLimits(now time.Time, limits Limits) {
	if gap := now.Sub(k.learnedAt); gap >= minLimitsGap {
		// A single longer gap is a lost digest or another collector.
		k.learnedFor = min(maxReportMaxAge, max(reportMaxAge, 5*(min(gap, k.learnedGap)/2)))
		k.learnedGap = gap
	}
	k.learned, k.learnedAt = limits, now
}

// Limit returns how many concurrent requests an upstream handles well: from 1 to slots.
func (k *Keeper) Limit(now time.Time, id currantwood.UpstreamID, slots int) int {
	if len(k.learned) == 0 && len(k.estimates) == 0 {
		return max(1, slots)
	}
	share := k.share(now, id)
	if share >= 1 {
		return max(1, slots)
	}
	return min(max(1, slots), max(1, int(math.Ceil(share*float64(slots)))))
}

// share returns the limit as a share of the slots. The collector's counts as long as it is
// recent, also where it has none, since it is based on more observations.
func (k *Keeper) share(now time.Time, id currantwood.UpstreamID) float64 {
	if k.hasLearned(now) {
		if share, ok := k.learned[id]; ok {
			return share
		}
		return 1
	}
	if e := k.estimates[id]; e != nil {
		return e.at(now)
	}
	return 1
}

// hasLearned reports whether the collector's limits count.
func (k *Keeper) hasLearned(now time.Time) bool {
	return k.learned != nil && now.Sub(k.learnedAt) <= k.learnedFor
}

// Limited returns the number of upstreams whose limit is below their slots.
func (k *Keeper) Limited(now time.Time) int {
	if k.hasLearned(now) {
		return len(k.learned)
	}
	return len(k.All(now))
}

// Own returns what this gateway has observed itself, to be reported to the collector, of
// upstreams with more than a quarter of their slots in use. It also drops what is too old, as
// a gateway that is no longer the collector learns no more reports.
func (k *Keeper) Own(now time.Time) Sums {
	k.sweep(now)
	sums := make(Sums)
	for id, known := range k.own {
		aged := Sum{}
		aged.add(&known.sum, decay(max(0, now.Sub(known.at))))
		if aged.Weight() < minKeptWeight {
			delete(k.own, id)
		} else if aged.isBusy() && aged.Weight() >= minReportedWeight {
			sums[id] = aged
		}
	}
	return sums
}

// All returns the limits that are below the slots by the observations of all gateways, for
// the collector's digests.
func (k *Keeper) All(now time.Time) Limits {
	limits := make(Limits)
	for id, e := range k.estimates {
		if share := e.at(now); share < 1 {
			limits[id] = share
		}
	}
	return limits
}

// Forget drops the observations of upstreams that are gone.
func (k *Keeper) Forget(known func(id currantwood.UpstreamID) bool) {
	for id := range k.own {
		if !known(id) {
			delete(k.own, id)
		}
	}
	for id := range k.estimates {
		if !known(id) {
			delete(k.estimates, id)
		}
	}
}
