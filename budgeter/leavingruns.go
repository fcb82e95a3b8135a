package budgeter

import (
	"time"

	"github.com/currantwood/currantwood"
)

// leavingRuns counts the runs of all gateways at the upstreams of a group that leave.
type leavingRuns struct {
	// now is the number at the last report.
	now int
	// rises are the increases of which other gateways may have used the budget since, without
	// others having heard of it.
	rises []rise
}

// rise is an increase of the number of runs.
type rise struct {
	at time.Time
	by int
}

// SetLeaving notes the number of runs of all gateways at the upstreams of a group that
// leave, as far as it is known.
func (b *Budgeter) SetLeaving(now time.Time, id currantwood.GroupID, runs int) {
	l := b.leaving[id]
	if l == nil {
		if runs == 0 {
			return
		}
		l = &leavingRuns{}
		b.leaving[id] = l
	}
	if by := runs - l.now; by > 0 {
		l.rises = append(l.rises, rise{now, by})
	}
	l.now = runs
	l.expire(now)
}

// expire drops the increases that are long ago.
func (l *leavingRuns) expire(now time.Time) {
	for len(l.rises) > 0 && now.Sub(l.rises[0].at) > settleTime+maxMoveWait+reportDelay {
		l.rises = l.rises[1:]
	}
}

// total returns how many runs may have been moved since others have last heard of moves, or
// may still be, and false as long as other gateways may not know of them all.
func (l *leavingRuns) total(now time.Time) (runs int, settled bool) {
	if l == nil {
		return 0, false
	}
	l.expire(now)
	if len(l.rises) == 0 || now.Sub(l.rises[len(l.rises)-1].at) < settleTime {
		return 0, false
	}
	for _, r := range l.rises {
		runs += r.by
	}
	return max(runs, l.now), true
}
