package registrar

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/currantwood/currantwood"
)

var start = time.Unix(1_700_000_000, 0)

func side(i int) currantwood.VM {
	return currantwood.VM{
		ID:      currantwood.VMID(fmt.Sprintf("side-%05d", i)),
		Role:    currantwood.RoleSide.String(),
		Region:  "kingston",
		Address: fmt.Sprintf("10.0.0.%d:7000", i),
	}
}

func sides(count int) []currantwood.VM {
	vms := make([]currantwood.VM, count)
	for i := range vms {
		vms[i] = side(i)
	}
	return vms
}

func ids(vms []currantwood.VM) []currantwood.VMID {
	names := make([]currantwood.VMID, len(vms))
	for i, vm := range vms {
		names[i] = vm.ID
	}
	return names
}

// at returns the time at an offset from start, in seconds.
func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

var _ = Describe("Registrar", func() {
	DescribeTable("returns the known VMs and whether a side is usable, with ten sides listed and linked",
		func(event func(r *Registrar), wantKnown int, wantUsable bool) {
			r := New(Options{})
			r.ApplyList(start, sides(10))
			for i := range 10 {
				Expect(r.LinkOpened(start, Peer{VM: side(i), Incarnation: 7})).To(BeTrue())
			}
			event(r)
			Expect(r.VMs(at(1))).To(HaveLen(wantKnown))
			Expect(r.Usable(at(1), "side-00000")).To(Equal(wantUsable))
		},
		Entry("nothing happens", func(*Registrar) {}, 10, true),
		Entry("the side's leaving notice, then an outdated VM list without the mark", func(r *Registrar) {
			r.PeerLeaving(start, "side-00000", 7)
			r.ApplyList(at(1), sides(10))
		}, 10, false),
		Entry("the VM list marks the side as leaving", func(r *Registrar) {
			vms := sides(10)
			vms[0].Leaving = true
			r.ApplyList(start, vms)
		}, 10, false),
		Entry("the side's leaving notice, then a new incarnation", func(r *Registrar) {
			r.PeerLeaving(start, "side-00000", 7)
			r.LinkOpened(start, Peer{VM: side(0), Incarnation: 8})
		}, 10, true),
		Entry("a late leaving notice of the earlier incarnation", func(r *Registrar) {
			r.LinkOpened(start, Peer{VM: side(0), Incarnation: 8})
			r.PeerLeaving(start, "side-00000", 7)
		}, 10, true),
		Entry("a late link of the earlier incarnation", func(r *Registrar) {
			r.LinkOpened(start, Peer{VM: side(0), Incarnation: 8})
			r.PeerLeaving(start, "side-00000", 8)
			Expect(r.LinkOpened(start, Peer{VM: side(0), Incarnation: 7})).To(BeFalse())
		}, 10, false),
		Entry("the VM list lacks the side while it responds", func(r *Registrar) {
			r.ApplyList(start, sides(10)[1:])
		}, 10, true),
		Entry("the VM list lacks the side after its link closed", func(r *Registrar) {
			r.LinkClosed(at(-5), "side-00000", 7)
			r.ApplyList(at(3), sides(10)[1:])
		}, 9, false),
		Entry("the VM list is empty", func(r *Registrar) {
			r.ApplyList(at(1), nil)
		}, 10, true),
		Entry("another VM links with the address of the side, whose link closed", func(r *Registrar) {
			r.LinkClosed(start, "side-00000", 7)
			other := side(50)
			other.Address = side(0).Address
			r.LinkOpened(start, Peer{VM: other, Incarnation: 9})
		}, 11, false),
	)

	It("reports a linked side as not usable while it is silent", func() {
		r := New(Options{})
		r.LinkOpened(start, Peer{VM: side(1), Incarnation: 1})
		Expect(r.Usable(at(1.9), side(1).ID)).To(BeTrue())
		Expect(r.Usable(at(2.1), side(1).ID)).To(BeFalse())
		r.FrameReceived(at(60), side(1).ID, 1)
		Expect(r.Usable(at(61), side(1).ID)).To(BeTrue())
	})

	It("keeps unlinked VMs when a VM list lacks most of them", func() {
		r := New(Options{})
		r.ApplyList(start, sides(100))
		r.LinkOpened(start, Peer{VM: side(80), Incarnation: 1})
		r.FrameReceived(at(30), side(80).ID, 1)
		r.ApplyList(at(31), sides(10))
		Expect(r.VMs(at(31))).To(HaveLen(100))
		r.ApplyList(at(90), sides(10))
		Expect(r.VMs(at(90))).To(HaveLen(11), "no VM responds any more; one is still linked")
	})

	It("reports a responding side as usable unless it is leaving", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			checkEvents(t)
		})
	})
})

// checkEvents applies generated events to a registrar and compares which sides
// are usable with the events.
func checkEvents(t *rapid.T) {
	const count = 6
	r := New(Options{})
	now := start
	incarnations := make([]currantwood.Incarnation, count)
	left := make([]bool, count)
	next := currantwood.Incarnation(1)
	for range rapid.IntRange(1, 60).Draw(t, "events") {
		now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
		i := rapid.IntRange(0, count-1).Draw(t, "side")
		switch rapid.IntRange(0, 4).Draw(t, "event") {
		case 0:
			incarnations[i], left[i] = next, false
			next++
			r.LinkOpened(now, Peer{VM: side(i), Incarnation: incarnations[i]})
		case 1:
			if incarnations[i] != 0 {
				left[i] = true
				r.PeerLeaving(now, side(i).ID, incarnations[i])
			}
		case 2:
			from := rapid.IntRange(0, count).Draw(t, "from")
			r.ApplyList(now, sides(count)[from:])
		case 3:
			r.PeerLeaving(now, side(i).ID, next+100)
		case 4:
			r.LinkClosed(now, side(i).ID, next+100)
		}
		for j := range count {
			if incarnations[j] == 0 {
				continue
			}
			r.FrameReceived(now, side(j).ID, incarnations[j])
			if r.Usable(now, side(j).ID) == left[j] {
				t.Fatalf("side %d: left %v, usable %v", j, left[j], !left[j])
			}
		}
	}
}

func BenchmarkSlopeList(b *testing.B) {
	for _, count := range []int{1500, 3000, 6000, 12000} {
		b.Run(fmt.Sprintf("vms=%d", count), func(b *testing.B) {
			b.ReportAllocs()
			vms := sides(count)
			r := New(Options{})
			for b.Loop() {
				r.ApplyList(start, vms)
			}
		})
	}
}
