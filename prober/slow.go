package prober

import (
	"time"

	"github.com/currantwood/currantwood"
)

// slowFactor is how many times the usual time a slow upstream may take.
const slowFactor = 4

// SetSlow sets whether an upstream may be slow without being faulty, as while it is cold.
// It then has slowFactor times the usual time to make progress, so that one that hangs is
// still ejected. Once it is no longer slow, it has the usual time from the next call of
// EjectStalled on.
func (p *Prober) SetSlow(id currantwood.UpstreamID, slow bool) {
	if u := p.upstreams[id]; u != nil {
		u.slow = slow
	}
}

// endSlownessIfOver lets the stall timeout of an upstream that is no longer slow begin anew:
// what it has been sent may have made no progress because it was slow.
func (u *upstream) endSlownessIfOver(now time.Time) {
	if earliest := now.Add(u.stallTimeout); u.wasSlow && !u.slow && u.progressDue.Before(earliest) {
		u.progressDue = earliest
	}
	u.wasSlow = u.slow
}

// overdue reports whether the upstream should have made progress by now.
func (u *upstream) overdue(now time.Time) bool {
	due := u.progressDue
	if u.slow {
		due = due.Add((slowFactor - 1) * u.stallTimeout)
	}
	return u.inFlight > u.unread && now.After(due)
}
