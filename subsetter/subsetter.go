// Package subsetter selects the sides to which an entry keeps links. An entry is a
// VM that serves clients; a side is a VM that runs beside one upstream.
//
// In the largest deployments, linking every entry to every side would take tens
// of millions of connections. Instead, each side ranks the entries of a region by
// rendezvous hashing, and the first few entries of that ranking link to it. Every
// entry computes from the member list alone which sides rank it high enough. The
// number of entries linked to a side is thus nearly the same for all sides of a
// group and region. Adding or removing a VM changes few links of other VMs, unless
// it changes the number of entries per side, or whether a group is small enough for
// every entry to link to all of its sides. Entries whose member lists differ for a
// while therefore disagree on few links.
package subsetter

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/currantwood/currantwood"
)

// Defaults for the fields of Options.
const (
	DefaultSidesPerGroup  = 24
	DefaultSidesElsewhere = 2
	DefaultWholeGroup     = 64
)

// minEntriesPerSide bounds the result of entriesPerSide from below, so that a side
// stays reachable after the loss of an entry that links to it.
const minEntriesPerSide = 3

// Options sets the sizes of subsets. A field that is zero takes its default.
type Options struct {
	// SidesPerGroup is the mean number of sides of each group that an entry keeps in its
	// own region.
	SidesPerGroup int
	// SidesElsewhere is the mean number of sides of each group that an entry keeps in
	// each other region.
	SidesElsewhere int
	// WholeGroup is the number of sides in a group, over all regions, up to which an
	// entry keeps all of them.
	WholeGroup int
}

// Subsetter computes subsets. It has no mutable state and is safe for concurrent
// use.
type Subsetter struct {
	options Options
}

// New returns a subsetter with the given options.
func New(options Options) *Subsetter {
	options.SidesPerGroup = cmp.Or(options.SidesPerGroup, DefaultSidesPerGroup)
	options.SidesElsewhere = cmp.Or(options.SidesElsewhere, DefaultSidesElsewhere)
	options.WholeGroup = cmp.Or(options.WholeGroup, DefaultWholeGroup)
	return &Subsetter{options: options}
}

// hashedVM is a VM with the hash of its ID, computed once per subset.
type hashedVM struct {
	vm   *currantwood.VM
	hash uint64
}

// pool identifies the sides of one group in one region.
type pool struct {
	group  currantwood.GroupID
	region currantwood.RegionID
}

// Subset returns the sides that self keeps links to, in ascending order of ID. It
// ignores VMs that are leaving, and counts self as an entry even if vms does not
// list it yet. When a side drops out of the subset, the caller must let work in
// flight to it finish.
func (s *Subsetter) Subset(self currantwood.VM, vms []currantwood.VM) []currantwood.VM {
	entries := otherEntryHashes(self, vms)
	pools, groupSizes := groupIntoPools(vms)
	selfHash := hashOf(self.ID)

	var kept []currantwood.VM
	for key, sides := range pools {
		if groupSizes[key.group] <= s.options.WholeGroup {
			kept = appendAll(kept, sides)
			continue
		}
		target := s.options.SidesElsewhere
		if key.region == self.Region {
			target = s.options.SidesPerGroup
		}
		kept = appendSubset(kept, selfHash, target, sides, entries)
	}
	slices.SortFunc(kept, func(a, b currantwood.VM) int { return cmp.Compare(a.ID, b.ID) })
	return kept
}

// appendSubset appends the sides of one pool that rank the entry with selfHash
// high enough. If there are fewer than target/2 of them, it appends instead the
// target/2 sides that score highest with the entry. A pool of at most target
// sides is appended whole.
func appendSubset(kept []currantwood.VM, selfHash uint64, target int, sides []hashedVM, entries []uint64) []currantwood.VM {
	if len(sides) <= target {
		return appendAll(kept, sides)
	}
	perSide := entriesPerSide(target, len(sides), len(entries)+1)
	before := len(kept)
	for _, side := range sides {
		if ranksWithin(perSide, selfHash, side.hash, entries) {
			kept = append(kept, *side.vm)
		}
	}
	minSides := target / 2
	if len(kept)-before >= minSides {
		return kept
	}
	slices.SortFunc(sides, func(a, b hashedVM) int {
		return cmp.Compare(score(selfHash, b.hash), score(selfHash, a.hash))
	})
	return appendAll(kept[:before], sides[:minSides])
}

// entriesPerSide returns how many entries of one region must link to each side of
// a pool so that an entry has target links on average, but at least
// minEntriesPerSide if there are as many entries.
func entriesPerSide(target, sides, entries int) int {
	perSide := (target*entries + sides - 1) / sides
	return min(max(perSide, minEntriesPerSide), entries)
}

// ranksWithin reports whether fewer than limit of the other entries rank above
// the entry with selfHash at the side.
func ranksWithin(limit int, selfHash, side uint64, others []uint64) bool {
	selfScore := score(selfHash, side)
	above := 0
	for _, other := range others {
		if score(other, side) <= selfScore {
			continue
		}
		above++
		if above == limit {
			return false
		}
	}
	return true
}

// otherEntryHashes returns the ID hashes of the other entries in self's region that
// are not leaving.
func otherEntryHashes(self currantwood.VM, vms []currantwood.VM) []uint64 {
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

// groupIntoPools groups the sides that are not leaving into pools, and counts the
// sides of each group.
func groupIntoPools(vms []currantwood.VM) (map[pool][]hashedVM, map[currantwood.GroupID]int) {
	pools := make(map[pool][]hashedVM)
	sizes := make(map[currantwood.GroupID]int)
	for i := range vms {
		vm := &vms[i]
		if vm.Role != currantwood.RoleSide.String() || vm.Leaving {
			continue
		}
		key := pool{group: vm.Group, region: vm.Region}
		pools[key] = append(pools[key], hashedVM{vm: vm, hash: hashOf(vm.ID)})
		sizes[vm.Group]++
	}
	return pools, sizes
}

func appendAll(kept []currantwood.VM, sides []hashedVM) []currantwood.VM {
	for _, side := range sides {
		kept = append(kept, *side.vm)
	}
	return kept
}

func hashOf(id currantwood.VMID) uint64 {
	return xxhash.Sum64String(string(id))
}

// score is the rendezvous score of an entry at a side: their hashes, mixed by the
// finalizer of SplitMix64.
func score(entry, side uint64) uint64 {
	z := entry ^ (side * 0x9e3779b97f4a7c15)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}
