package balancer

import (
	"math/rand"
	"slices"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/noticekeeper"
)

// regionMembers are the upstreams of a group in one region, in no order: a choice shuffles
// some of them.
type regionMembers struct {
	region  currantwood.RegionID
	members []currantwood.UpstreamID
	// drawn is how many of the members the present choice has drawn; they come first.
	drawn int
	// allowed is whether the present choice may draw members.
	allowed bool
}

// addMember adds an upstream to the members of a group and of its region.
func (g *group) addMember(id currantwood.UpstreamID, region currantwood.RegionID) {
	g.members = append(g.members, id)
	i := slices.IndexFunc(g.regions, func(r regionMembers) bool { return r.region == region })
	if i < 0 {
		g.regions = append(g.regions, regionMembers{region: region})
		i = len(g.regions) - 1
	}
	g.regions[i].members = append(g.regions[i].members, id)
}

// clearMembers removes all upstreams from the members.
func (g *group) clearMembers() {
	g.members = g.members[:0]
	for i := range g.regions {
		g.regions[i].members = g.regions[i].members[:0]
	}
}

// startDraw begins to draw the members in some regions, and returns their number and that
// of all others. Those others aren't visited, so that a choice in a small region doesn't
// take longer, the more upstreams there are elsewhere.
func (g *group) startDraw(regions currantwood.RegionSet) (inside, outside int) {
	for i := range g.regions {
		r := &g.regions[i]
		r.drawn, r.allowed = 0, regions.Admits(r.region)
		if !r.allowed {
			outside += len(r.members)
			continue
		}
		inside += len(r.members)
	}
	return inside, outside
}

// noteDemand counts the request of the present choice in the demand at the upstreams in the
// allowed regions.
func (g *group) noteDemand(now time.Time, notices *noticekeeper.Keeper) {
	for i := range g.regions {
		if r := &g.regions[i]; r.allowed {
			notices.Want(now, r.members)
		}
	}
}

// draw draws one of the remaining members in the allowed regions, each with the same
// chance. remaining is their number.
func (g *group) draw(random *rand.Rand, remaining int) currantwood.UpstreamID {
	position := random.Intn(remaining)
	for i := range g.regions {
		r := &g.regions[i]
		left := len(r.members) - r.drawn
		if !r.allowed || position >= left {
			if r.allowed {
				position -= left
			}
			continue
		}
		j := r.drawn + position
		r.members[r.drawn], r.members[j] = r.members[j], r.members[r.drawn]
		r.drawn++
		return r.members[r.drawn-1]
	}
	return ""
}
