package chooser

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/currantwood/currantwood"
)

const (
	// allPeers is the number of entries up to which each is linked to all.
	allPeers = 64
	// ownPeers is the number of entries that one dials in its own region, and
	// farPeers in each other region. It is dialed by as many on average.
	ownPeers = 6
	farPeers = 1
)

// Peers returns the entries that self dials, in ascending order of id. Over all
// entries these links join every entry to every other within a few hops. Where
// there are few entries each pair has one link.
func (c *Chooser) Peers(self currantwood.VM, vms []currantwood.VM) []currantwood.VMID {
	others := make(map[currantwood.RegionID][]candidate)
	count := 0
	for i := range vms {
		vm := &vms[i]
		if vm.Role != currantwood.RoleEntry.String() || vm.Leaving || vm.ID == self.ID {
			continue
		}
		score := xxhash.Sum64String(string(self.ID) + "\x00" + string(vm.ID))
		others[vm.Region] = append(others[vm.Region], candidate{vm: vm, score: score})
		count++
	}
	var peers []currantwood.VMID
	for region, entries := range others {
		dialed := dialedOf(self, region, entries, count)
		for _, entry := range dialed {
			peers = append(peers, entry.vm.ID)
		}
	}
	slices.Sort(peers)
	return peers
}

// Partial reports whether there are so many entries that each is linked to a few
// of them only.
func Partial(vms []currantwood.VM) bool {
	count := 0
	for i := range vms {
		if vms[i].Role == currantwood.RoleEntry.String() && !vms[i].Leaving {
			count++
		}
	}
	return count > allPeers
}

// dialedOf returns the entries of a region that self dials.
func dialedOf(self currantwood.VM, region currantwood.RegionID, entries []candidate, count int) []candidate {
	if count < allPeers {
		return slices.DeleteFunc(entries, func(entry candidate) bool { return entry.vm.ID > self.ID })
	}
	slices.SortFunc(entries, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.vm.ID, b.vm.ID))
	})
	limit := farPeers
	if region == self.Region {
		limit = ownPeers
	}
	return entries[:min(limit, len(entries))]
}
