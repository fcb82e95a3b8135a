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
		return k.Replace(now, Position{Era: era, Next: next}, zones)
	}
}

// read reads one record, which ends at next.
func read(era currantwood.StoreEra, next currantwood.Offset, zone currantwood.ZoneID, ordered bool) event {
	return readFrom(next-1, era, next, Order{Zone: zone, Offset: next - 1, Ordered: ordered})
}

func readFrom(from currantwood.Offset, era currantwood.StoreEra, next currantwood.Offset, orders ...Order) event {
	return func(k *Keeper, now time.Time) Change {
		change, _ := k.Apply(now, from, Position{Era: era, Next: next}, orders)
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
			Expect(append(set.Zones, set.Kept...)).To(ConsistOf(want))
			for _, zone := range want {
				Expect(k.IsEvacuated(start, zone)).To(BeTrue())
			}
		},
		Entry("no order", nil, readAll(0, 3)),
		Entry("one order in the whole topic", []currantwood.ZoneID{"a"}, readAll(0, 3, "a")),
		Entry("one order after the start", []currantwood.ZoneID{"a"}, readAll(0, 3), read(0, 4, "a", true)),
		Entry("several zones", []currantwood.ZoneID{"a", "b"}, readAll(0, 3, "a"), read(0, 4, "b", true)),
		Entry("a zone that doesn't exist", []currantwood.ZoneID{"moon"}, readAll(0, 3), read(0, 4, "moon", true)),
		Entry("an order taken back", nil, readAll(0, 3, "a"), read(0, 4, "a", false)),
		Entry("an order given again", []currantwood.ZoneID{"a"}, readAll(0, 3, "a"), read(0, 4, "a", false), read(0, 5, "a", true)),
		Entry("an order that is repeated", []currantwood.ZoneID{"a"}, readAll(0, 3, "a"), read(0, 4, "a", true)),
		Entry("the history dropped, read anew", []currantwood.ZoneID{"b"}, readAll(0, 3, "a"), readAll(0, 9, "b")),
		Entry("a newer set of the collector", []currantwood.ZoneID{"b"}, readAll(0, 3, "a"), told(0, 4, "b")),
		Entry("an older set of the collector", []currantwood.ZoneID{"a"}, readAll(0, 3, "a"), told(0, 2)),
		Entry("the same position again", []currantwood.ZoneID{"b"}, told(0, 3, "a"), told(0, 3, "b")),
		Entry("a set of a later era with an earlier offset", []currantwood.ZoneID{"a", "b"}, readAll(1, 30, "a"), told(2, 4, "b")),
		Entry("a set of a later era with an earlier offset, after a while", []currantwood.ZoneID{"b"}, readAll(1, 30, "a"), told(2, 4, "b"), wait(restoreTime)),
		Entry("a set of an earlier era with a later offset", []currantwood.ZoneID{"a"}, readAll(2, 3, "a"), told(1, 40)),
		Entry("an order missing in an older copy", []currantwood.ZoneID{"a"}, readAll(1, 30, "a"), eraRises, readAll(2, 20)),
		Entry("an order missing in an older copy and written again", []currantwood.ZoneID{"a"}, readAll(1, 30, "a"), eraRises, readAll(2, 20), read(2, 21, "a", true), wait(time.Hour)),
		// Guards against orders that end at once at a gateway which knew them from others alone
		// when it first read the store, which had come back from an older copy: its watcher
		// had no position, so that it noticed no rise of the era.
		Entry("an order missing in an older copy, at the first read", []currantwood.ZoneID{"a"}, told(1, 30, "a"), readAll(2, 20)),
		Entry("an order missing in an older copy, some time after the first read", nil, told(1, 30, "a"), readAll(2, 20), wait(restoreTime)),
		Entry("an order never written again after an older copy", nil, readAll(1, 30, "a"), eraRises, readAll(2, 20), wait(restoreTime)),
		// Guards against orders that are undone by delayed reads and messages.
		Entry("an older set of the collector just after a read", []currantwood.ZoneID{"a"}, readAll(0, 3), read(0, 4, "a", true), told(0, 3)),
		Entry("a read that is older than the set of the collector", []currantwood.ZoneID{"a"}, readAll(0, 3), told(0, 10, "a"), readFrom(3, 0, 6, Order{Zone: "a", Offset: 5})),
		Entry("a read of the whole topic that is older than the set of the collector", []currantwood.ZoneID{"a"}, readAll(0, 3), told(0, 10, "a"), readAll(0, 6)),
		Entry("a read of an earlier era", []currantwood.ZoneID{"a"}, readAll(1, 30), told(2, 10, "a"), read(1, 31, "a", false)),
		Entry("records that the set of the collector contains, and a newer one", []currantwood.ZoneID{"a", "b"}, readAll(0, 3), told(0, 10, "a"),
			readFrom(5, 0, 11, Order{Zone: "a", Offset: 5}, Order{Zone: "b", Offset: 10, Ordered: true})),
		// Guards against the loss of orders at a gateway that hears of the store's return from
		// one that has started after it.
		Entry("a set of a later era that lacks an order", []currantwood.ZoneID{"a"}, readAll(1, 30, "a"), told(2, 4), told(2, 4)),
		Entry("a set of a later era that lacks an order for long", nil, readAll(1, 30, "a"), told(2, 4), wait(restoreTime)),
		Entry("an order taken back whose deletion the older copy lacks, then deleted again", nil, readAll(1, 30), eraRises, readAll(2, 20, "a"), read(2, 21, "a", false)),
	)

	// Guards against a gateway that takes the configuration from another one, without the
	// orders before it in the topic, and then reads on from there as the collector: its set
	// lacked these orders and replaced those of all others.
	It("notices that a read leaves out records before it", func() {
		k := New()
		k.Replace(start, Position{Era: 1, Next: 3}, []currantwood.ZoneID{"a"})
		change, complete := k.Apply(start, 12, Position{Era: 1, Next: 13}, []Order{{Zone: "a", Offset: 12}})
		Expect(complete).To(BeFalse())
		Expect(change).To(Equal(Change{}))
		set, _ := k.Current(start)
		Expect(set).To(Equal(Set{Position: Position{Era: 1, Next: 3}, Zones: []currantwood.ZoneID{"a"}}))
		k.Learn(start, Set{Position: Position{Era: 1, Next: 12}, Zones: []currantwood.ZoneID{"a", "b"}})
		_, complete = k.Apply(start, 12, Position{Era: 1, Next: 13}, []Order{{Zone: "a", Offset: 12}})
		Expect(complete).To(BeTrue())
		Expect(k.IsEvacuated(start, "a")).To(BeFalse())
		Expect(k.IsEvacuated(start, "b")).To(BeTrue())
	})

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
		Expect(k.Replace(start, Position{}, []currantwood.ZoneID{"a"}).Began).To(ConsistOf(currantwood.ZoneID("a")))
		change := k.Learn(start, Set{Position: Position{Next: 5}, Zones: []currantwood.ZoneID{"b"}})
		Expect(change.Began).To(ConsistOf(currantwood.ZoneID("b")))
		Expect(change.Ended).To(ConsistOf(currantwood.ZoneID("a")))
		change = k.Learn(start, Set{Position: Position{Next: 5}, Zones: []currantwood.ZoneID{"b"}})
		Expect(change.Began).To(BeEmpty())
		Expect(change.Ended).To(BeEmpty())
	})

	// Guards against an order that a gateway keeps for good, since it was told of it by one
	// that kept it only until the operator's records are written again.
	It("tells of kept orders how long they are kept", func() {
		collector, other := New(), New()
		collector.Replace(start, Position{Era: 1, Next: 30}, []currantwood.ZoneID{"a"})
		collector.EraRisen(start)
		collector.Replace(start, Position{Era: 2, Next: 20}, nil)
		now := start.Add(restoreTime / 2)
		set, _ := collector.Current(now)
		Expect(set).To(Equal(Set{Position: Position{Era: 2, Next: 20}, Kept: []currantwood.ZoneID{"a"}, KeptFor: restoreTime / 2, Age: restoreTime / 2}))
		other.Learn(now, set)
		Expect(other.IsEvacuated(now, "a")).To(BeTrue())
		Expect(other.IsEvacuated(start.Add(restoreTime), "a")).To(BeFalse())
	})

	// Guards against a log line that shows old information as new: a gateway that was cut off
	// learns of an order late, and the collector may not reach the store.
	It("says how old the information behind a change is, also at a gateway that was told", func() {
		collector, other := New(), New()
		Expect(collector.Replace(start, Position{Next: 3}, []currantwood.ZoneID{"a"}).Age).To(BeZero())
		later := start.Add(2 * time.Second)
		set, _ := collector.Current(later)
		Expect(other.Learn(later, set)).To(Equal(Change{Began: []currantwood.ZoneID{"a"}, Age: 2 * time.Second}))
		passedOn, _ := other.Current(later.Add(time.Second))
		Expect(passedOn.Age).To(Equal(3*time.Second), "however many gateways passed it on")
		Expect(New().Learn(later, Set{Zones: []currantwood.ZoneID{"a"}, Age: -1}).Age).To(BeZero(), "told by an older gateway")
		change, _ := collector.Apply(later, 3, Position{Next: 4}, []Order{{Zone: "a", Offset: 3}})
		Expect(change).To(Equal(Change{Ended: []currantwood.ZoneID{"a"}}))
	})

	It("keeps no order longer than it would by itself, whatever it is told", func() {
		k := New()
		k.Learn(start, Set{Kept: []currantwood.ZoneID{"a"}, KeptFor: time.Hour})
		Expect(k.IsEvacuated(start.Add(restoreTime), "a")).To(BeFalse())
		k.Learn(start, Set{Kept: []currantwood.ZoneID{"a"}, KeptFor: -time.Hour})
		Expect(k.IsEvacuated(start, "a")).To(BeFalse())
	})
})
