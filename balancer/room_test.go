package balancer

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/capacity/forecaster"
	"github.com/currantwood/currantwood/noticekeeper"
	"github.com/currantwood/currantwood/upstreamkeeper"
)

// Guards against a forecast of no wait, and with it a Retry-After that doesn't hold, for a
// request that finds memory at no engine as it must leave some to others.
var _ = DescribeTable("The room for a request of 4,000 tokens at an engine with 5,500 of 10,000 in use",
	func(spare currantwood.Share, open int, free currantwood.TokenCount, waits bool) {
		b := newBalancer("e1@n1")
		b.Started(start, view("e1", "n1"), Load{Requests: 1, MemoryTokens: 5500}, 0)
		q := Query{Group: "g", Zone: "n1", Regions: currantwood.AnyRegion(), RequireCapacity: true, SpareMemory: spare, Load: Load{Requests: 1, MemoryTokens: 4000}}
		room := b.Room(start, q)
		Expect(room.Open).To(Equal(open))
		Expect(room.RoomiestFree).To(Equal(free))
		forecast := forecaster.New().Forecast("g", room, forecaster.Work{Requests: 1, Memory: 4000}, forecaster.Work{})
		Expect(forecast > 0).To(Equal(waits))
	},
	Entry("that may use all memory", currantwood.Share(0), 1, currantwood.TokenCount(4500), false),
	Entry("that must leave a tenth", currantwood.Share(0.1), 0, currantwood.TokenCount(3500), true),
)

// newLoadedBalancer returns a balancer of many engines in two regions with random loads.
func newLoadedBalancer(engines int, random *rand.Rand) *Balancer {
	zones := map[currantwood.ZoneID]currantwood.RegionID{"n1": "north", "s1": "south"}
	b := New(zones, noticekeeper.New(noticekeeper.Options{Rates: newRates(), Regions: zones}), random)
	b.SetGroups(map[currantwood.GroupID]currantwood.Group{"g": {ID: "g", Engine: &currantwood.EngineProperties{Slots: 24, MemoryTokens: 30_000}}})
	var views []upstreamkeeper.View
	loads := make(Loads)
	for i := range engines {
		v := view(fmt.Sprintf("e%05d", i), []string{"n1", "s1"}[i%2])
		views = append(views, v)
		loads[v.ID] = Load{Requests: random.Intn(26), MemoryTokens: currantwood.TokenCount(random.Intn(32_000)), PrefillTokens: currantwood.TokenCount(random.Intn(20_000))}
	}
	b.SetUpstreams(views)
	b.SetPeerLoads(start, "others", loads)
	return b
}

// Guards against a forecast in large groups that differs from the one in small groups.
var _ = It("The room in a large group is what a visit of each engine finds", func() {
	random := rand.New(rand.NewSource(1))
	b := newLoadedBalancer(largeGroup, random)
	for range 500 {
		q := Query{
			Group: "g", Zone: "n1", Regions: currantwood.AnyRegion(), RequireCapacity: true, SpareMemory: currantwood.Share(random.Intn(3)) / 10,
			Load: Load{Requests: 1, MemoryTokens: currantwood.TokenCount(random.Intn(31_000))}, MaxPrefillWait: time.Duration(random.Intn(1500)) * time.Millisecond,
		}
		if random.Intn(2) == 0 {
			q.Regions = currantwood.Regions("south")
		}
		if random.Intn(5) == 0 {
			q.MaxPrefillWait = 0
		}
		visited := q
		visited.Exclude = []currantwood.UpstreamID{"none"}
		Expect(b.Room(start, q)).To(Equal(b.Room(start, visited)))
	}
})

// Guards against a view that outlives the loads that it is of.
var _ = It("The room in a large group follows new loads, and this gateway's own within 50 ms", func() {
	b := newLoadedBalancer(largeGroup, rand.New(rand.NewSource(1)))
	q := Query{Group: "g", Zone: "n1", Regions: currantwood.AnyRegion(), RequireCapacity: true, Load: Load{Requests: 1, MemoryTokens: 100}}
	b.Room(start, q)
	b.SetPeerLoads(start, "others", nil)
	Expect(b.Room(start, q).Open).To(Equal(largeGroup))
	for range 24 {
		b.Started(start, view("e00000", "n1"), Load{Requests: 1, MemoryTokens: 100}, 0)
	}
	Expect(b.Room(start.Add(roomMaxAge), q).Open).To(Equal(largeGroup - 1))
})

// BenchmarkRoomLarge is the load of arrivals while requests wait, at 10,000 upstreams; new
// loads arrive after each 1,000 of them.
func BenchmarkRoomLarge(b *testing.B) {
	balancer := newLoadedBalancer(10_000, rand.New(rand.NewSource(1)))
	loads := balancer.peers["others"].loads
	q := Query{Group: "g", Zone: "n1", Regions: currantwood.AnyRegion(), RequireCapacity: true, SpareMemory: 0.1, MaxPrefillWait: time.Second}
	n := 0
	for b.Loop() {
		if n++; n%1000 == 0 {
			balancer.SetPeerLoads(start, "others", loads)
		}
		q.Load = Load{Requests: 1, MemoryTokens: currantwood.TokenCount(100 + n%4000)}
		balancer.Room(start, q)
	}
}

// BenchmarkRoomLargeVisit is a visit of all of them.
func BenchmarkRoomLargeVisit(b *testing.B) {
	balancer := newLoadedBalancer(10_000, rand.New(rand.NewSource(1)))
	q := Query{Group: "g", Zone: "n1", Regions: currantwood.AnyRegion(), RequireCapacity: true, SpareMemory: 0.1, MaxPrefillWait: time.Second, Exclude: []currantwood.UpstreamID{"none"}}
	q.Load = Load{Requests: 1, MemoryTokens: 1000}
	for b.Loop() {
		balancer.Room(start, q)
	}
}
