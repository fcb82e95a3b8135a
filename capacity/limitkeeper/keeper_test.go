package limitkeeper

import (
	"fmt"
	"math"
	"math/rand"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
)

var start = time.Unix(1000, 0)

const noKnee = math.MaxFloat64

// result is what a run of the model has shown of the limits.
type result struct {
	// lowest is the lowest limit, below the share of the time in which it was below the slots,
	// and mean its mean; all from some time on.
	lowest      int
	below, mean float64
}

// measure runs a model several times with different random numbers and returns the limits
// between two times.
func measure(m model, from, to time.Duration) result {
	r := result{lowest: modelSlots}
	steps := 0
	for seed := range 3 {
		run := m
		run.random = rand.New(rand.NewSource(int64(seed)))
		k := New()
		run.run(to, func(now time.Time, running int, relativeTime float64) {
			k.Observe(now, "u", running, modelSlots, relativeTime)
		}, func(now time.Time) {
			if now.Sub(start) < from {
				return
			}
			limit := k.Limit(now, "u", modelSlots)
			steps++
			r.mean += float64(limit)
			r.lowest = min(r.lowest, limit)
			if limit < modelSlots {
				r.below++
			}
		})
	}
	r.below /= float64(steps)
	r.mean /= float64(steps)
	GinkgoWriter.Printf("%+v\n", r)
	return r
}

var _ = Describe("Keeper in a model of an upstream", func() {
	DescribeTable("finds a knee at a third of the slots", func(m model) {
		m.lengths = 0.5
		r := measure(m, 10*time.Second, 30*time.Second)
		Expect(r.mean).To(BeNumerically(">=", 7))
		Expect(r.mean).To(BeNumerically("<=", 16))
		Expect(r.lowest).To(BeNumerically(">=", 4))
	},
		Entry("as stated by the upstream", model{knee: fixedKnee(8), factor: 1, clients: clientWaves(2, 24, 500*time.Millisecond)}),
		Entry("in longer waves", model{knee: fixedKnee(8), factor: 1, clients: clientWaves(2, 24, 2*time.Second)}),
		Entry("of an upstream that always takes 1.7 times the usual", model{knee: fixedKnee(8), factor: 1.7, clients: clientWaves(2, 24, 2*time.Second)}),
		Entry("of one that always takes 0.7 times the usual", model{knee: fixedKnee(8), factor: 0.7, clients: clientWaves(2, 24, 2*time.Second)}),
		Entry("beside slow periods", model{knee: fixedKnee(8), factor: 1, noise: true, clients: clientWaves(2, 24, 500*time.Millisecond)}),
		Entry("if the gateway's measurement shows it, too", model{knee: fixedKnee(8), factor: 1, own: true, clients: clientWaves(2, 24, 2*time.Second)}),
	)

	// Guards against limits lowered by what doesn't depend on concurrency.
	DescribeTable("keeps the slots of an upstream without a knee", func(m model) {
		m.knee, m.lengths = fixedKnee(noKnee), 0.5
		Expect(measure(m, 0, 300*time.Second)).To(Equal(result{lowest: modelSlots, mean: modelSlots}))
	},
		Entry("whose demand swings", model{factor: 1, clients: clientWaves(2, 24, 2*time.Second)}),
		Entry("with slow periods and short waves", model{factor: 1, noise: true, clients: clientWaves(2, 24, 500*time.Millisecond)}),
		Entry("with slow periods and waves", model{factor: 1, noise: true, clients: clientWaves(2, 24, 2*time.Second)}),
		Entry("with slow periods and long waves", model{factor: 1, noise: true, clients: clientWaves(2, 24, 6*time.Second)}),
		Entry("with slow periods in the gateway's measurement, too", model{factor: 1, noise: true, own: true, clients: clientWaves(2, 24, 2*time.Second)}),
		Entry("always slow, with slow periods", model{factor: 1.7, noise: true, own: true, clients: clientWaves(2, 24, 2*time.Second)}),
		Entry("always fast, with slow periods", model{factor: 0.7, noise: true, own: true, clients: clientWaves(2, 24, 2*time.Second)}),
	)

	// Names the load: requests keep arriving at the same rate while the upstream is slow, so
	// that concurrency follows the time as if the time followed it. The limit may then be too
	// low for a moment, as it only orders choices.
	DescribeTable("is seldom misled if slow periods raise the concurrency", func(m model, maxBelow float64) {
		m.knee, m.noise, m.lengths = fixedKnee(noKnee), true, 0.5
		Expect(measure(m, 0, 300*time.Second).below).To(BeNumerically("<=", maxBelow))
	},
		Entry("by what the upstream states", model{factor: 1, arrivals: waves(80, 80, time.Second)}, 0.01),
		Entry("in long waves, always slow", model{factor: 1.7, own: true, arrivals: waves(20, 100, 2*time.Second)}, 0.01),
		Entry("in waves", model{factor: 0.7, arrivals: waves(50, 200, 500*time.Millisecond)}, 0.02),
		Entry("by the gateway's measurement, too", model{factor: 1, own: true, arrivals: waves(80, 80, time.Second)}, 0.1),
	)

	// Guards against a limit that outlives its cause, and against one that comes much too late.
	It("follows a knee that appears, moves and disappears", func() {
		m := model{factor: 1, lengths: 0.5, clients: clientWaves(2, 24, 500*time.Millisecond), knee: func(after time.Duration) float64 {
			switch {
			case after < 10*time.Second:
				return noKnee
			case after < 20*time.Second:
				return 8
			case after < 30*time.Second:
				return 11
			}
			return noKnee
		}}
		Expect(measure(m, 0, 10*time.Second).lowest).To(Equal(modelSlots))
		Expect(measure(m, 17*time.Second, 20*time.Second).mean).To(BeNumerically("~", 9, 2))
		Expect(measure(m, 24*time.Second, 30*time.Second).mean).To(BeNumerically("~", 12, 3))
		Expect(measure(m, 36*time.Second, 40*time.Second).lowest).To(Equal(modelSlots))
	})

	It("has the slots as its limit without evidence at several levels", func() {
		Expect(measure(model{factor: 1, knee: fixedKnee(8), clients: clientWaves(20, 20, time.Second)}, 0, 20*time.Second).lowest).To(Equal(modelSlots))
	})

	// Guards against estimates of each gateway of its own, for which 68 have too few responses.
	It("finds a knee from what 68 gateways report, 100 ms late", func() {
		const gateways = 68
		m := model{factor: 1, lengths: 0.5, random: rand.New(rand.NewSource(1)), knee: fixedKnee(8), clients: clientWaves(2, 24, 500*time.Millisecond)}
		var all []*Keeper
		for range gateways {
			all = append(all, New())
		}
		collector, reader := New(), New()
		type late struct {
			at      time.Time
			deliver func(now time.Time)
		}
		var mail []late
		lowest, steps := modelSlots, 0
		m.run(15*time.Second, func(now time.Time, running int, relativeTime float64) {
			all[m.random.Intn(gateways)].Observe(now, "u", running, modelSlots, relativeTime)
		}, func(now time.Time) {
			steps++
			if from := steps % 125; from < gateways {
				sums := all[from].Own(now)
				mail = append(mail, late{now.Add(100 * time.Millisecond), func(now time.Time) {
					collector.Learn(now, currantwood.VMID(fmt.Sprint(from)), sums)
				}})
			}
			if steps%125 == 0 {
				limits := collector.All(now)
				mail = append(mail, late{now.Add(100 * time.Millisecond), func(now time.Time) { reader.LearnLimits(now, limits) }})
			}
			for len(mail) > 0 && !now.Before(mail[0].at) {
				mail[0].deliver(now)
				mail = mail[1:]
			}
			if now.Sub(start) > 10*time.Second {
				lowest = min(lowest, reader.Limit(now, "u", modelSlots))
			}
		})
		Expect(lowest).To(BeNumerically("~", 9, 2))
	})
})

