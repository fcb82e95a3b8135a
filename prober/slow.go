package prober

import (
	"time"

	"github.com/currantwood/currantwood"
)

// SetSlow sets whether an upstream may be slow without being faulty, as while it is cold.
// It then has slowFactor times the usual time to make progress, so that one that hangs is
// still ejected.
func (p *Prober) SetSlow(id currantwood.UpstreamID, slow bool) {
	if u := p.upstreams[id]; u != nil {
		u.slow = slow
	}
}

// slowFactor is by how much longer a slow upstream may take.
const slowFactor = 4

// overdue reports whether the upstream should have made progress by now.
func (u *upstream) overdue(now time.Time) bool {
	due := u.progressDue
	if u.slow {
		due = due.Add((slowFactor - 1) * u.stallTimeout)
	}
	return u.inFlight > 0 && now.After(due)
}
