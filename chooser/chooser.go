// Package chooser chooses the few entries of each region that read the log
// service for all others there.
//
// Every process works the choice out alone from its member list, by rendezvous
// hashing, so nothing is elected. Two processes with different lists may choose
// differently for a while; a reader too many costs one more tail of the log.
package chooser

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/currantwood/currantwood"
)

// DefaultCount is the number of readers in each region.
const DefaultCount = 3

// Chooser chooses readers. It holds no state and may be shared.
type Chooser struct {
	count int
}

// New returns a chooser of the given number of readers in each region; 0 takes
// DefaultCount.
func New(count int) *Chooser {
	return &Chooser{count: cmp.Or(count, DefaultCount)}
}

// candidate is an entry with its score.
type candidate struct {
	vm    *currantwood.VM
	score uint64
}

// Choose returns the readers of a region for one stream, first choice first.
// They are taken from different availability zones as far as there are enough,
// so that the loss of one zone leaves readers. Leaving VMs are not chosen.
func (c *Chooser) Choose(stream currantwood.StreamName, region currantwood.RegionID, vms []currantwood.VM) []currantwood.VMID {
	ranked := rank(stream, region, vms)
	chosen := make([]currantwood.VMID, 0, c.count)
	for len(chosen) < c.count && len(ranked) > 0 {
		var rest []candidate
		zones := make(map[currantwood.ZoneID]bool)
		for _, entry := range ranked {
			if zones[entry.vm.Zone] || len(chosen) == c.count {
				rest = append(rest, entry)
				continue
			}
			zones[entry.vm.Zone] = true
			chosen = append(chosen, entry.vm.ID)
		}
		ranked = rest
	}
	return chosen
}

// rank returns the entries of a region in descending order of score.
func rank(stream currantwood.StreamName, region currantwood.RegionID, vms []currantwood.VM) []candidate {
	var ranked []candidate
	for i := range vms {
		vm := &vms[i]
		if vm.Role != currantwood.RoleEntry.String() || vm.Region != region || vm.Leaving {
			continue
		}
		score := xxhash.Sum64String(string(stream) + "\x00" + string(vm.ID))
		ranked = append(ranked, candidate{vm: vm, score: score})
	}
	slices.SortFunc(ranked, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.vm.ID, b.vm.ID))
	})
	return ranked
}
