package balancer

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/capacity/limitkeeper"
	"github.com/currantwood/currantwood/capacity/speedkeeper"
	"github.com/currantwood/currantwood/noticekeeper"
	"github.com/currantwood/currantwood/upstreamkeeper"
)

// slowAndFast returns the sums of many observations, by which an upstream takes so many
// times the usual time.
func slowAndFast(times map[string]float64) speedkeeper.Sums {
	sums := make(speedkeeper.Sums)
	for id, relativeTime := range times {
		sums[currantwood.UpstreamID(id)] = speedkeeper.Sum{Weight: 50, Speed: 50 / relativeTime}
	}
	return sums
}

var _ = Describe("Balancer with upstreams of different speed", func() {
	DescribeTable("chooses an engine",
		func(times map[string]float64, loads map[string]Load, q Query, want string) {
			b := newBalancer("e1@n1", "e2@n1", "e3@s1")
			b.LearnSpeeds(start, "peer", slowAndFast(times))
			for id, load := range loads {
				b.SetPeerLoads(start, currantwood.VMID("peer-"+id), Loads{currantwood.UpstreamID(id): load})
			}
			Expect(pick(b, q)).To(Equal(want))
		},
		Entry("that is faster, if loads are equal", map[string]float64{"e1": 1.7, "e2": 0.7, "e3": 1.7}, map[string]Load{"e1": {Requests: 2}, "e2": {Requests: 2}, "e3": {Requests: 2}}, Query{Zone: "n1"}, "e2"),
		Entry("that is slower, if it has much less to do", map[string]float64{"e1": 1.7, "e2": 0.7, "e3": 1.7}, map[string]Load{"e1": {Requests: 1}, "e2": {Requests: 16}, "e3": {Requests: 9}}, Query{Zone: "n1"}, "e1"),
		// Guards against an upstream that takes all work, far beyond its slots, since it
		// states that it is fast.
		Entry("that has room, if the fast one is full by what it says of itself", map[string]float64{"e1": 0.01, "e2": 1, "e3": 1}, map[string]Load{"e1": {Requests: 24}, "e2": {Requests: 18}, "e3": {Requests: 24}}, Query{Zone: "n1"}, "e2"),
		Entry("that is fast and almost full", map[string]float64{"e1": 0.01, "e2": 1, "e3": 1}, map[string]Load{"e1": {Requests: 20}, "e2": {Requests: 18}, "e3": {Requests: 24}}, Query{Zone: "n1"}, "e1"),
		// Guards against pauses in a long stream beside which the distance of its first
		// event hardly counts.
		Entry("in another region, for a long output, if all near ones are slow", map[string]float64{"e1": 1.7, "e2": 1.7, "e3": 0.7}, nil, Query{Zone: "n1", OutputTokens: 800}, "e3"),
		Entry("nearby, for a short output, if all near ones are a little slow", map[string]float64{"e1": 1.2, "e2": 2, "e3": 0.7}, nil, Query{Zone: "n1", OutputTokens: 8}, "e1"),
	)

	// Guards against a late first event of a short output, which takes as long as its prompt.
	It("chooses a faster engine for a long prompt, not for a short one, if it has a little more to do", func() {
		b := newBalancer("e1@n1", "e2@n1")
		b.LearnSpeeds(start, "peer", slowAndFast(map[string]float64{"e1": 1.7, "e2": 0.9}))
		b.SetPeerLoads(start, "p", Loads{"e2": {Requests: 4}})
		Expect(pick(b, Query{Zone: "n1", Load: Load{PrefillTokens: 3000}})).To(Equal("e2"))
		Expect(pick(b, Query{Zone: "n1", Load: Load{PrefillTokens: 100}})).To(Equal("e1"))
	})

	It("expects prompts to wait longer at a slow engine", func() {
		b := newBalancer("e1@n1")
		b.SetPeerLoads(start, "p", Loads{"e1": {Requests: 2, MemoryTokens: 2000, PrefillTokens: 5000}})
		query := Query{Group: "g", Regions: currantwood.AnyRegion(), Zone: "n1", MaxPrefillWait: time.Second, Load: Load{Requests: 1}}
		_, err := b.Pick(start, query)
		Expect(err).NotTo(HaveOccurred())
		b.LearnSpeeds(start, "peer", slowAndFast(map[string]float64{"e1": 2.5}))
		_, err = b.Pick(start, query)
		Expect(err).To(HaveOccurred())
	})

	// Names the load: 68 gateways learn at the same moment that a third of the engines are
	// slow, from loads that are 100 ms old, and send 70 generations a second. Guards
	// against all of them choosing the same fast engine until they hear of each other, and
	// against swinging back once it is full.
	It("spreads the work of many gateways that learn the same at once", func() {
		const gateways, engines, slow = 68, 48, 16
		const interval, delay = 15 * time.Millisecond, 100 * time.Millisecond
		const duration = 4 * time.Second
		var all []*Balancer
		random := rand.New(rand.NewSource(1))
		times := make(map[string]float64)
		var views []upstreamkeeper.View
		for i := range engines {
			id := fmt.Sprintf("e%02d", i)
			views = append(views, view(id, "n1"))
			times[id] = 0.7
			if i < slow {
				times[id] = 1.7
			}
		}
		for range gateways {
			b := New(map[currantwood.ZoneID]currantwood.RegionID{"n1": "north"}, noticekeeper.New(noticekeeper.Options{Rates: newRates()}), rand.New(rand.NewSource(random.Int63())))
			b.SetGroups(map[currantwood.GroupID]currantwood.Group{"g": {ID: "g", Engine: &currantwood.EngineProperties{Slots: 24, MemoryTokens: 30_000}}})
			b.SetUpstreams(views)
			b.SetGatewayCount(gateways)
			all = append(all, b)
		}
		type sent struct {
			at, until time.Time
			id        currantwood.UpstreamID
		}
		var running []sent
		mostOnFast, toSlow, total := 0, 0, 0
		load := Load{Requests: 1, MemoryTokens: 3600}
		for now := start; now.Sub(start) < duration; now = now.Add(interval) {
			b := all[random.Intn(gateways)]
			known := make(Loads)
			counts := make(map[currantwood.UpstreamID]int)
			for _, s := range running {
				if now.Before(s.until) {
					counts[s.id]++
				}
				if now.Before(s.until) && now.Sub(s.at) >= delay {
					sum := known[s.id]
					sum.Add(load)
					known[s.id] = sum
				}
			}
			b.SetPeerLoads(now, "others", known)
			b.LearnSpeeds(now, "collector", slowAndFast(times))
			choice, err := b.Pick(now, Query{Group: "g", Regions: currantwood.AnyRegion(), Zone: "n1", Load: load, OutputTokens: 600})
			Expect(err).NotTo(HaveOccurred())
			took := time.Duration(times[string(choice.View.ID)] * float64(2*time.Second))
			running = append(running, sent{now, now.Add(took), choice.View.ID})
			total++
			if times[string(choice.View.ID)] > 1 {
				toSlow++
			} else {
				mostOnFast = max(mostOnFast, counts[choice.View.ID]+1)
			}
		}
		// The fast engines alone would each have three on the average.
		Expect(mostOnFast).To(BeNumerically("<=", 8))
		Expect(float64(toSlow) / float64(total)).To(BeNumerically("<", 0.1))
	})
})

