// Package chooser selects the few entries of each region that read the log
// service on behalf of the others there, and the entries that an entry dials.
//
// By rendezvous hashing over the VMs that it knows, every process computes the
// readers itself, without an election. Processes that know different VMs may
// temporarily select different readers; the cost is that more processes than needed
// read the log.
package chooser

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/currantwood/currantwood"
)

// DefaultCount is the number of readers per region and stream.
const DefaultCount = 3

// Chooser selects readers and peers. It is immutable and safe for concurrent use.
type Chooser struct {
	count int // readers per region and stream
}

// New returns a chooser of count readers per region and stream; 0 means
// DefaultCount.
func New(count int) *Chooser {
	return &Chooser{count: cmp.Or(count, DefaultCount)}
}

// candidate is an entry with its rendezvous hash.
type candidate struct {
	vm    *currantwood.VM
	score uint64
}

// ChooseReaders returns the readers of a region for a stream, in order of preference.
// They are in different availability zones as far as there are enough of these,
// so that readers remain when one zone is lost. Leaving VMs are not selected.
func (c *Chooser) ChooseReaders(stream currantwood.StreamName, region currantwood.RegionID, vms []currantwood.VM) []currantwood.VMID {
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

// rank returns the entries of a region that are not leaving, in descending order
// of score.
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
