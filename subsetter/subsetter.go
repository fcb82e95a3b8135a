// Package subsetter decides to which sides an entry keeps links.
//
// At full size every entry linked to every side would make tens of millions of
// connections. Instead each side ranks the entries of a region by rendezvous
// hashing and the first few of that ranking link to it. Every entry can work
// out alone, from the member list, by which sides it is ranked high enough. The
// number of entries linked to a side is then the same for all sides of a group
// and region, and a VM that comes or goes changes only its own links. Entries
// whose lists differ for a while differ only in the links of those VMs.
package subsetter

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/currantwood/currantwood"
)

// Defaults of Options.
const (
	DefaultOwn   = 24
	DefaultSpill = 2
	DefaultAll   = 64
)

// minEntriesPerSide keeps a side reachable when one of its entries is lost.
const minEntriesPerSide = 3

// Options sets the sizes of subsets. A zero value takes the default.
type Options struct {
	// Own is the mean number of sides of each group that an entry keeps in its
	// own region.
	Own int
	// Spill is the mean number of sides of each group that an entry keeps in
	// each other region.
	Spill int
	// All is the size of a group up to which every entry keeps all its sides.
	All int
}

// Subsetter works out subsets. It holds no state and may be shared.
type Subsetter struct {
	options Options
}

// New returns a subsetter.
func New(options Options) *Subsetter {
	options.Own = cmp.Or(options.Own, DefaultOwn)
	options.Spill = cmp.Or(options.Spill, DefaultSpill)
	options.All = cmp.Or(options.All, DefaultAll)
	return &Subsetter{options: options}
}

// member is a VM with the hash of its id, taken once for a subset.
type member struct {
	vm   *currantwood.VM
	hash uint64
}

// pool names the sides of one group in one region.
type pool struct {
	group  currantwood.GroupID
	region currantwood.RegionID
}

// Subset returns the sides that self keeps links to, in ascending order of id.
// VMs that are leaving are left out, and self counts as an entry even where
// the list doesn't show it yet. Work in flight to a side that drops out of the
// subset is the caller's to finish.
func (s *Subsetter) Subset(self currantwood.VM, vms []currantwood.VM) []currantwood.VM {
	entries := entriesBeside(self, vms)
	pools, groupSizes := poolsOf(vms)
	own := hashOf(self.ID)

	var kept []currantwood.VM
	for name, sides := range pools {
		if groupSizes[name.group] <= s.options.All {
			kept = appendAll(kept, sides)
			continue
		}
		target := s.options.Spill
		if name.region == self.Region {
			target = s.options.Own
		}
		kept = appendSubset(kept, own, target, sides, entries)
	}
	slices.SortFunc(kept, func(a, b currantwood.VM) int { return cmp.Compare(a.ID, b.ID) })
	return kept
}

// appendSubset adds the sides of one pool that rank the entry with the given
// hash high enough, and tops up an entry that too few sides chose.
func appendSubset(kept []currantwood.VM, own uint64, target int, sides []member, entries []uint64) []currantwood.VM {
	if len(sides) <= target {
		return appendAll(kept, sides)
	}
	perSide := entriesPerSide(target, len(sides), len(entries)+1)
	before := len(kept)
	for _, side := range sides {
		if ranksWithin(perSide, own, side.hash, entries) {
			kept = append(kept, *side.vm)
		}
	}
	floor := target / 2
	if len(kept)-before >= floor {
		return kept
	}
	slices.SortFunc(sides, func(a, b member) int {
		return cmp.Compare(score(own, b.hash), score(own, a.hash))
	})
	return appendAll(kept[:before], sides[:floor])
}

// entriesPerSide returns how many entries of one region link to each side of a
// pool so that an entry has target links on average.
func entriesPerSide(target, sides, entries int) int {
	perSide := (target*entries + sides - 1) / sides
	return min(max(perSide, minEntriesPerSide), entries)
}

// ranksWithin reports whether fewer than limit of the other entries rank above
// own at the side.
func ranksWithin(limit int, own, side uint64, others []uint64) bool {
	mine := score(own, side)
	above := 0
	for _, other := range others {
		if score(other, side) <= mine {
			continue
		}
		above++
		if above == limit {
			return false
		}
	}
	return true
}

// entriesBeside returns the hashes of the other entries of self's region.
func entriesBeside(self currantwood.VM, vms []currantwood.VM) []uint64 {
	var hashes []uint64
	for i := range vms {
		vm := &vms[i]
		if vm.Role != currantwood.RoleEntry.String() || vm.Region != self.Region || vm.Leaving || vm.ID == self.ID {
			continue
		}
		hashes = append(hashes, hashOf(vm.ID))
	}
	return hashes
}

// poolsOf sorts the sides that stay into pools and counts those of each group.
func poolsOf(vms []currantwood.VM) (map[pool][]member, map[currantwood.GroupID]int) {
	pools := make(map[pool][]member)
	sizes := make(map[currantwood.GroupID]int)
	for i := range vms {
		vm := &vms[i]
		if vm.Role != currantwood.RoleSide.String() || vm.Leaving {
			continue
		}
		name := pool{group: vm.Group, region: vm.Region}
		pools[name] = append(pools[name], member{vm: vm, hash: hashOf(vm.ID)})
		sizes[vm.Group]++
	}
	return pools, sizes
}

func appendAll(kept []currantwood.VM, sides []member) []currantwood.VM {
	for _, side := range sides {
		kept = append(kept, *side.vm)
	}
	return kept
}

func hashOf(id currantwood.VMID) uint64 {
	return xxhash.Sum64String(string(id))
}

// score mixes the hashes of an entry and a side by the finalizer of SplitMix64.
func score(entry, side uint64) uint64 {
	z := entry ^ (side * 0x9e3779b97f4a7c15)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}
