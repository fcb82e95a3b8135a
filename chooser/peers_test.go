package chooser

import (
	"fmt"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
)

// mesh links entries as Peers says, without those that are lost, and returns
// the most hops from the first entry left to any other and how many it reaches.
func mesh(vms []currantwood.VM, lost func(vm currantwood.VM) bool) (hops, reached, degree int) {
	links := make(map[currantwood.VMID][]currantwood.VMID)
	gone := make(map[currantwood.VMID]bool)
	for _, vm := range vms {
		gone[vm.ID] = lost(vm)
	}
	for _, vm := range vms {
		for _, peer := range dialed()[vm.ID] {
			if !gone[vm.ID] && !gone[peer] {
				links[vm.ID] = append(links[vm.ID], peer)
				links[peer] = append(links[peer], vm.ID)
			}
		}
	}
	distance := make(map[currantwood.VMID]int)
	var queue []currantwood.VMID
	for _, vm := range vms {
		if !gone[vm.ID] {
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

// dialed is what Peers says at full size, worked out once.
var dialed = sync.OnceValue(func() map[currantwood.VMID][]currantwood.VMID {
	vms := spreadEntries(2200)
	peers := make(map[currantwood.VMID][]currantwood.VMID)
	for _, vm := range vms {
		peers[vm.ID] = New(3).Peers(vm, vms)
	}
	return peers
})

func spreadEntries(count int) []currantwood.VM {
	vms := entries(count, 21)
	for i := range vms {
		vms[i].Region = currantwood.RegionID(fmt.Sprintf("region-%d", i%21%6))
	}
	return vms
}

var _ = Describe("Peers", func() {
	It("links each pair of few entries once", func() {
		vms := spreadEntries(20)
		links := 0
		for _, vm := range vms {
			links += len(New(3).Peers(vm, vms))
		}
		Expect(links).To(Equal(20 * 19 / 2))
	})

	DescribeTable("joins all entries at full size within a few hops",
		func(lost func(vm currantwood.VM) bool, left int) {
			hops, reached, degree := mesh(spreadEntries(2200), lost)
			Expect(reached).To(Equal(left))
			Expect(hops).To(BeNumerically("<=", 6))
			Expect(degree).To(BeNumerically("<=", 50))
			GinkgoWriter.Printf("%d hops, degree up to %d\n", hops, degree)
		},
		Entry("nothing lost", func(currantwood.VM) bool { return false }, 2200),
		Entry("a zone lost", func(vm currantwood.VM) bool { return vm.Zone == "zone-0" }, 2200-105),
		Entry("a region lost", func(vm currantwood.VM) bool { return vm.Region == "region-0" }, 2200-419),
	)
})
