package lossforecaster

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
)

var start = time.Unix(1_700_000_000, 0)

const engines = 36

// engine is an engine of the model.
type engine struct {
	Upstream
	born int64
}

// newFleet returns engines in six zones, of one version, started one after the other in an
// order that has nothing to do with the zones.
func newFleet(random *rand.Rand) []engine {
	var fleet []engine
	for i, age := range random.Perm(engines) {
		fleet = append(fleet, engine{Upstream{Zone: currantwood.ZoneID(rune('a' + i%6)), Version: "1"}, int64(1 + age)})
	}
	return fleet
}

// upstreams returns what is known of the engines.
func upstreams(fleet []engine) []Upstream {
	var births []int64
	for _, e := range fleet {
		births = append(births, e.born)
	}
	slices.Sort(births)
	var known []Upstream
	for _, e := range fleet {
		e.Old = e.born < births[len(births)/2]
		known = append(known, e.Upstream)
	}
	return known
}

// lost plays two minutes, in which 17% of the engines are replaced every 3.3 s, and places a
// generation of 4 s at a random engine, or at one of those with the lowest rate. It returns
// the share of the generations that were lost, and how often rates differed.
func lost(seed int64, careful bool, take func(random *rand.Rand, fleet []engine) []int) (share, differing float64) {
	random := rand.New(rand.NewSource(seed))
	fleet, k, born := newFleet(random), New(), int64(1000)
	type run struct {
		engine int
		ends   time.Time
	}
	var runs []run
	placed, failed, differ := 0, 0, 0
	for tick := 1; tick < 1200; tick++ {
		now := start.Add(time.Duration(tick) * 100 * time.Millisecond)
		runs = slices.DeleteFunc(runs, func(r run) bool { return !now.Before(r.ends) })
		if tick%33 == 0 {
			for _, i := range take(random, fleet) {
				k.Left(now, "g", upstreams(fleet)[i])
				born++
				fleet[i].born = born
				before := len(runs)
				runs = slices.DeleteFunc(runs, func(r run) bool { return r.engine == i })
				failed += before - len(runs)
			}
		}
		rates := k.ExcessRates(now, "g", upstreams(fleet))
		if rates != nil {
			differ++
		}
		candidates := random.Perm(engines)[:5]
		best := candidates[0]
		for _, c := range candidates {
			if careful && rates != nil && rates[c] < rates[best] {
				best = c
			}
		}
		runs = append(runs, run{best, now.Add(4 * time.Second)})
		placed++
	}
	return float64(failed) / float64(placed), float64(differ) / 1200
}

var _ = Describe("Long generations, while engines are taken away", func() {
	// Names the load: a release that replaces the oldest engines first.
	It("are lost less often where those that leave are older", func() {
		oldest := func(_ *rand.Rand, fleet []engine) []int {
			order := make([]int, engines)
			for i := range order {
				order[i] = i
			}
			slices.SortFunc(order, func(a, b int) int { return int(fleet[a].born - fleet[b].born) })
			return order[:6]
		}
		for seed := range int64(5) {
			without, _ := lost(seed, false, oldest)
			with, _ := lost(seed, true, oldest)
			GinkgoWriter.Println("oldest first: lost", without, "with the estimate", with)
			Expect(with).To(BeNumerically("<", 0.7*without))
		}
	})

	// Names the failure: one zone whose engines are taken away again and again.
	It("are lost less often where those that leave are of one zone", func() {
		zone := func(*rand.Rand, []engine) []int { return []int{0, 6, 12, 18, 24, 30} }
		for seed := range int64(5) {
			without, _ := lost(seed, false, zone)
			with, _ := lost(seed, true, zone)
			GinkgoWriter.Println("one zone: lost", without, "with the estimate", with)
			Expect(with).To(BeNumerically("<", 0.3*without))
		}
	})

	// Guards against estimates that chase chance: any engine may leave next.
	It("go anywhere where losses hit all alike", func() {
		anyone := func(random *rand.Rand, _ []engine) []int { return random.Perm(engines)[:6] }
		for seed := range int64(5) {
			without, _ := lost(seed, false, anyone)
			with, differing := lost(seed, true, anyone)
			GinkgoWriter.Println("anyone: lost", without, "with the estimate", with, "rates differed for", differing)
			Expect(with).To(BeNumerically("<", 1.1*without))
			Expect(differing).To(BeNumerically("<", 0.25))
		}
	})
})

var _ = Describe("Keeper", func() {
	It("has no rates without losses, and forgets old ones", func() {
		k := New()
		fleet := upstreams(newFleet(rand.New(rand.NewSource(1))))
		Expect(k.ExcessRates(start, "g", fleet)).To(BeNil())
		for i := range 6 {
			k.Left(start, "g", Upstream{Zone: "a", Version: "1", Old: i%2 == 0})
		}
		rates := k.ExcessRates(start, "g", fleet)
		Expect(rates[0]).To(BeNumerically(">", 0), "zone a")
		Expect(rates[1]).To(BeZero(), "zone b")
		later := start.Add(5 * memoryTime)
		Expect(k.ExcessRates(later, "g", fleet)).To(BeNil())
		k.Forget(later)
		Expect(k.HasLosses()).To(BeFalse())
	})

	It("knows the software version that is replaced", func() {
		k := New()
		for i := range 16 {
			k.Left(start, "g", Upstream{Zone: currantwood.ZoneID(rune('a' + i%4)), Version: "1"})
		}
		var fleet []Upstream
		for i := range 24 {
			fleet = append(fleet, Upstream{Zone: currantwood.ZoneID(rune('a' + i%4)), Version: currantwood.SoftwareVersion(rune('1' + i/4%2))})
		}
		rates := k.ExcessRates(start, "g", fleet)
		Expect(rates[0]).To(BeNumerically(">", 0))
		Expect(rates[4]).To(BeZero())
	})
})

// Guards against classes that are kept for ever, one for each version, while releases go on.
var _ = Describe("Classes whose losses are long ago", func() {
	It("are forgotten while the group still loses others", func() {
		k := New()
		for i := range 1000 {
			now := start.Add(time.Duration(i) * 10 * time.Second)
			k.Left(now, "g", Upstream{Zone: "a", Version: currantwood.SoftwareVersion(fmt.Sprint(i))})
			k.Forget(now)
		}
		Expect(len(k.groups["g"].weights)).To(BeNumerically("<", 30))
	})
})
