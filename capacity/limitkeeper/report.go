package limitkeeper

import (
	"time"

	"github.com/currantwood/currantwood"
)

// report is what another gateway has reported at a time.
type report struct {
	at   time.Time
	sums Sums
}

// reportedSum is the sum of the reports about one upstream. It is dropped with the last of
// them, since rounding may leave it different from 0.
type reportedSum struct {
	sum     Sum
	reports int
}

// Learn notes the sums that another gateway has reported, in place of its report before.
// sums must not be changed afterwards.
func (k *Keeper) Learn(now time.Time, from currantwood.VMID, sums Sums) {
	if k.sweptAt.Sub(now) > reportMaxAge {
		// The clock went back. The weights of reports from later would grow out of range.
		clear(k.reports)
		k.base, k.sweptAt = time.Time{}, now
	}
	if now.Sub(k.base) > rebaseTime {
		k.base = now
		clear(k.reported)
		for _, r := range k.reports {
			k.addReport(r)
		}
	}
	k.drop(from)
	r := report{at: now, sums: sums}
	k.reports[from] = r
	k.addReport(r)
	k.sweep(now)
	for id := range sums {
		k.evaluate(now, id)
	}
}

// sweep drops the reports that are too old, and estimates at the slots that get no more
// observations, if a search for them is due.
func (k *Keeper) sweep(now time.Time) {
	if now.Sub(k.sweptAt) < sweepInterval {
		return
	}
	k.sweptAt = now
	for vm, r := range k.reports {
		if now.Sub(r.at) > reportMaxAge {
			k.drop(vm)
		}
	}
	for id, e := range k.estimates {
		if e.at(now) >= 1 && now.Sub(e.evaluatedAt) > reportMaxAge {
			delete(k.estimates, id)
		}
	}
}

// addReport adds the sums of a report to those of all reports.
func (k *Keeper) addReport(r report) {
	factor := decay(k.base.Sub(r.at))
	for id, sum := range r.sums {
		known := k.reported[id]
		if known == nil {
			known = &reportedSum{}
			k.reported[id] = known
		}
		known.sum.add(&sum, factor)
		known.reports++
	}
}

// drop removes the report of a gateway, if there is one, from the sums.
func (k *Keeper) drop(vm currantwood.VMID) {
	r, known := k.reports[vm]
	if !known {
		return
	}
	delete(k.reports, vm)
	factor := decay(k.base.Sub(r.at))
	for id, sum := range r.sums {
		rest := k.reported[id]
		if rest == nil {
			continue
		}
		if rest.reports <= 1 {
			delete(k.reported, id)
			continue
		}
		rest.sum.add(&sum, -factor)
		rest.reports--
	}
}
