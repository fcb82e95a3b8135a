package balancer

import (
	"fmt"
	"math/rand"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/capacity/limitkeeper"
	"github.com/currantwood/currantwood/noticekeeper"
	"github.com/currantwood/currantwood/upstreamkeeper"
)

var _ = Describe("Balancer with concurrency limits", func() {
	DescribeTable("chooses an engine",
		func(limits limitkeeper.Limits, loads map[string]Load, want string) {
			b := newBalancer("e1@n1", "e2@n1")
			b.LearnLimits(start, limits)
			for id, load := range loads {
				b.SetPeerLoads(start, currantwood.VMID("peer-"+id), Loads{currantwood.UpstreamID(id): load})
			}
			Expect(pick(b, Query{Zone: "n1"})).To(Equal(want))
		},
		Entry("with less to do, without limits", nil, map[string]Load{"e1": {Requests: 6}, "e2": {Requests: 10}}, "e1"),
		Entry("that is farther from its limit", limitkeeper.Limits{"e1": 0.33}, map[string]Load{"e1": {Requests: 6}, "e2": {Requests: 10}}, "e2"),
		Entry("that is over its limit, if the other is closer to being full", limitkeeper.Limits{"e1": 0.9}, map[string]Load{"e1": {Requests: 20}, "e2": {Requests: 23}}, "e1"),
	)

	// Guards against a limit that is too low and costs a request although slots are free.
	It("refuses nothing because of a limit", func() {
		b := newBalancer("e1@n1")
		b.LearnLimits(start, limitkeeper.Limits{"e1": 0.04})
		b.SetPeerLoads(start, "p", Loads{"e1": {Requests: 23, MemoryTokens: 100}})
		_, err := b.Pick(start, Query{Group: "g", Regions: currantwood.AnyRegion(), Zone: "n1", RequireCapacity: true, Load: Load{Requests: 1}})
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against groups that are served differently although they report no time.
	It("notes nothing of a response without a relative time", func() {
		b := newBalancer("e1@n1")
		v := view("e1", "n1")
		b.ObserveWork(start, v, WorkSample{Running: 20, Slots: 24, Duration: time.Second})
		Expect(b.OwnLoadLevels(start)).To(BeEmpty())
		b.ObserveWork(start, v, WorkSample{Running: 20, Slots: 24, RelativeTime: 1, Duration: time.Second})
		Expect(b.OwnLoadLevels(start)).To(HaveLen(1))
	})

	It("multiplies the stated time by its own measurement relative to the group's usual", func() {
		b := newBalancer("e1@n1", "e2@n1")
		for range 50 {
			b.ObserveWork(start, view("e2", "n1"), WorkSample{Running: 20, Slots: 24, RelativeTime: 1, Duration: 100 * time.Millisecond})
		}
		b.ObserveWork(start, view("e1", "n1"), WorkSample{Running: 24, Slots: 24, RelativeTime: 2, Duration: 120 * time.Millisecond})
		e1 := b.OwnLoadLevels(start)["e1"]
		Expect(e1.Weight()).To(BeNumerically("~", 2.4, 0.01))
		b.ObserveWork(start, view("e2", "n1"), WorkSample{Running: 24, Slots: 24, RelativeTime: 1, Duration: 10 * time.Millisecond, Stream: true})
		// A stream is compared with the intervals of streams only, of which it is the first.
		e2 := b.OwnLoadLevels(start)["e2"]
		Expect(e2.Weight()).To(BeNumerically("~", 51, 0.01))
	})

	// Names the load: 68 gateways choose among 12 upstreams, half of which slow down from a
	// third of their slots on, with loads and limits that are 100 ms old; demand swings
	// between 50 and 90% of what all handle well. Guards against all gateways leaving an
	// upstream and returning to it together.
	It("spreads the work of 68 gateways without oscillation", func() {
		slots, limited := runFleet(false), runFleet(true)
		GinkgoWriter.Println("without limits", slots, "with limits", limited)
		// The time beyond the usual falls by a fifth at least.
		Expect(limited.meanTime - 1).To(BeNumerically("<", 0.8*(slots.meanTime-1)))
		Expect(limited.mostRunning).To(BeNumerically("<=", slots.mostRunning))
		// The shares of the upstreams with a knee change from one half of a second to the next
		// as without limits, by the demand.
		Expect(limited.swing).To(BeNumerically("<=", 1.2*slots.swing))
	})
})

// fleetResult is what a run of the fleet has shown after its first seconds.
type fleetResult struct {
	// meanTime is the mean time per request, relative to the usual.
	meanTime float64
	// mostRunning is the highest number of requests at one upstream.
	mostRunning int
	// swing is the mean difference between the shares of the picks that upstreams with a knee
	// had in one half of a second and in the next.
	swing float64
}

// fleetRequest is a request that runs at an upstream of the fleet.
type fleetRequest struct {
	at   time.Time
	id   int
	left time.Duration
}

// runFleet plays 20 s of 68 gateways and 12 upstreams. Each gateway reports its
// observations to a collector each 250 ms, and all read its limits at the same moment.
func runFleet(withLimits bool) fleetResult {
	const gateways, upstreams, knee, step = 68, 12, 8, 5 * time.Millisecond
	const usual, delay, duration, settled = 400 * time.Millisecond, 100 * time.Millisecond, 20 * time.Second, 8 * time.Second
	random := rand.New(rand.NewSource(1))
	var views []upstreamkeeper.View
	for i := range upstreams {
		views = append(views, view(fmt.Sprintf("e%02d", i), "n1"))
	}
	var all []*Balancer
	for range gateways + 1 {
		b := New(map[currantwood.ZoneID]currantwood.RegionID{"n1": "north"}, noticekeeper.New(noticekeeper.Options{Rates: newRates()}), rand.New(rand.NewSource(random.Int63())))
		b.SetGroups(map[currantwood.GroupID]currantwood.Group{"g": {ID: "g"}})
		b.SetUpstreams(views)
		b.SetGatewayCount(gateways)
		all = append(all, b)
	}
	collector := all[gateways]
	var result fleetResult
	var running []fleetRequest
	var counts [upstreams]int
	var past []Loads
	var limits []limitkeeper.Limits
	served, kneePicks, picks, lastShare, halves := 0, 0, 0, -1.0, 0
	for i := 0; time.Duration(i)*step < duration; i++ {
		now := start.Add(time.Duration(i) * step)
		known := make(Loads)
		for id, count := range counts {
			known[views[id].ID] = Load{Requests: count}
		}
		past = append(past, known)
		limits = append(limits, collector.AllLimits(now))
		known = past[max(0, i-int(delay/step))]
		if g := i % 50; g < 34 {
			collector.LearnLoadLevels(now, currantwood.VMID(fmt.Sprint(2*g)), all[2*g].OwnLoadLevels(now))
			collector.LearnLoadLevels(now, currantwood.VMID(fmt.Sprint(2*g+1)), all[2*g+1].OwnLoadLevels(now))
		}
		if late := i - int(delay/step); withLimits && i%50 == 0 && late > 0 {
			for _, b := range all[:gateways] {
				b.LearnLimits(now, limits[late])
			}
		}
		// A triangle wave of 3 s between 50 and 90% of 192, the sum of the knees and slots.
		phase := float64(i%600) / 300
		demand := 192 * (0.5 + 0.4*min(phase, 2-phase))
		for random.Float64() < demand*step.Seconds()/usual.Seconds()/(1+demand*step.Seconds()/usual.Seconds()) {
			b := all[random.Intn(gateways)]
			b.SetPeerLoads(now, "others", known)
			if !withLimits {
				b.LearnLimits(now, limitkeeper.Limits{})
			}
			choice, err := b.Pick(now, Query{Group: "g", Regions: currantwood.AnyRegion(), Zone: "n1", Load: Load{Requests: 1}})
			Expect(err).NotTo(HaveOccurred())
			var id int
			_, err = fmt.Sscanf(string(choice.View.ID), "e%d", &id)
			Expect(err).NotTo(HaveOccurred())
			running = append(running, fleetRequest{at: now, id: id, left: time.Duration(float64(usual) * (0.5 + random.Float64()))})
			counts[id]++
			picks++
			if id < upstreams/2 {
				kneePicks++
			}
		}
		kept := running[:0]
		before := counts
		for _, r := range running {
			relativeTime := 1.0
			if r.id < upstreams/2 {
				relativeTime = max(1, float64(before[r.id])/knee)
			}
			if r.left -= time.Duration(float64(step) / relativeTime); r.left > 0 {
				kept = append(kept, r)
				continue
			}
			counts[r.id]--
			all[random.Intn(gateways)].ObserveWork(now, views[r.id], WorkSample{Running: before[r.id], Slots: 24, RelativeTime: relativeTime, Duration: now.Sub(r.at) + step})
			if now.Sub(start) > settled {
				served++
				result.meanTime += relativeTime
			}
		}
		running = kept
		if now.Sub(start) <= settled {
			kneePicks, picks = 0, 0
			continue
		}
		for _, count := range counts {
			result.mostRunning = max(result.mostRunning, count)
		}
		if i%100 == 0 && picks > 0 {
			share := float64(kneePicks) / float64(picks)
			if lastShare >= 0 {
				result.swing += max(share-lastShare, lastShare-share)
				halves++
			}
			lastShare, kneePicks, picks = share, 0, 0
		}
	}
	result.meanTime /= float64(served)
	result.swing /= float64(halves)
	return result
}
