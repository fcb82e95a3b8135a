package chooser

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
)

const stream = currantwood.StreamName("rules")

func entries(count, zones int) []currantwood.VM {
	vms := make([]currantwood.VM, count)
	for i := range vms {
		vms[i] = currantwood.VM{
			ID:     currantwood.VMID(fmt.Sprintf("entry-%d", i)),
			Role:   currantwood.RoleEntry.String(),
			Region: "selenge",
			Zone:   currantwood.ZoneID(fmt.Sprintf("zone-%d", i%zones)),
		}
	}
	return vms
}

var _ = Describe("Choose", func() {
	DescribeTable("selects readers in different zones first",
		func(count, zones, wantReaders, wantZones int) {
			vms := entries(count, zones)
			chosen := New(3).ChooseReaders(stream, "selenge", vms)
			Expect(chosen).To(HaveLen(wantReaders))
			seen := make(map[currantwood.ZoneID]bool)
			for _, vm := range vms {
				for _, id := range chosen {
					if vm.ID == id {
						seen[vm.Zone] = true
					}
				}
			}
			Expect(seen).To(HaveLen(wantZones))
		},
		Entry("no entry", 0, 1, 0, 0),
		Entry("one entry", 1, 1, 1, 1),
		Entry("one zone", 10, 1, 3, 1),
		Entry("two zones", 10, 2, 3, 2),
		Entry("a full-size region", 367, 4, 3, 3),
	)

	It("skips leaving VMs, sides and other regions, and keeps the other readers", func() {
		vms := entries(60, 3)
		before := New(3).ChooseReaders(stream, "selenge", vms)
		for i := range vms {
			vms[i].Leaving = vms[i].ID == before[0]
		}
		side := currantwood.VM{ID: "side", Role: currantwood.RoleSide.String(), Region: "selenge", Zone: "z"}
		otherRegion := currantwood.VM{ID: "far", Role: currantwood.RoleEntry.String(), Region: "orkhon", Zone: "z"}
		after := New(3).ChooseReaders(stream, "selenge", append(vms, side, otherRegion))
		Expect(after).NotTo(ContainElements(before[0]))
		Expect(after).To(ContainElements(before[1], before[2]))
		Expect(after).NotTo(ContainElements(side.ID, otherRegion.ID))
	})
})
