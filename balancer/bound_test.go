package balancer

import (
	"math/rand"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/noticekeeper"
)

// newBoundBalancer returns a balancer of a gateway in the north with two engines there and
// six in the south.
func newBoundBalancer() *Balancer {
	notices := noticekeeper.New(noticekeeper.Options{Rates: newRates(), Regions: map[currantwood.ZoneID]currantwood.RegionID{"n1": "north", "n2": "north", "s1": "south"}})
	return newBalancerWithNotices(notices, "e1@n1", "e2@n2", "e3@s1", "e4@s1", "e5@s1", "e6@s1", "e7@s1", "e8@s1")
}

// bindToNorth notes that a customer is bound to the north.
func bindToNorth(b *Balancer) {
	bindings := make(GroupBindings)
	bindings.Note("g", currantwood.Regions("north"))
	b.SetBindings(bindings)
}

// wantInNorth lets the bound customer have most of the latest requests.
func wantInNorth(b *Balancer) {
	for range boundShareDivisor {
		_, err := b.Pick(start, Query{Group: "g", Zone: "n1", Regions: currantwood.Regions("north")})
		Expect(err).NotTo(HaveOccurred())
	}
}

var _ = Describe("Balancer with requests that are bound to a region", func() {
	// slotLoad is what a generation takes: a slot of 24, and as much of the memory.
	slotLoad := Load{Requests: 1, MemoryTokens: 400}
	anywhere, north := currantwood.AnyRegion(), currantwood.Regions("north")

	// The load: of 192 slots, 140 are wanted by requests that may go anywhere and 40 by those
	// of a customer bound to the 48 in the north. All arrive in the north, for 2 s each.
	// Guards against requests that fill the small region, where they are a little faster, and
	// leave the customer none of it.
	It("leaves room in a small region to the customer that can't go elsewhere", func() {
		b := newBoundBalancer()
		bindToNorth(b)
		type sent struct {
			until  time.Time
			choice Choice
		}
		var running []sent
		random := rand.New(rand.NewSource(2))
		requested, refused := map[bool]int{}, map[bool]int{}
		for now := start; now.Sub(start) < 10*time.Second; now = now.Add(100 * time.Millisecond) {
			for len(running) > 0 && !now.Before(running[0].until) {
				b.Ended(now, running[0].choice.View, slotLoad, Served)
				running = running[1:]
			}
			bound := []bool{true, true, false, false, false, false, false, false, false}
			random.Shuffle(len(bound), func(i, j int) { bound[i], bound[j] = bound[j], bound[i] })
			for _, isBound := range bound {
				regions := anywhere
				if isBound {
					regions = north
				}
				requested[isBound]++
				choice, err := b.Pick(now, Query{Group: "g", Zone: "n1", Regions: regions, Load: slotLoad, RequireCapacity: true})
				if err != nil {
					refused[isBound]++
					continue
				}
				b.Started(now, choice.View, slotLoad, time.Minute)
				running = append(running, sent{now.Add(2 * time.Second), choice})
			}
		}
		Expect(requested).To(Equal(map[bool]int{true: 200, false: 700}))
		Expect(refused).To(BeEmpty())
	})

	// fill puts a number of generations on each of some engines.
	fill := func(b *Balancer, requests int, ids ...currantwood.UpstreamID) {
		loads := make(Loads)
		for _, id := range ids {
			loads[id] = Load{Requests: requests, MemoryTokens: currantwood.TokenCount(400 * requests)}
		}
		b.SetPeerLoads(start, "peer", loads)
	}
	south := []currantwood.UpstreamID{"e3", "e4", "e5", "e6", "e7", "e8"}

	It("uses the rest of the small region for others if nothing else has room", func() {
		b := newBoundBalancer()
		bindToNorth(b)
		wantInNorth(b)
		fill(b, 24, append(south, "e2")...)
		Expect(pick(b, Query{Zone: "n1", Load: slotLoad, RequireCapacity: true})).To(Equal("e1"))
	})

	DescribeTable("sends a request elsewhere only if it may be in more regions than others",
		func(bind, regions currantwood.RegionSet, near bool) {
			b := newBoundBalancer()
			bindings := make(GroupBindings)
			bindings.Note("g", bind)
			b.SetBindings(bindings)
			wantInNorth(b)
			fill(b, 20, append(south, "e1", "e2")...)
			Expect(pick(b, Query{Zone: "n1", Regions: regions, Load: slotLoad, RequireCapacity: true})).To(BeElementOf(map[bool][]string{
				true: {"e1", "e2"}, false: {"e3", "e4", "e5", "e6", "e7", "e8"},
			}[near]))
		},
		Entry("others are bound, this one isn't", north, anywhere, false),
		Entry("others are bound as this one", north, north, true),
		Entry("others are bound more closely", north, currantwood.Regions("north", "south"), false),
		Entry("others are bound less closely", currantwood.Regions("north", "south"), north, true),
		Entry("others are bound elsewhere", currantwood.Regions("moon"), anywhere, true),
		Entry("none is bound", anywhere, anywhere, true),
		Entry("a list that can't be decoded binds none", currantwood.RegionSet{}, anywhere, true),
	)

	// Guards against a region that a few rare requests keep half empty.
	It("leaves little room if few requests are bound", func() {
		b := newBoundBalancer()
		bindToNorth(b)
		fill(b, 14, append(south, "e1", "e2")...)
		Expect(pick(b, Query{Zone: "n1", Load: slotLoad, RequireCapacity: true})).To(BeElementOf("e1", "e2"))
		wantInNorth(b)
		Expect(pick(b, Query{Zone: "n1", Load: slotLoad, RequireCapacity: true})).To(BeElementOf("e3", "e4", "e5", "e6", "e7", "e8"))
	})

	It("has no bindings left once the configuration has none", func() {
		b := newBoundBalancer()
		bindToNorth(b)
		wantInNorth(b)
		b.SetBindings(nil)
		fill(b, 20, append(south, "e1", "e2")...)
		Expect(pick(b, Query{Zone: "n1", Load: slotLoad, RequireCapacity: true})).To(BeElementOf("e1", "e2"))
	})

	// Guards against a Retry-After by which the client comes back while its own region is
	// still closed.
	It("takes the time to come back from the allowed regions alone", func() {
		notices := noticekeeper.New(noticekeeper.Options{Rates: newRates(), Regions: map[currantwood.ZoneID]currantwood.RegionID{"n1": "north", "s1": "south"}})
		b := newBalancerWithNotices(notices, "e1@n1", "e2@s1")
		notices.Observe(start, "e1", 1, currantwood.UpstreamResponse{Pause: 5 * time.Second})
		notices.Observe(start, "e2", 1, currantwood.UpstreamResponse{Pause: time.Second})
		for regions, want := range map[string]time.Duration{"north": 5 * time.Second, "south": time.Second} {
			_, err := b.Pick(start, Query{Group: "g", Zone: "n1", Regions: currantwood.Regions(currantwood.RegionID(regions))})
			var refusal *RefusalError
			Expect(err).To(BeAssignableToTypeOf(refusal))
			refusal = err.(*RefusalError)
			Expect(refusal.RetryAfter).To(Equal(want))
			Expect(refusal.OutsideRegions).To(Equal(1))
		}
	})

	// Guards against upstreams that are drawn twice or never, now that they are drawn by
	// region.
	It("draws each upstream in the allowed regions once", func() {
		b := newBoundBalancer()
		g := b.group("g")
		for _, regions := range []currantwood.RegionSet{anywhere, north, currantwood.Regions("south"), currantwood.Regions("moon"), anywhere} {
			inside, outside := g.startDraw(regions)
			Expect(inside + outside).To(Equal(8))
			var drawn, want []currantwood.UpstreamID
			for remaining := inside; remaining > 0; remaining-- {
				drawn = append(drawn, g.draw(b.random, remaining))
			}
			for id, u := range b.upstreams {
				if regions.Admits(b.regions[u.view.Zone]) {
					want = append(want, id)
				}
			}
			Expect(drawn).To(ConsistOf(want))
		}
	})

	It("draws the first upstream with the same chance from all regions", func() {
		b := newBoundBalancer()
		g := b.group("g")
		counts := make(map[currantwood.UpstreamID]int)
		for range 8000 {
			inside, _ := g.startDraw(anywhere)
			counts[g.draw(b.random, inside)]++
		}
		Expect(counts).To(HaveLen(8))
		for id, count := range counts {
			Expect(count).To(BeNumerically("~", 1000, 150), string(id))
		}
	})
})
