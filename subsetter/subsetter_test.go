package subsetter

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
)

// The size of the largest supported deployment, its VM replacements per day, the
// number of sides in a rack, and the numbers of entries that the tests sample.
const (
	maxEntries               = 2200
	maxSides                 = 10000
	maxRegions               = 6
	maxZones                 = 21
	maxGroups                = 4
	replacementsPerDay       = 1800
	sidesPerRack             = 40
	sampleEntries            = 25
	replacementSampleEntries = 6
)

// fleet is a member list whose VMs can be replaced.
type fleet struct {
	vms    []currantwood.VM
	serial int
	random *rand.Rand
}

func newFleet(entries, sides, regions, zones, groups int) *fleet {
	f := &fleet{random: rand.New(rand.NewSource(1))}
	for i := range entries {
		f.vms = append(f.vms, f.vm(currantwood.RoleEntry, i%zones, regions, ""))
	}
	for i := range sides {
		group := fmt.Sprintf("group-%d", (i/zones)%groups)
		f.vms = append(f.vms, f.vm(currantwood.RoleSide, i%zones, regions, currantwood.GroupID(group)))
	}
	return f
}

func (f *fleet) vm(role currantwood.Role, zone, regions int, group currantwood.GroupID) currantwood.VM {
	f.serial++
	return currantwood.VM{
		ID:     currantwood.VMID(fmt.Sprintf("%s-%06d", role, f.serial)),
		Role:   role.String(),
		Zone:   currantwood.ZoneID(fmt.Sprintf("zone-%d", zone)),
		Region: currantwood.RegionID(fmt.Sprintf("region-%d", zone%regions)),
		Group:  group,
	}
}

// replace gives a random VM a new ID and keeps its zone, region and group.
func (f *fleet) replace() {
	vm := &f.vms[f.random.Intn(len(f.vms))]
	f.serial++
	vm.ID = currantwood.VMID(fmt.Sprintf("%s-%06d", vm.Role, f.serial))
}

func (f *fleet) entries() []currantwood.VM {
	return slices.DeleteFunc(slices.Clone(f.vms), func(vm currantwood.VM) bool {
		return vm.Role != currantwood.RoleEntry.String()
	})
}

// linkCounts counts the links of each side and of each entry.
func linkCounts(f *fleet) (perSide, perEntry map[currantwood.VMID]int) {
	perSide = make(map[currantwood.VMID]int)
	perEntry = make(map[currantwood.VMID]int)
	s := New(Options{})
	for _, entry := range f.entries() {
		subset := s.Subset(entry, f.vms)
		perEntry[entry.ID] = len(subset)
		for _, side := range subset {
			perSide[side.ID]++
		}
	}
	return perSide, perEntry
}

func minMeanMax(counts map[currantwood.VMID]int) (lowest, mean, highest float64) {
	lowest = float64(1 << 30)
	for _, count := range counts {
		mean += float64(count) / float64(len(counts))
		lowest = min(lowest, float64(count))
		highest = max(highest, float64(count))
	}
	return lowest, mean, highest
}

// countAdded counts the VMs of next whose IDs are not in last.
func countAdded(last, next []currantwood.VM) int {
	known := make(map[currantwood.VMID]bool, len(last))
	for _, vm := range last {
		known[vm.ID] = true
	}
	added := 0
	for _, vm := range next {
		if !known[vm.ID] {
			added++
		}
	}
	return added
}

