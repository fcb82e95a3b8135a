package peerkeeper

import (
	"fmt"
	"math/rand"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/balancer"
	"github.com/currantwood/currantwood/budgeter"
)

var start = time.Unix(1_700_000_000, 0)

func atMS(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func peer(vm string) Peer { return Peer{VM: currantwood.VMID(vm), Address: vm + ":7200"} }

var _ = Describe("Keeper", func() {
	It("is the collector while it reaches the store and accepts no digest", func() {
		k := New(peer("b"))
		Expect(k.IsCollector(start, true)).To(BeTrue())
		Expect(k.IsCollector(start, false)).To(BeFalse())
		Expect(k.AcceptDigest(start, peer("c"), true)).To(BeFalse())
		Expect(k.IsCollector(start, true)).To(BeTrue())
		Expect(k.AcceptDigest(start, peer("a"), true)).To(BeTrue())
		Expect(k.IsCollector(atMS(600), true)).To(BeFalse())
		Expect(k.IsCollector(atMS(800), true)).To(BeTrue())
	})

	It("accepts any collector while it doesn't reach the store itself", func() {
		k := New(peer("a"))
		Expect(k.AcceptDigest(start, peer("c"), false)).To(BeTrue())
		collector, ok := k.OtherCollector(start)
		Expect(ok).To(BeTrue())
		Expect(collector).To(Equal(peer("c")))
	})

	It("accepts a collector of higher capacity, whatever its ID", func() {
		strong := Peer{VM: "z", Address: "z:7200", Capacity: 800}
		k := New(Peer{VM: "a", Capacity: 100})
		Expect(k.AcceptDigest(start, strong, true)).To(BeTrue())
		Expect(k.AcceptDigest(start, Peer{VM: "0", Capacity: 100}, true)).To(BeFalse())
		k.ApplyState(start, strong, State{StoreReachable: true})
		k.ApplyState(start, Peer{VM: "0", Capacity: 100}, State{StoreReachable: true})
		Expect(k.DigestRecipients(start)).To(BeEmpty())
	})

	It("sends digests to lower-ranked gateways and to those that don't reach the store", func() {
		k := New(peer("b"))
		k.ApplyState(start, peer("a"), State{StoreReachable: false})
		k.ApplyState(start, peer("c"), State{StoreReachable: true})
		k.ApplyState(start, peer("0"), State{StoreReachable: true})
		Expect(k.DigestRecipients(atMS(100))).To(Equal([]Peer{peer("a"), peer("c")}))
		Expect(k.DigestRecipients(atMS(2000))).To(BeEmpty())
	})

	It("sums up loads and retry usage, and still counts the retries of silent gateways", func() {
		k := New(peer("a"))
		for _, vm := range []string{"b", "c"} {
			k.ApplyState(start, peer(vm), State{
				Loads:      balancer.Loads{"e": {Requests: 2, MemoryTokens: 100}},
				RetryUsage: budgeter.GroupUsage{"g": {Requests: 10, Retries: 3}},
			})
		}
		own := balancer.Loads{"e": {Requests: 1}}
		sum := k.TotalLoads(atMS(100), own)
		Expect(sum["e"]).To(Equal(balancer.Load{Requests: 5, MemoryTokens: 200}))
		Expect(k.LoadsExcept(sum, "c")["e"]).To(Equal(balancer.Load{Requests: 3, MemoryTokens: 100}))
		Expect(k.LoadsExcept(k.TotalLoads(atMS(100), nil), "b")["e"].Requests).To(Equal(2))
		Expect(own["e"].Requests).To(Equal(1))
		Expect(k.TotalLoads(atMS(2000), nil)).To(BeEmpty())
		Expect(k.TotalUsage(atMS(100), 10*time.Second, "", nil)["g"]).To(Equal(budgeter.Usage{Requests: 20, Retries: 6}))
		Expect(k.TotalUsage(atMS(5000), 10*time.Second, "", nil)["g"]).To(Equal(budgeter.Usage{Retries: 6}))
	})

	// With a fixed interval, the collector's send rate would grow with the number
	// of gateways. From 226 gateways on, it does, as the interval stays at
	// maxSendInterval.
	It("increases the send interval with the number of gateways", func() {
		k := New(peer("a"))
		Expect(k.SendInterval(start)).To(Equal(discoveryInterval))
		k.ApplyState(start, peer("b"), State{StoreReachable: true})
		Expect(k.SendInterval(start)).To(Equal(minSendInterval))
		for i := range 120 {
			k.ApplyState(start, peer(fmt.Sprintf("c%d", i)), State{StoreReachable: true})
		}
		Expect(k.SendInterval(start)).To(Equal(minSendInterval + (121-gatewaysAtMinInterval)*intervalPerGateway))
		other := New(peer("z"))
		Expect(other.AcceptDigest(start, peer("a"), true)).To(BeTrue())
		other.SetDigestGateways(2200)
		Expect(other.SendInterval(start)).To(Equal(maxSendInterval))
	})

	It("sends changed loads at the next send interval, unchanged ones later, and searches for a collector less often", func() {
		k := New(peer("b"))
		loads := balancer.Loads{"e": {Requests: 1}}
		Expect(k.MarkStateSentIfDue(start, loads)).To(BeTrue())
		Expect(k.MarkStateSentIfDue(atMS(100), nil)).To(BeFalse())
		Expect(k.AcceptDigest(atMS(100), peer("a"), true)).To(BeTrue())
		Expect(k.MarkStateSentIfDue(atMS(110), loads)).To(BeTrue())
		Expect(k.MarkStateSentIfDue(atMS(125), loads)).To(BeFalse())
		Expect(k.MarkStateSentIfDue(atMS(140), balancer.Loads{"e": {Requests: 2}})).To(BeTrue())
		Expect(k.MarkStateSentIfDue(atMS(195), balancer.Loads{"e": {Requests: 2}})).To(BeTrue())
	})

	It("contacts a bounded number of gateways to find the collector", func() {
		k := New(peer("a"))
		for i := range 40 {
			k.NotePeer(start, peer(fmt.Sprintf("vm-%02d", i)))
		}
		Expect(k.StateRecipients(start)).To(HaveLen(maxDiscoveryPeers))
		Expect(k.StateRecipients(atMS(60_000))).To(BeEmpty())
	})

	DescribeTable("returns the records that a gateway lacks",
		func(known int, want []int, next int, ok bool) {
			k := New(peer("a"))
			k.RetainRecords(atMS(0), 0, 10, 20, records(12, 15))
			k.RetainRecords(atMS(200), 0, 20, 30, records(28))
			got, end, found := k.RecordsSince(0, currantwood.Offset(known))
			Expect(found).To(Equal(ok))
			if !ok {
				return
			}
			Expect(got).To(Equal(records(want...)))
			Expect(end).To(Equal(currantwood.Offset(next)))
		},
		Entry("all", 10, []int{12, 15, 28}, 30, true),
		Entry("some", 13, []int{15, 28}, 30, true),
		Entry("none", 30, nil, 30, true),
		Entry("too far back", 9, nil, 0, false),
		Entry("ahead of this gateway", 31, nil, 0, false),
		Entry("directory not known", 0, nil, 0, false),
	)

	// Guards against digests that are too long to be sent, so that gateways miss all that
	// the collector tells: another writer may leave long records in the directory.
	It("returns no more records than a datagram holds, and none that is too long", func() {
		k := New(peer("a"))
		long := func(offset, bytes int) currantwood.KeyedRecord {
			return currantwood.KeyedRecord{Offset: currantwood.Offset(offset), Key: "k", Value: make([]byte, bytes)}
		}
		k.RetainRecords(atMS(0), 0, 10, 20, []currantwood.KeyedRecord{long(12, 200), long(13, 200<<10), long(14, 10<<10), long(15, 10<<10)})
		_, _, ok := k.RecordsSince(0, 13)
		Expect(ok).To(BeFalse(), "a gateway that lacks the longest reads the directory itself")
		known := currantwood.Offset(14)
		for _, want := range []currantwood.Offset{15, 20} {
			records, next, ok := k.RecordsSince(0, known)
			Expect(ok).To(BeTrue())
			Expect(records).To(HaveLen(1))
			Expect(next).To(Equal(want))
			known = next
		}
	})

	// Guards against a next collector that can't read, for which all others would wait.
	It("ranks gateways that don't reach the store after those that do", func() {
		k := New(peer("a"))
		for _, id := range []string{"b", "c", "d"} {
			k.ApplyState(atMS(0), peer(id), State{StoreReachable: id != "b"})
		}
		ranks, successors := k.Ranks([]Peer{peer("b"), peer("c"), peer("d")})
		Expect(ranks).To(Equal([]int{3, 1, 2}))
		Expect(successors).To(Equal([]Peer{peer("c"), peer("d")}))
	})

	It("drops earlier records after a gap in its own reads, and old records", func() {
		k := New(peer("a"))
		k.RetainRecords(atMS(0), 0, 10, 20, records(12))
		k.RetainRecords(atMS(4000), 0, 20, 30, records(25))
		_, _, ok := k.RecordsSince(0, 12)
		Expect(ok).To(BeFalse())
		_, _, ok = k.RecordsSince(0, 13)
		Expect(ok).To(BeTrue())
		By("and none of another era of the store, though the offsets fit")
		_, _, ok = k.RecordsSince(1, 13)
		Expect(ok).To(BeFalse())
		k.RetainRecords(atMS(4200), 0, 50, 60, records(55))
		_, _, ok = k.RecordsSince(0, 30)
		Expect(ok).To(BeFalse())
	})

	// After gateways lost the network and the store in random order, one
	// collector must remain within a few seconds. Without any, gateways that
	// don't reach the store miss the directory's changes; a second one only
	// costs extra reads.
	It("converges to a single collector after network and store failures", func() {
		for seed := range int64(30) {
			runPartitions(seed)
		}
	})
})

func records(offsets ...int) []currantwood.KeyedRecord {
	var list []currantwood.KeyedRecord
	for _, o := range offsets {
		list = append(list, currantwood.KeyedRecord{Offset: currantwood.Offset(o), Key: "k"})
	}
	return list
}

// runPartitions simulates 10 s of random network and store failures, and then
// 4 s in which only gateway 0 doesn't reach the store. It checks that a single
// collector remains.
func runPartitions(seed int64) {
	const count, tick = 7, 200
	random := rand.New(rand.NewSource(seed))
	keepers := make([]*Keeper, count)
	disconnected, storeReachable := make([]bool, count), make([]bool, count)
	name := func(i int) string { return fmt.Sprintf("vm-%d", i) }
	for i := range keepers {
		keepers[i] = New(peer(name(i)))
		storeReachable[i] = true
		keepers[i].NotePeer(start, peer(name(0)))
	}
	for ms := 0; ms < 14_000; ms += tick {
		for i := range keepers {
			stable := ms > 10_000
			if !stable && random.Intn(20) == 0 {
				disconnected[i] = !disconnected[i]
			}
			if !stable && random.Intn(20) == 0 {
				storeReachable[i] = !storeReachable[i]
			}
			if stable {
				disconnected[i], storeReachable[i] = false, i != 0
			}
		}
		exchangeMessages(keepers, disconnected, storeReachable, atMS(ms), random)
	}
	collectors := 0
	for i, k := range keepers {
		if k.IsCollector(atMS(14_000), storeReachable[i]) {
			collectors++
		}
	}
	ExpectWithOffset(1, collectors).To(Equal(1), "seed %d", seed)
}

// exchangeMessages lets every gateway send its messages once. A tenth of them
// is lost.
func exchangeMessages(keepers []*Keeper, disconnected, storeReachable []bool, now time.Time, random *rand.Rand) {
	index := make(map[currantwood.VMID]int, len(keepers))
	for i, k := range keepers {
		index[k.self.VM] = i
	}
	arrives := func(from int, to currantwood.VMID) bool {
		return !disconnected[from] && !disconnected[index[to]] && random.Intn(10) > 0
	}
	for i, k := range keepers {
		self := k.self
		for _, p := range k.StateRecipients(now) {
			if p.VM == k.self.VM || !arrives(i, p.VM) {
				continue
			}
			other := keepers[index[p.VM]]
			other.ApplyState(now, self, State{StoreReachable: storeReachable[i]})
			if collector, ok := other.OtherCollector(now); ok && collector.VM != k.self.VM && arrives(index[p.VM], k.self.VM) {
				k.NotePeer(now, collector)
			}
		}
		if !k.IsCollector(now, storeReachable[i]) {
			continue
		}
		for _, p := range k.DigestRecipients(now) {
			if arrives(i, p.VM) {
				keepers[index[p.VM]].AcceptDigest(now, self, storeReachable[index[p.VM]])
			}
		}
	}
}
