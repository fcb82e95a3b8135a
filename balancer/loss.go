package balancer

import (
	"math"
	"slices"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/capacity/lossforecaster"
)

const (
	// lossPenalty is added to the score of an upstream that is certain to be taken away before
	// a long output ends, if others stay. It outweighs regionPenalty: a moved run pauses for
	// longer than the distance delays it.
	lossPenalty = 0.3
	// secondsPerToken is the time in which an engine generates a token.
	secondsPerToken = 0.008
	// lossInterval is the time between two estimates, which change over seconds. One takes 6 ms
	// for 10,000 upstreams.
	lossInterval = time.Second
)

// Left notes that upstreams of a group leave or are gone.
func (b *Balancer) Left(now time.Time, group currantwood.GroupID, records []currantwood.UpstreamRecord) {
	median := b.medianIncarnation(b.group(group))
	for _, record := range records {
		b.losses.Left(now, group, lossUpstream(record, median))
	}
}

// medianIncarnation returns the median of the incarnations of a group; 0 if it has no members.
func (b *Balancer) medianIncarnation(g *group) int64 {
	if len(g.members) == 0 {
		return 0
	}
	incarnations := make([]int64, 0, len(g.members))
	for _, member := range g.members {
		incarnations = append(incarnations, b.upstreams[member].view.Incarnation)
	}
	slices.Sort(incarnations)
	return incarnations[len(incarnations)/2]
}

// RefreshLosses estimates again which upstreams are likely to be taken away.
func (b *Balancer) RefreshLosses(now time.Time) {
	if now.Sub(b.lossesAt) < lossInterval || !b.losses.HasLosses() && b.highLoss == 0 {
		return
	}
	b.lossesAt, b.highLoss = now, 0
	b.losses.Forget(now)
	for id, g := range b.groups {
		median := b.medianIncarnation(g)
		members := make([]lossforecaster.Upstream, 0, len(g.members))
		for _, member := range g.members {
			members = append(members, lossUpstream(b.upstreams[member].view.UpstreamRecord, median))
		}
		rates := b.losses.ExcessRates(now, id, members)
		for i, member := range g.members {
			b.upstreams[member].lossRate = 0
			if rates != nil && rates[i] > 0 {
				b.upstreams[member].lossRate = rates[i]
				b.highLoss++
			}
		}
	}
}

// HighLossUpstreams returns the number of upstreams that are likelier to be taken away than
// others of their group.
func (b *Balancer) HighLossUpstreams() int { return b.highLoss }

// lossUpstream returns what of an upstream its loss may depend on.
func lossUpstream(record currantwood.UpstreamRecord, median int64) lossforecaster.Upstream {
	return lossforecaster.Upstream{Zone: record.Zone, Version: record.Version, Old: record.Incarnation < median}
}

// lossPenaltyAt returns the penalty for the risk that an upstream is taken away before the
// output of a request ends; 0 unless the risk is higher than at others.
func (u *upstream) lossPenaltyAt(q Query) float64 {
	if u.lossRate == 0 || q.OutputTokens <= 0 {
		return 0
	}
	lost := 1 - math.Exp(-u.lossRate*secondsPerToken*float64(q.OutputTokens))
	return lossPenalty * lost * q.longOutputShare()
}