var _ = Describe("Subset", func() {
	DescribeTable("keeps all sides of small groups",
		func(entries, sides int) {
			f := newFleet(entries, sides, 3, 6, 2)
			for _, entry := range f.entries() {
				Expect(New(Options{}).Subset(entry, f.vms)).To(HaveLen(sides))
			}
		},
		Entry("a small deployment with 17 sides", 6, 17),
		Entry("a small deployment with 15 sides", 6, 15),
		Entry("one entry", 1, 4),
		Entry("close to the limit for all sides", 30, 120),
	)

	It("leaves no side without entries and no entry without sides", func() {
		f := newFleet(60, 600, 3, 6, 2)
		perSide, perEntry := linkCounts(f)
		Expect(perSide).To(HaveLen(600))
		lowest, mean, highest := minMeanMax(perSide)
		Expect(lowest).To(BeNumerically(">=", minEntriesPerSide))
		Expect(highest / mean).To(BeNumerically("<=", 1.25))
		lowest, _, _ = minMeanMax(perEntry)
		Expect(lowest).To(BeNumerically(">=", 2*(DefaultSidesPerGroup/2+2*DefaultSidesElsewhere/2)))
	})

	It("gives an entry that few sides rank high enough half of its target", func() {
		f := newFleet(400, 100, 1, 1, 1)
		for _, entry := range f.entries() {
			subset := New(Options{SidesPerGroup: 4}).Subset(entry, f.vms)
			Expect(len(subset)).To(BeNumerically(">=", 2))
		}
	})

	It("links every side to at least three entries in a small region", func() {
		perSide, _ := linkCounts(newFleet(4, 400, 1, 1, 1))
		lowest, _, _ := minMeanMax(perSide)
		Expect(lowest).To(BeNumerically(">=", minEntriesPerSide))
	})

	It("counts an entry that the list does not show, and leaves out VMs that are leaving", func() {
		f := newFleet(60, 600, 3, 6, 2)
		self := f.vm(currantwood.RoleEntry, 0, 3, "")
		before := New(Options{}).Subset(self, f.vms)
		Expect(before).NotTo(BeEmpty())
		gone := before[0].ID
		for i := range f.vms {
			f.vms[i].Leaving = f.vms[i].ID == gone
		}
		after := New(Options{}).Subset(self, f.vms)
		Expect(after).NotTo(ContainElement(HaveField("ID", gone)))
		Expect(countAdded(before, after)).To(BeNumerically("<=", 2))
	})

	It("does not depend on the order of the list", func() {
		f := newFleet(60, 600, 3, 6, 2)
		self := f.entries()[7]
		want := New(Options{}).Subset(self, f.vms)
		f.random.Shuffle(len(f.vms), func(i, j int) { f.vms[i], f.vms[j] = f.vms[j], f.vms[i] })
		Expect(New(Options{}).Subset(self, f.vms)).To(Equal(want))
	})

	DescribeTable("in the largest deployment, an entry keeps sides of every group after the loss of",
		func(lost func(currantwood.VM) bool, atLeast int) {
			f := newFleet(maxEntries, maxSides, maxRegions, maxZones, maxGroups)
			for _, self := range f.entries()[:sampleEntries] {
				left := make(map[currantwood.GroupID]int)
				for _, side := range New(Options{}).Subset(self, f.vms) {
					if !lost(side) {
						left[side.Group]++
					}
				}
				Expect(left).To(HaveLen(maxGroups))
				for _, count := range left {
					Expect(count).To(BeNumerically(">=", atLeast))
				}
			}
		},
		Entry("39 sides with consecutive IDs, spread over all zones", func(vm currantwood.VM) bool { return vm.ID < "side-002240" }, 15),
		Entry("a zone", func(vm currantwood.VM) bool { return vm.Zone == "zone-0" }, 10),
		Entry("the entry's region", func(vm currantwood.VM) bool { return vm.Region == "region-0" }, 5),
	)
})

// BenchmarkEvenness measures how evenly links are spread over sides and entries
// in the largest deployment.
func BenchmarkEvenness(b *testing.B) {
	f := newFleet(maxEntries, maxSides, maxRegions, maxZones, maxGroups)
	for b.Loop() {
		perSide, perEntry := linkCounts(f)
		lowest, mean, highest := minMeanMax(perSide)
		b.ReportMetric(mean, "entries/side")
		b.ReportMetric(highest/mean, "side-max/mean")
		b.ReportMetric(lowest/mean, "side-min/mean")
		lowest, mean, highest = minMeanMax(perEntry)
		b.ReportMetric(mean, "sides/entry")
		b.ReportMetric(highest, "sides/entry-max")
		b.ReportMetric(lowest, "sides/entry-min")
	}
}

// BenchmarkDayOfReplacements measures the new links of an entry in one day of VM
// replacements.
func BenchmarkDayOfReplacements(b *testing.B) {
	for b.Loop() {
		f := newFleet(maxEntries, maxSides, maxRegions, maxZones, maxGroups)
		s := New(Options{})
		sample := f.entries()[:replacementSampleEntries]
		last := make([][]currantwood.VM, len(sample))
		added := 0
		for step := range replacementsPerDay + 1 {
			for i, self := range sample {
				next := s.Subset(self, f.vms)
				if step > 0 {
					added += countAdded(last[i], next)
				}
				last[i] = next
			}
			f.replace()
		}
		b.ReportMetric(float64(added)/float64(len(sample)), "new-links/entry/day")
	}
}

// BenchmarkSlopeSubset measures how the time for one subset grows with the
// length of the member list.
func BenchmarkSlopeSubset(b *testing.B) {
	for _, percent := range []int{12, 25, 50, 100} {
		f := newFleet(maxEntries*percent/100, maxSides*percent/100, maxRegions, maxZones, maxGroups)
		self := f.entries()[0]
		b.Run(fmt.Sprintf("vms=%d", len(f.vms)), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				New(Options{}).Subset(self, f.vms)
			}
		})
	}
}
