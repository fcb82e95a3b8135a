package speedkeeper

import (
	"fmt"
	"math/rand"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
)

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// observation is a response after some seconds.
type observation struct {
	after, relativeTime float64
}

// every returns observations of the same relative time in a span.
func every(interval, from, to, relativeTime float64) []observation {
	var all []observation
	for after := from; after < to; after += interval {
		all = append(all, observation{after, relativeTime})
	}
	return all
}

var _ = Describe("Keeper", func() {
	DescribeTable("estimates how long work takes",
		func(after, low, high float64, parts ...[]observation) {
			k := New()
			for _, part := range parts {
				for _, o := range part {
					k.Observe(at(o.after), "u", o.relativeTime)
				}
			}
			estimate := k.RelativeTime(at(after), "u")
			Expect(estimate).To(BeNumerically(">=", low))
			Expect(estimate).To(BeNumerically("<=", high))
		},
		// Guards against groups that are served differently although they report nothing.
		Entry("as usual without a report", 1.0, 1.0, 1.0),
		Entry("as usual if responses say nothing", 1.0, 1.0, 1.0, []observation{{0, 0}, {0.5, 0}}),
		Entry("by the first response", 0.0, 1.4, 1.7, []observation{{0, 1.7}}),
		Entry("of a slow upstream", 3.0, 1.6, 1.7, every(0.2, 0, 3, 1.7)),
		Entry("of a fast upstream", 3.0, 0.7, 0.75, every(0.2, 0, 3, 0.7)),
		// Guards against a choice that follows every short slow period of a shared machine.
		Entry("little changed by a slow period of 600 ms", 3.6, 0.7, 0.9, every(0.2, 0, 3, 0.7), every(0.2, 3, 3.6, 1.75)),
		// Guards against old knowledge that outlives the change of an upstream: 1.14 is the
		// time at the speed halfway between the old one and the new one.
		Entry("nearer to a lasting change than to the time before within two seconds", 5.0, 1.14, 3.0, every(0.1, 0, 3, 0.7), every(0.1, 3, 5, 3)),
		// Guards against an upstream that is avoided for good.
		Entry("as usual again once nothing was observed for long", 40.0, 1.0, 1.01, every(0.2, 0, 3, 2.5)),
	)

	It("knows what other gateways have observed, for a while", func() {
		a, b := New(), New()
		for _, o := range every(0.1, 0, 1, 2) {
			a.Observe(at(o.after), "u", o.relativeTime)
		}
		b.Learn(at(1), "a", a.Own(at(1)))
		Expect(b.RelativeTime(at(1), "u")).To(BeNumerically("~", a.RelativeTime(at(1), "u"), 0.01))
		Expect(b.Own(at(1))).To(BeEmpty())
		Expect(b.All(at(1))).To(HaveKey(currantwood.UpstreamID("u")))
		Expect(b.RelativeTime(at(1).Add(reportMaxAge+time.Second), "u")).To(Equal(1.0))
	})

	// Guards against estimates that lapse between the digests of a large fleet, which the
	// collector sends less often.
	It("keeps the reports of the only gateway that reports for longer if they arrive seldom", func() {
		k := New()
		for after := 0.0; after <= 21; after += 7 {
			k.Learn(at(after), "collector", Sums{"u": {Weight: 50, Speed: 25}})
		}
		Expect(k.RelativeTime(at(27), "u")).To(BeNumerically(">", 1.8))
		Expect(k.RelativeTime(at(42), "u")).To(Equal(1.0))
	})

	// Guards against estimates that lapse between digests since one of them arrived twice.
	It("keeps reports that arrive seldom if one arrives twice", func() {
		k := New()
		for _, after := range []float64{0, 7, 14, 21, 21.001} {
			k.Learn(at(after), "collector", Sums{"u": {Weight: 50, Speed: 25}})
		}
		Expect(k.RelativeTime(at(27), "u")).To(BeNumerically(">", 1.8))
	})

	// Guards against one lost report by which old observations count for longer.
	It("drops the reports after two seconds if a single one was late", func() {
		k := New()
		for _, after := range []float64{0, 0.25, 0.5, 1.9} {
			k.Learn(at(after), "collector", Sums{"u": {Weight: 50, Speed: 25}})
		}
		Expect(k.RelativeTime(at(3.8), "u")).To(BeNumerically(">", 1.8))
		Expect(k.RelativeTime(at(4), "u")).To(Equal(1.0))
	})

	It("replaces the former report of a gateway", func() {
		k := New()
		k.Learn(start, "a", Sums{"u": {Weight: 10, Speed: 30}})
		k.Learn(start, "b", Sums{"u": {Weight: 10, Speed: 10}})
		k.Learn(start, "a", Sums{"u": {Weight: 10, Speed: 10}})
		Expect(k.RelativeTime(start, "u")).To(Equal(1.0))
	})

	// Guards against sums that drift away from the reports as these replace each other.
	It("has the sums of the reports of the last two seconds after long", func() {
		k := New()
		random := rand.New(rand.NewSource(1))
		type kept struct {
			at   time.Time
			sums Sums
		}
		reports := make(map[currantwood.VMID]kept)
		now := start
		for range 20_000 {
			now = now.Add(time.Duration(random.Intn(20)) * time.Millisecond)
			// The last gateways are silent for most of the time.
			vm := currantwood.VMID(fmt.Sprint(random.Intn(1 + random.Intn(30))))
			sums := make(Sums)
			for range 5 {
				weight := 100 * random.Float64()
				sums[currantwood.UpstreamID(fmt.Sprint(random.Intn(8)))] = Sum{Weight: weight, Speed: weight * (0.5 + random.Float64())}
			}
			k.Learn(now, vm, sums)
			reports[vm] = kept{now, sums}
		}
		// An empty report evicts those that are too old.
		now = now.Add(sweepInterval)
		k.Learn(now, "0", nil)
		delete(reports, "0")
		for upstream := range 8 {
			id := currantwood.UpstreamID(fmt.Sprint(upstream))
			var want Sum
			for _, r := range reports {
				if age := now.Sub(r.at); age <= reportMaxAge {
					want = want.plus(r.sums[id].agedBy(age))
				}
			}
			Expect(k.RelativeTime(now, id)).To(BeNumerically("~", (priorWeight+want.Weight)/(priorWeight+want.Speed), 1e-6))
		}
	})

	It("drops upstreams that are gone", func() {
		k := New()
		k.Observe(start, "u", 2)
		k.Forget(func(currantwood.UpstreamID) bool { return false })
		Expect(k.Own(start)).To(BeEmpty())
	})
})