var _ = Describe("Keeper", func() {
	It("has the slots as the limit of an upstream that isn't known", func() {
		k := New()
		Expect(k.Limit(start, "u", 24)).To(Equal(24))
		Expect(k.Limit(start, "u", 0)).To(Equal(1))
	})

	// Guards against groups that are served differently although they report nothing.
	DescribeTable("ignores figures that say nothing", func(running, slots int, relativeTime float64) {
		k := New()
		k.Observe(start, "u", running, slots, relativeTime)
		Expect(k.own).To(BeEmpty())
	},
		Entry("no time", 3, 24, 0.0),
		Entry("a negative time", 3, 24, -1.0),
		Entry("a time that isn't a number", 3, 24, math.NaN()),
		Entry("an infinite time", 3, 24, math.Inf(1)),
		Entry("nothing that runs", 0, 24, 1.0),
		Entry("no slots", 3, 0, 1.0),
	)

	It("bounds limits by 1 and the slots", func() {
		k := New()
		k.LearnLimits(start, Limits{"u": 0.001, "v": 0.99})
		Expect(k.Limit(start, "u", 24)).To(Equal(1))
		Expect(k.Limit(start, "v", 24)).To(Equal(24))
		Expect(k.Limit(start, "v", 0)).To(Equal(1))
		Expect(k.Limit(start, "w", 24)).To(Equal(24))
		Expect(k.Limited(start)).To(Equal(2))
		Expect(k.Limited(start.Add(time.Minute))).To(Equal(0))
	})

	// Guards against limits that outlive the collector.
	It("drops the collector's limits if no digest arrives", func() {
		k := New()
		for after := time.Duration(0); after <= time.Second; after += 250 * time.Millisecond {
			k.LearnLimits(start.Add(after), Limits{"u": 0.5})
		}
		Expect(k.Limit(start.Add(3*time.Second), "u", 24)).To(Equal(12))
		Expect(k.Limit(start.Add(3*time.Second+time.Millisecond), "u", 24)).To(Equal(24))
	})

	// Guards against limits that lapse between the digests of a large fleet.
	It("keeps the limits for longer if digests arrive seldom", func() {
		k := New()
		for after := time.Duration(0); after <= 21*time.Second; after += 7 * time.Second {
			k.LearnLimits(start.Add(after), Limits{"u": 0.5})
		}
		Expect(k.Limit(start.Add(27*time.Second), "u", 24)).To(Equal(12))
		Expect(k.Limit(start.Add(42*time.Second), "u", 24)).To(Equal(24))
	})

	It("reports upstreams with more than a quarter of their slots in use", func() {
		k := New()
		k.Observe(start, "busy", 8, 24, 1)
		k.Observe(start, "idle", 3, 24, 1)
		Expect(k.Own(start)).To(HaveLen(1))
		Expect(k.Own(start)).To(HaveKey(currantwood.UpstreamID("busy")))
	})

	// Guards against sums that drift away from the reports as these replace each other.
	It("has the sums of the reports of the last two seconds after long", func() {
		k := New()
		random := rand.New(rand.NewSource(1))
		reports := make(map[currantwood.VMID]report)
		now := start
		for range 20_000 {
			now = now.Add(time.Duration(random.Intn(20)) * time.Millisecond)
			vm := currantwood.VMID(fmt.Sprint(random.Intn(1 + random.Intn(30))))
			sums := make(Sums)
			for range 5 {
				weight := 100 * random.Float64()
				sums[currantwood.UpstreamID(fmt.Sprint(random.Intn(8)))] = sumAt(random.Intn(Levels), Level{Weight: weight, Running: weight / 2, Speed: weight})
			}
			k.Learn(now, vm, sums)
			reports[vm] = report{now, sums}
		}
		now = now.Add(sweepInterval)
		k.Learn(now, "0", nil)
		delete(reports, "0")
		for upstream := range 8 {
			id := currantwood.UpstreamID(fmt.Sprint(upstream))
			var want Sum
			for _, r := range reports {
				if sum := r.sums[id]; now.Sub(r.at) <= reportMaxAge {
					want.add(&sum, decay(now.Sub(r.at)))
				}
			}
			got := k.sum(now, id)
			Expect(got.Weight()).To(BeNumerically("~", want.Weight(), 1e-6*(1+want.Weight())))
		}
	})

	// Guards against the memory and time that observations of an idle upstream take in every
	// state.
	It("drops own observations that have no weight any more", func() {
		k := New()
		k.Observe(start, "u", 20, 24, 2)
		Expect(k.Own(start.Add(time.Second))).To(HaveLen(1))
		Expect(k.Own(start.Add(time.Minute))).To(BeEmpty())
		Expect(k.own).To(BeEmpty())
	})

	// Guards against reports that a gateway keeps for good once it is no longer the collector.
	It("drops old reports if no more arrive", func() {
		k := New()
		k.Learn(start, "a", Sums{"u": sumAt(0, Level{Weight: 10, Running: 9, Speed: 10})})
		k.Learn(start, "b", Sums{"v": sumAt(0, Level{Weight: 10, Running: 9, Speed: 10})})
		k.Own(start.Add(3 * time.Second))
		Expect(k.reports).To(BeEmpty())
		Expect(k.reported).To(BeEmpty())
	})

	// Guards against estimates of upstreams that only other gateways know, which Forget meets
	// only when the known ones change.
	It("drops estimates that are back at the slots and get no observations", func() {
		k := New()
		k.estimates["u"] = &estimate{share: 0.5, setAt: start, evaluatedAt: start}
		k.Own(start.Add(3 * time.Second))
		Expect(k.estimates).To(HaveLen(1))
		k.Own(start.Add(4 * time.Second))
		Expect(k.estimates).To(BeEmpty())
	})

	// Guards against limits that end between the digests of a large fleet since one of them
	// arrived twice.
	It("keeps limits that arrive seldom if a digest arrives twice", func() {
		k := New()
		for after := time.Duration(0); after <= 21*time.Second; after += 7 * time.Second {
			k.LearnLimits(start.Add(after), Limits{"u": 0.5})
		}
		k.LearnLimits(start.Add(21*time.Second+time.Millisecond), Limits{"u": 0.5})
		Expect(k.Limit(start.Add(27*time.Second), "u", 24)).To(Equal(12))
	})

	// Guards against sums that aren't numbers and reports that never become too old.
	It("drops reports from before the clock went back", func() {
		k := New()
		sums := Sums{"u": sumAt(0, Level{Weight: 10, Running: 9, Speed: 10})}
		k.Learn(start.Add(time.Hour), "a", sums)
		k.Learn(start, "b", sums)
		sum := k.sum(start, "u")
		Expect(sum.Weight()).To(BeNumerically("~", 10, 1e-6))
		Expect(k.reports).To(HaveLen(1))
	})

	It("drops upstreams that are gone", func() {
		k := New()
		k.Observe(start, "u", 20, 24, 2)
		k.estimates["u"] = &estimate{share: 0.5, setAt: start}
		k.Forget(func(currantwood.UpstreamID) bool { return false })
		Expect(k.Own(start)).To(BeEmpty())
		Expect(k.Limit(start, "u", 24)).To(Equal(24))
	})
})

// sumAt returns a sum with one level.
func sumAt(i int, l Level) Sum {
	var sum Sum
	sum[i] = l
	return sum
}
