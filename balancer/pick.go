package balancer

import (
	"slices"
	"time"

	"github.com/currantwood/currantwood/noticekeeper"
)

const (
	// minSample and maxSample bound the number of upstreams that one choice
	// compares.
	minSample = 5
	maxSample = 48
)

// Pick chooses the upstream with the lowest score from a random sample of the
// group. It returns a *RefusalError if none may be chosen.
func (b *Balancer) Pick(now time.Time, q Query) (Choice, error) {
	g := b.groups[q.Group]
	if g == nil {
		return Choice{}, &RefusalError{}
	}
	best, found := Choice{}, false
	var refused RefusalError
	remaining, outside := g.startDraw(q.Regions)
	if !q.Counted {
		g.noteBound(q.Regions)
		g.noteDemand(now, b.notices)
	}
	refused.OutsideRegions = outside
	considered, limit := 0, b.sampleSize(remaining, q)
	if q.Only != "" {
		best, found = b.consider(now, g, b.upstreams[q.Only], q, &refused)
		remaining = 0
	}
	for ; remaining > 0; remaining-- {
		choice, may := b.consider(now, g, b.upstreams[g.draw(b.random, remaining)], q, &refused)
		if !may {
			continue
		}
		if !found || choice.Score < best.Score {
			best, found = choice, true
		}
		if considered++; considered == limit {
			break
		}
	}
	if !found {
		// Copied, so that a choice that succeeds needs no memory.
		refusal := refused
		return Choice{}, &refusal
	}
	return best, nil
}

// consider scores an upstream, which may be nil, and reports whether it may be chosen. It
// notes in refused why not.
func (b *Balancer) consider(now time.Time, g *group, u *upstream, q Query, refused *RefusalError) (Choice, bool) {
	if u == nil || !u.isMember || u.view.Group != q.Group || !b.isCandidate(now, g, u, q) {
		return Choice{}, false
	}
	id := u.view.ID
	if verdict := b.notices.Check(now, noticekeeper.TargetOf(u.view.UpstreamRecord), q.Regions); !verdict.Admitted() {
		refused.lowerRetryAfterNotice(id, verdict)
		return Choice{}, false
	}
	choice := b.evaluate(now, g, u, q)
	if q.RequireCapacity && !hasCapacity(g, choice, q) {
		refused.Full = refused.Full || g.fitsEmpty(q)
		return Choice{}, false
	}
	if q.MaxPrefillWait <= 0 {
		return choice, true
	}
	if excess := g.excessPrefillWait(choice, q, b.speeds.RelativeTime(now, id)); excess > 0 {
		refused.Full = true
		refused.lowerRetryAfter(excess)
		return Choice{}, false
	}
	return choice, true
}

// isCandidate reports whether an upstream may be chosen, apart from what it says of itself
// and from its load.
func (b *Balancer) isCandidate(now time.Time, g *group, u *upstream, q Query) bool {
	id := u.view.ID
	if q.Only != "" && id != q.Only {
		return false
	}
	return !slices.Contains(q.Exclude, id) && g.prober.Admits(now, id) && b.inReach(q, u.view.Zone) && q.admitsVersion(u.view.Version)
}

// sampleSize returns the number of eligible upstreams that a choice compares at
// most. The loads of peers arrive with a delay, in which all gateways see the
// same upstream as the least loaded; the more gateways there are, the fewer
// upstreams each compares, so that they don't all choose that one. members is the number
// of upstreams in the regions of the query. For a query
// with a limited reach it is maxSample.
func (b *Balancer) sampleSize(members int, q Query) int {
	if q.Reach != Anywhere {
		return maxSample
	}
	return min(maxSample, max(minSample, members/b.gatewayCount+1))
}
