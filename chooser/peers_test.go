package chooser

import (
	"fmt"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
)

// measureMesh links the entries of vms that are not lost, using fullSizePeers, which
// was computed before the loss. It returns the largest hop count from the first of
// these entries, the number of entries that it reaches, itself included, and the
// largest number of links of one entry.
func measureMesh(vms []currantwood.VM, lost func(vm currantwood.VM) bool) (hops, reached, degree int) {
	links := make(map[currantwood.VMID][]currantwood.VMID)
	lostIDs := make(map[currantwood.VMID]bool)
	for _, vm := range vms {
		lostIDs[vm.ID] = lost(vm)
	}
	for _, vm := range vms {
		for _, peer := range fullSizePeers()[vm.ID] {
			if !lostIDs[vm.ID] && !lostIDs[peer] {
				links[vm.ID] = append(links[vm.ID], peer)
				links[peer] = append(links[peer], vm.ID)
			}
		}
	}
	distance := make(map[currantwood.VMID]int)
	var queue []currantwood.VMID
	for _, vm := range vms {
		if !lostIDs[vm.ID] {
			queue = append(queue, vm.ID)
			distance[vm.ID] = 0
			break
		}
	}
	for ; len(queue) > 0; queue = queue[1:] {
		hops = distance[queue[0]]
		degree = max(degree, len(links[queue[0]]))
		for _, next := range links[queue[0]] {
			if _, seen := distance[next]; !seen {
				distance[next] = hops + 1
				queue = append(queue, next)
			}
		}
	}
	return hops, len(distance), degree
}

// fullSizePeers returns the result of Peers for each of 2200 entries, computed once.
var fullSizePeers = sync.OnceValue(func() map[currantwood.VMID][]currantwood.VMID {
	vms := entriesInRegions(2200)
	peers := make(map[currantwood.VMID][]currantwood.VMID)
	for _, vm := range vms {
		peers[vm.ID] = New(3).Peers(vm, vms)
	}
	return peers
})

// These are the numbers of entries in zone-0 and region-0 of entriesInRegions(2200);
// region-0 has zones 0, 6, 12 and 18.
const (
	entriesInZone0   = 105
	entriesInRegion0 = 419
)

// entriesInRegions returns entries in up to 21 zones of up to six regions.
func entriesInRegions(count int) []currantwood.VM {
	vms := entries(count, 21)
	for i := range vms {
		vms[i].Region = currantwood.RegionID(fmt.Sprintf("region-%d", i%21%6))
	}
	return vms
}

var _ = Describe("Peers", func() {
	It("links each pair once when there are few entries", func() {
		vms := entriesInRegions(20)
		links := 0
		for _, vm := range vms {
			links += len(New(3).Peers(vm, vms))
		}
		Expect(links).To(Equal(20 * 19 / 2))
	})

	DescribeTable("connects all of 2200 entries within a few hops",
		func(lost func(vm currantwood.VM) bool, left int) {
			hops, reached, degree := measureMesh(entriesInRegions(2200), lost)
			Expect(reached).To(Equal(left))
			Expect(hops).To(BeNumerically("<=", 6))
			Expect(degree).To(BeNumerically("<=", 50))
			GinkgoWriter.Printf("%d hops, degree up to %d\n", hops, degree)
		},
		Entry("no entry lost", func(currantwood.VM) bool { return false }, 2200),
		Entry("a zone lost", func(vm currantwood.VM) bool { return vm.Zone == "zone-0" }, 2200-entriesInZone0),
		Entry("a region lost", func(vm currantwood.VM) bool { return vm.Region == "region-0" }, 2200-entriesInRegion0),
	)
})
