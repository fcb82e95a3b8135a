package evacuationkeeper

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
)

var start = time.Unix(1000, 0)

// event is something that a gateway reads or is told.
type event func(k *Keeper, now time.Time) Change

func readAll(era currantwood.StoreEra, next currantwood.Offset, zones ...currantwood.ZoneID) event {
	return func(k *Keeper, now time.Time) Change {
		change := k.Replace(now, zones)
		k.ReadTo(Position{Era: era, Next: next})
		return change
	}
}

func read(next currantwood.Offset, zone currantwood.ZoneID, ordered bool) event {
	return func(k *Keeper, now time.Time) Change {
		change := k.Apply(now, zone, ordered)
		k.ReadTo(Position{Next: next})
		return change
	}
}

func told(era currantwood.StoreEra, next currantwood.Offset, zones ...currantwood.ZoneID) event {
	return func(k *Keeper, now time.Time) Change {
		return k.Learn(now, Set{Position: Position{Era: era, Next: next}, Zones: zones})
	}
}

func eraRises(k *Keeper, now time.Time) Change {
	k.EraRisen(now)
	return Change{}
}

func wait(d time.Duration) event {
	return func(k *Keeper, now time.Time) Change { return k.Expire(now.Add(d)) }
}

var _ = Describe("Keeper", func() {
	// Guards against an order that is lost, taken back by an older message, or kept for
	// good after it has ended.
	DescribeTable("knows the evacuated zones",
		func(want []currantwood.ZoneID, events ...event) {
			k := New()
			for _, e := range events {
				e(k, start)
			}
			Expect(k.Known()).To(BeTrue())
			set, known := k.Current(start)
			Expect(known).To(BeTrue())
			Expect(set.Zones).To(ConsistOf(want))
			for _, zone := range want {
				Expect(k.IsEvacuated(start, zone)).To(BeTrue())
			}
		},
		Entry("no order", nil, readAll(0, 3)),
		Entry("one order in the whole topic", []currantwood.ZoneID{"a"}, readAll(0, 3, "a")),
		Entry("one order after the start", []currantwood.ZoneID{"a"}, readAll(0, 3), read(4, "a", true)),
		Entry("several zones", []currantwood.ZoneID{"a", "b"}, readAll(0, 3, "a"), read(4, "b", true)),
		Entry("a zone that doesn't exist", []currantwood.ZoneID{"moon"}, readAll(0, 3), read(4, "moon", true)),
		Entry("an order taken back", nil, readAll(0, 3, "a"), read(4, "a", false)),
		Entry("an order given again", []currantwood.ZoneID{"a"}, readAll(0, 3, "a"), read(4, "a", false), read(5, "a", true)),
		Entry("an order that is repeated", []currantwood.ZoneID{"a"}, readAll(0, 3, "a"), read(4, "a", true)),
		Entry("the history dropped, read anew", []currantwood.ZoneID{"b"}, readAll(0, 3, "a"), readAll(0, 9, "b")),
		Entry("a newer set of the collector", []currantwood.ZoneID{"b"}, readAll(0, 3, "a"), told(0, 4, "b")),
		Entry("an older set of the collector", []currantwood.ZoneID{"a"}, readAll(0, 3, "a"), told(0, 2)),
		Entry("the same position again", []currantwood.ZoneID{"b"}, told(0, 3, "a"), told(0, 3, "b")),
		Entry("a set of a later era with an earlier offset", []currantwood.ZoneID{"b"}, readAll(1, 30, "a"), told(2, 4, "b")),
		Entry("a set of an earlier era with a later offset", []currantwood.ZoneID{"a"}, readAll(2, 3, "a"), told(1, 40)),
		Entry("an order missing in an older copy", []currantwood.ZoneID{"a"}, readAll(1, 30, "a"), eraRises, readAll(2, 20)),
		Entry("an order missing in an older copy and written again", []currantwood.ZoneID{"a"}, readAll(1, 30, "a"), eraRises, readAll(2, 20), read(21, "a", true), wait(time.Hour)),
		Entry("an order never written again after an older copy", nil, readAll(1, 30, "a"), eraRises, readAll(2, 20), wait(restoreTime)),
		Entry("an order taken back whose deletion the older copy lacks, then deleted again", nil, readAll(1, 30), eraRises, readAll(2, 20, "a"), read(21, "a", false)),
	)

	It("knows nothing before the first read, and takes any set then", func() {
		k := New()
		Expect(k.Known()).To(BeFalse())
		_, known := k.Current(start)
		Expect(known).To(BeFalse())
		Expect(k.Learn(start, Set{Zones: []currantwood.ZoneID{"a"}})).To(Equal(Change{Began: []currantwood.ZoneID{"a"}}))
		Expect(k.Known()).To(BeTrue())
	})

	It("reports what begins and ends, once", func() {
		k := New()
		Expect(k.Replace(start, []currantwood.ZoneID{"a"}).Began).To(ConsistOf(currantwood.ZoneID("a")))
		change := k.Learn(start, Set{Position: Position{Next: 5}, Zones: []currantwood.ZoneID{"b"}})
		Expect(change.Began).To(ConsistOf(currantwood.ZoneID("b")))
		Expect(change.Ended).To(ConsistOf(currantwood.ZoneID("a")))
		change = k.Learn(start, Set{Position: Position{Next: 5}, Zones: []currantwood.ZoneID{"b"}})
		Expect(change.Began).To(BeEmpty())
		Expect(change.Ended).To(BeEmpty())
	})
})
