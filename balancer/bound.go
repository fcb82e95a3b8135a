package balancer

import (
	"github.com/currantwood/currantwood"
)

const (
	// roomFrom is the part of an upstream in use from which on it is short of room.
	roomFrom = 0.5
	// roomPenalty is added to the score of a full upstream in a region to which other
	// requests are bound; from roomFrom on it rises from 0. It outweighs the difference in
	// load and distance to upstreams elsewhere.
	roomPenalty = 1.0
	// fullBoundShare is the share of the requests of a group that must be bound to regions
	// for the whole penalty. Fewer need less room.
	fullBoundShare = 0.2
	// boundShareDivisor is the reciprocal of the weight of a request in that share, which is
	// an exponential moving average.
	boundShareDivisor = 128
)

// Bindings holds, for each region to which requests of a group are bound, the number of
// regions that the most closely bound of them may be in.
type Bindings map[currantwood.RegionID]int

// GroupBindings holds the bindings of the groups that have any.
type GroupBindings map[currantwood.GroupID]Bindings

// Note adds that requests of a group are bound to regions. A set of all regions or of none
// binds nothing.
func (g GroupBindings) Note(id currantwood.GroupID, regions currantwood.RegionSet) {
	if regions.IsAny() || regions.IsEmpty() {
		return
	}
	if g[id] == nil {
		g[id] = make(Bindings)
	}
	for _, region := range regions.IDs() {
		if known, ok := g[id][region]; !ok || regions.Count() < known {
			g[id][region] = regions.Count()
		}
	}
}

// SetBindings replaces the regions to which requests are bound.
func (b *Balancer) SetBindings(bindings GroupBindings) {
	for id, g := range b.groups {
		g.bindings = bindings[id]
	}
	for id, regions := range bindings {
		b.group(id).bindings = regions
	}
}

// noteBound counts a request of the group as bound to regions or not.
func (g *group) noteBound(regions currantwood.RegionSet) {
	bound := 0.0
	if !regions.IsAny() {
		bound = 1
	}
	g.boundShare += (bound - g.boundShare) / boundShareDivisor
}

// roomPenalty returns what is added to the score of an upstream in a zone, of which a part
// is in use, so that a request which may be in more regions than others leaves room to
// those. It is 0 where no request is bound, and small where few are.
func (b *Balancer) roomPenalty(g *group, q Query, zone currantwood.ZoneID, used float64) float64 {
	if len(g.bindings) == 0 || used <= roomFrom {
		return 0
	}
	closest, bound := g.bindings[b.regions[zone]]
	if !bound || q.Regions.Count() <= closest {
		return 0
	}
	demand := min(1, g.boundShare/fullBoundShare)
	return roomPenalty * demand * min(1, (used-roomFrom)/(1-roomFrom))
}
