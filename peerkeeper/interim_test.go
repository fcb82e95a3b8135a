package peerkeeper

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
)

var _ = Describe("An interim collector", func() {
	now := time.Unix(1_700_000_000, 0)
	gateway := func(vm string, capacity uint32) Peer {
		return Peer{VM: currantwood.VMID(vm), Address: vm + ":1", Capacity: capacity, Established: true}
	}
	strong, middle, weak := gateway("a", 800), gateway("b", 300), gateway("c", 100)

	It("is the gateway that precedes all that are heard from, while none reaches the store", func() {
		k := New(middle)
		k.NotePeer(now, weak)
		Expect(k.IsInterimCollector(now, false)).To(BeTrue())
		Expect(k.IsInterimCollector(now, true)).To(BeFalse())
		k.NotePeer(now, strong)
		Expect(k.IsInterimCollector(now, false)).To(BeFalse())
		Expect(k.IsInterimCollector(now.Add(peerTimeout+1), false)).To(BeTrue())
	})

	It("is none while a collector is known", func() {
		k := New(middle)
		Expect(k.AcceptDigest(now, weak, false)).To(BeTrue())
		Expect(k.IsInterimCollector(now, false)).To(BeFalse())
		Expect(k.AcceptInterimDigest(now, strong, false)).To(BeFalse())
		later := now.Add(collectorTimeout + 1)
		Expect(k.AcceptInterimDigest(later, strong, false)).To(BeTrue())
	})

	It("is accepted from one gateway at a time, from a weaker one only once the stronger is silent", func() {
		k := New(weak)
		Expect(k.AcceptInterimDigest(now, middle, false)).To(BeTrue())
		Expect(k.AcceptInterimDigest(now, strong, false)).To(BeTrue())
		Expect(k.AcceptInterimDigest(now, middle, false)).To(BeFalse())
		Expect(k.AcceptInterimDigest(now.Add(collectorTimeout+1), middle, false)).To(BeTrue())
	})

	It("isn't accepted by a gateway that reaches the store or precedes it", func() {
		Expect(New(weak).AcceptInterimDigest(now, strong, true)).To(BeFalse())
		Expect(New(strong).AcceptInterimDigest(now, weak, false)).To(BeFalse())
	})
})
