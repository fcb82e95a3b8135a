package chooser

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/currantwood/currantwood"
)

const (
	// maxFullMeshEntries is the number of entries, self included, up to which
	// each is linked to all others. Beyond, each dials a bounded number of others.
	maxFullMeshEntries = 64
	// peersInOwnRegion is the number of entries that an entry dials in its own
	// region, and peersPerOtherRegion in each other region. On average, as many of
	// its own region dial it; from another region they are the more, the larger that
	// region is than its own.
	peersInOwnRegion    = 6
	peersPerOtherRegion = 1
)

// Peers returns the entries that self dials, in ascending order of id. Up to
// maxFullMeshEntries entries, each pair has one link. Beyond, each entry selects
// some others by rendezvous hashing; in the graph of all links, any entry reaches
// any other in a few hops with high probability.
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
		dialed := selectPeers(self, region, entries, count)
		for _, entry := range dialed {
			peers = append(peers, entry.vm.ID)
		}
	}
	slices.Sort(peers)
	return peers
}

// ExceedsFullMesh reports whether there are too many entries for a full mesh, so that
// each is linked to only some of them.
func ExceedsFullMesh(vms []currantwood.VM) bool {
	count := 0
	for i := range vms {
		if vms[i].Role == currantwood.RoleEntry.String() && !vms[i].Leaving {
			count++
		}
	}
	return count > maxFullMeshEntries
}

// selectPeers returns the entries of a region that self dials. count is
// the number of entries in all regions, without self.
func selectPeers(self currantwood.VM, region currantwood.RegionID, entries []candidate, count int) []candidate {
	if count < maxFullMeshEntries {
		return slices.DeleteFunc(entries, func(entry candidate) bool { return entry.vm.ID > self.ID })
	}
	slices.SortFunc(entries, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.vm.ID, b.vm.ID))
	})
	limit := peersPerOtherRegion
	if region == self.Region {
		limit = peersInOwnRegion
	}
	return entries[:min(limit, len(entries))]
}