// BenchmarkPickLarge chooses among 10,000 upstreams of different speed, half of which have a
// concurrency limit. It must take no memory.
func BenchmarkPickLarge(b *testing.B) { benchmarkPick(b, 1) }

// BenchmarkPickFewAllowed is the same for a request that may be at one in 200 of them.
func BenchmarkPickFewAllowed(b *testing.B) { benchmarkPick(b, 200) }

// benchmarkPick chooses among 10,000 upstreams, of which one in every few is in the regions
// of the request.
func benchmarkPick(b *testing.B, every int) {
	const upstreams = 10_000
	zones := map[currantwood.ZoneID]currantwood.RegionID{"n1": "north", "e1": "east"}
	balancer := New(zones, noticekeeper.New(noticekeeper.Options{Rates: newRates(), Regions: zones}), rand.New(rand.NewSource(1)))
	balancer.SetGroups(map[currantwood.GroupID]currantwood.Group{"g": {ID: "g", Engine: &currantwood.EngineProperties{Slots: 24, MemoryTokens: 30_000}}})
	var views []upstreamkeeper.View
	sums, limits := make(speedkeeper.Sums), make(limitkeeper.Limits)
	for i := range upstreams {
		zone := "n1"
		if i%every != 0 {
			zone = "e1"
		}
		v := view(fmt.Sprintf("e%05d", i), zone)
		views = append(views, v)
		sums[v.ID] = speedkeeper.Sum{Weight: 4, Speed: 2 + float64(i%8)}
		if i%2 == 0 {
			limits[v.ID] = 0.3
		}
	}
	balancer.SetUpstreams(views)
	balancer.SetGatewayCount(2200)
	balancer.LearnSpeeds(start, "collector", sums)
	balancer.LearnLimits(start, limits)
	regions := currantwood.Regions("north", "south")
	b.ReportAllocs()
	for b.Loop() {
		if _, err := balancer.Pick(start, Query{Group: "g", Regions: regions, Zone: "n1", RequireCapacity: true, OutputTokens: 600}); err != nil {
			b.Fatal(err)
		}
	}
}
