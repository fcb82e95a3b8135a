package limitkeeper

import (
	"math"
	"time"

	"github.com/currantwood/currantwood"
)

const (
	// minLevelWeight is the least weight of a level that counts as evidence.
	minLevelWeight = 3
	// minElasticity is by how much the time must grow with concurrency among the levels above
	// the limit, in logarithms. From 0.5 on it grows faster than throughput.
	minElasticity = 0.6
	// minSpan is the least factor between the lowest and the highest level above the limit.
	minSpan = 1.35
	// minAboveShare is the least share of the observations that must be above the limit. Slow
	// periods of machines take 15% of the time.
	minAboveShare = 0.25
	// aboveMargin is the factor above the limit from which on a level counts as above it.
	aboveMargin = 1.1
	// minPresence is the least time, weighted by age, for which most new observations must be
	// above the limit. It takes 2.1 s without a break, or 65% of the time in the long run. A
	// slow period of 600 ms raises the concurrency with the time where requests keep arriving,
	// and must not count as evidence.
	minPresence = 1300 * time.Millisecond
	// presenceMemory is the time in which the weight of that time falls to 1/e.
	presenceMemory = 2 * time.Second
	// maxPresenceStep bounds what one evaluation adds to that time.
	maxPresenceStep = 300 * time.Millisecond
	// minNewWeight is the least weight of the observations since the last evaluation.
	minNewWeight = 0.5
)

// estimate is the limit of an upstream, as a share of its slots.
type estimate struct {
	share float64
	setAt time.Time
	// last are the observations as of the last evaluation.
	last        Sum
	evaluatedAt time.Time
	// presence is the time for which most new observations were above the limit, weighted by
	// age.
	presence time.Duration
}

// at returns the limit at a time. It rises as long as nothing lowers it.
func (e *estimate) at(now time.Time) float64 {
	return min(1, e.share+risePerSecond*max(0, now.Sub(e.setAt).Seconds()))
}

// evaluate estimates the limit of an upstream anew, if that is due.
func (k *Keeper) evaluate(now time.Time, id currantwood.UpstreamID) {
	e := k.estimates[id]
	if e != nil && now.Sub(e.evaluatedAt) < evaluationInterval {
		return
	}
	sum := k.sum(now, id)
	share, found := sum.knee()
	if e == nil {
		if !found {
			return
		}
		e = &estimate{share: 1, setAt: now, evaluatedAt: now, last: sum}
		k.estimates[id] = e
		return
	}
	elapsed := now.Sub(e.evaluatedAt)
	e.presence = time.Duration(float64(e.presence) * math.Exp(-elapsed.Seconds()/presenceMemory.Seconds()))
	if found && sum.mostNewAbove(&e.last, decay(elapsed), aboveMargin*share) {
		e.presence += min(elapsed, maxPresenceStep)
	}
	e.evaluatedAt, e.last = now, sum
	if found && e.presence >= minPresence && share < e.at(now) {
		e.share, e.setAt = share, now
	}
}

// mostNewAbove reports whether there are new observations since those of before, which have
// aged by a factor, and most of them are at levels above a concurrency.
func (s *Sum) mostNewAbove(before *Sum, factor, running float64) bool {
	above, all := 0.0, 0.0
	for i := range s {
		added := max(0, s[i].Weight-factor*before[i].Weight)
		all += added
		if s[i].Running >= running*s[i].Weight {
			above += added
		}
	}
	return all >= minNewWeight && above > all/2
}

// sum returns what this gateway and those that reported to it have observed.
func (k *Keeper) sum(now time.Time, id currantwood.UpstreamID) Sum {
	var sum Sum
	if known := k.own[id]; known != nil {
		sum.add(&known.sum, decay(max(0, now.Sub(known.at))))
	}
	if reported := k.reported[id]; reported != nil {
		sum.add(&reported.sum, decay(now.Sub(k.base)))
	}
	return sum
}

// point is the mean of the observations at a level.
type point struct{ weight, running, speed float64 }

// knee returns the concurrency, as a share of the slots, at which the highest throughput
// would be reached at the highest speed. found is false unless at least two levels above it
// show that the time grows with concurrency.
func (s *Sum) knee() (share float64, found bool) {
	var points [Levels]point
	count, total := 0, 0.0
	for i := Levels - 1; i >= 0; i-- {
		l := s[i]
		total += max(0, l.Weight)
		if l.Weight >= minLevelWeight && l.Speed > 0 && l.Running > 0 {
			points[count] = point{l.Weight, l.Running / l.Weight, l.Speed / l.Weight}
			count++
		}
	}
	if count < 3 {
		return 1, false
	}
	throughput, speed := 0.0, 0.0
	for _, p := range points[:count] {
		throughput, speed = max(throughput, p.running*p.speed), max(speed, p.speed)
	}
	share = throughput / speed
	first := 0
	above := 0.0
	for first < count && points[first].running < aboveMargin*share {
		first++
	}
	for _, p := range points[first:count] {
		above += p.weight
	}
	if count-first < 2 || above < minAboveShare*total {
		return 1, false
	}
	low, top := points[first], points[count-1]
	if top.running < minSpan*low.running {
		return 1, false
	}
	elasticity := math.Log(low.speed/top.speed) / math.Log(top.running/low.running)
	if elasticity < minElasticity {
		return 1, false
	}
	return share, share < 1
}
