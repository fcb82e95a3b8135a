package noticekeeper

import (
	"math/rand"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/placement/warmupkeeper"
	"github.com/currantwood/currantwood/ratekeeper"
)

var start = time.Unix(1000, 0)

var zoneRegions = map[currantwood.ZoneID]currantwood.RegionID{"z1": "north", "z2": "south"}

// upstreamTarget returns an incarnation of the upstream "u" in zone z1.
func upstreamTarget(incarnation int64) Target {
	return Target{ID: "u", Group: "g", Zone: "z1", Incarnation: incarnation}
}

func newKeeper() *Keeper {
	return New(Options{Rates: ratekeeper.New(ratekeeper.Options{}, rand.New(rand.NewSource(1))), Regions: zoneRegions})
}

// step is one event: a response after some seconds, or, if from is set, what another
// gateway tells.
type step struct {
	after       float64
	incarnation int64
	leaving     bool
	pause       float64
	told        bool
}

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func apply(k *Keeper, steps []step) {
	for _, s := range steps {
		now, pause := at(s.after), time.Duration(s.pause*float64(time.Second))
		if !s.told {
			k.Observe(now, "u", s.incarnation, currantwood.UpstreamResponse{Leaving: s.leaving, Pause: pause})
			continue
		}
		notice := Notice{Incarnation: s.incarnation, Leaving: s.leaving}
		if pause > 0 {
			notice.PausedUntil = now.Add(pause)
		}
		k.Learn(now, "u", notice)
	}
}

var _ = Describe("Keeper of notices", func() {
	// Guards against a request that reaches an upstream in a region that its route or its
	// customer doesn't allow.
	DescribeTable("admits only upstreams in the allowed regions",
		func(zone currantwood.ZoneID, regions currantwood.RegionSet, admitted bool) {
			verdict := newKeeper().Check(start, Target{ID: "u", Zone: zone, Incarnation: 1}, regions)
			Expect(verdict.Admitted()).To(Equal(admitted))
			if !admitted {
				Expect(verdict).To(Equal(Verdict{Reason: OutsideRegions}))
			}
		},
		Entry("any region", currantwood.ZoneID("z1"), currantwood.AnyRegion(), true),
		Entry("its region", currantwood.ZoneID("z1"), currantwood.Regions("south", "north"), true),
		Entry("another region", currantwood.ZoneID("z2"), currantwood.Regions("north"), false),
		Entry("an unknown region", currantwood.ZoneID("z1"), currantwood.Regions("moon"), false),
		Entry("no region stated", currantwood.ZoneID("z1"), currantwood.RegionSet{}, false),
		Entry("an unknown zone, any region", currantwood.ZoneID("z9"), currantwood.AnyRegion(), true),
		Entry("an unknown zone", currantwood.ZoneID("z9"), currantwood.Regions("north"), false),
	)

	DescribeTable("answers",
		func(steps []step, after float64, incarnation int64, reason Reason, wait time.Duration) {
			k := newKeeper()
			apply(k, steps)
			Expect(k.Check(at(after), upstreamTarget(incarnation), currantwood.AnyRegion())).To(Equal(Verdict{Reason: reason, Wait: wait}))
		},
		Entry("an upstream that said nothing", nil, 0.0, int64(1), Accepts, time.Duration(0)),
		Entry("a leaving for good", []step{{0, 1, true, 0, false}, {1, 1, false, 0, false}}, 300.0, int64(1), Leaving, time.Duration(0)),
		Entry("a leaving after a pause that doesn't mention it", []step{{0, 1, true, 0, false}, {1, 1, false, 2, false}}, 5.0, int64(1), Leaving, time.Duration(0)),
		Entry("a leaving that ends with the incarnation", []step{{0, 1, true, 0, false}}, 1.0, int64(2), Accepts, time.Duration(0)),
		Entry("a late response of an earlier incarnation", []step{{0, 2, false, 5, false}, {1, 1, true, 0, false}}, 2.0, int64(2), Paused, 3*time.Second),
		Entry("a pause until its end", []step{{0, 1, false, 3, false}}, 2.0, int64(1), Paused, time.Second),
		Entry("a pause that is over", []step{{0, 1, false, 3, false}}, 3.0, int64(1), Accepts, time.Duration(0)),
		Entry("a pause after a success that was under way", []step{{0, 1, false, 3, false}, {1, 1, false, 0, false}}, 2.0, int64(1), Paused, time.Second),
		Entry("a pause after a shorter one", []step{{0, 1, false, 5, false}, {1, 1, false, 1, false}}, 2.0, int64(1), Paused, 3*time.Second),
		Entry("a pause after a longer one", []step{{0, 1, false, 2, false}, {1, 1, false, 5, false}}, 2.0, int64(1), Paused, 4*time.Second),
		Entry("a pause that a new incarnation doesn't have", []step{{0, 1, false, 5, false}}, 1.0, int64(2), Accepts, time.Duration(0)),
		Entry("a pause of hours", []step{{0, 1, false, 7200, false}}, 0.0, int64(1), Paused, maxPause),
		Entry("a pause that another gateway tells", []step{{0, 1, false, 3, true}}, 2.0, int64(1), Paused, time.Second),
		Entry("a pause of hours that another gateway tells", []step{{0, 1, false, 7200, true}}, 0.0, int64(1), Paused, maxPause),
		Entry("a leaving before a pause", []step{{0, 1, false, 5, false}, {1, 1, true, 0, true}}, 2.0, int64(1), Leaving, time.Duration(0)),
	)

	It("asks for the rate limit last", func() {
		rates := ratekeeper.New(ratekeeper.Options{}, rand.New(rand.NewSource(1)))
		k := New(Options{Rates: rates, Regions: zoneRegions})
		limited := currantwood.UpstreamResponse{RateLimit: currantwood.RateLimit{Known: true, Limited: true, PerSecond: 0.2}, Pause: time.Second}
		Expect(k.Observe(start, "u", 1, limited)).To(Equal(Change{Pause: true, RateLimit: true}))
		Expect(k.Check(start, upstreamTarget(1), currantwood.AnyRegion())).To(Equal(Verdict{Reason: Paused, Wait: time.Second}))
		k.Sent(start, "u")
		verdict := k.Check(at(1), upstreamTarget(1), currantwood.AnyRegion())
		Expect(verdict.Reason).To(Equal(RateLimited))
		Expect(verdict.Wait).To(BeNumerically(">", 0))
	})

	It("brings work back over a time", func() {
		k := newKeeper()
		apply(k, []step{{0, 1, false, 2, false}})
		Expect(k.ResumedShare(at(2), "u", 1)).To(BeZero())
		Expect(k.ResumedShare(at(3), "u", 1)).To(BeNumerically("~", 0.5, 0.01))
		Expect(k.ResumedShare(at(4), "u", 1)).To(BeEquivalentTo(1))
		Expect(k.ResumedShare(at(2), "u", 2)).To(BeEquivalentTo(1))
	})

	It("tells new notices for a while, and all of them to one that has just started", func() {
		k := newKeeper()
		apply(k, []step{{0, 1, true, 0, false}})
		k.Learn(at(0), "v", Notice{Incarnation: 1, PausedUntil: at(9)})
		Expect(k.Heard(at(1))).To(HaveLen(1))
		Expect(k.Known(at(1), false)).To(HaveLen(2))
		Expect(k.Heard(at(3))).To(BeEmpty())
		Expect(k.Known(at(3), false)).To(BeEmpty())
		Expect(k.Known(at(3), true)).To(HaveLen(2))
		Expect(k.Known(at(9), true)).To(HaveLen(1))
	})

	// Guards against gateways that lengthen a pause by the delay of each message in which
	// they tell it to each other.
	It("isn't paused longer by what gateways tell each other in turn", func() {
		a, b := newKeeper(), newKeeper()
		apply(a, []step{{0, 1, false, 3, false}})
		const delay = 50 * time.Millisecond
		for now := start; now.Before(at(4)); now = now.Add(delay) {
			for id, n := range a.Known(now, true) {
				b.Learn(now, id, Notice{Incarnation: n.Incarnation, Leaving: n.Leaving, PausedUntil: n.PausedUntil.Add(delay)})
			}
			for id, n := range b.Known(now, true) {
				a.Learn(now, id, Notice{Incarnation: n.Incarnation, Leaving: n.Leaving, PausedUntil: n.PausedUntil.Add(delay)})
			}
		}
		Expect(a.Check(at(3), upstreamTarget(1), currantwood.AnyRegion()).Admitted()).To(BeTrue())
		Expect(b.Check(at(3.1), upstreamTarget(1), currantwood.AnyRegion()).Admitted()).To(BeTrue())
	})

	It("reports the end of a pause once and forgets what no longer matters", func() {
		k := newKeeper()
		apply(k, []step{{0, 1, false, 1, false}})
		Expect(k.EndedPauses(at(0.5))).To(BeEmpty())
		Expect(k.EndedPauses(at(1))).To(ConsistOf(currantwood.UpstreamID("u")))
		Expect(k.EndedPauses(at(2))).To(BeEmpty())
		Expect(k.EndedPauses(at(4))).To(BeEmpty())
		Expect(k.entries).To(BeEmpty())
		apply(k, []step{{10, 1, true, 0, false}})
		k.EndedPauses(at(600))
		Expect(k.entries).To(HaveLen(1))
		k.EndedPauses(at(700))
		Expect(k.entries).To(BeEmpty())
	})

	// Guards against a request that reaches a cold upstream beyond this gateway's share: at
	// its pick, or at the moment of sending after a freeze.
	It("refuses a cold upstream beyond its rate, also at the moment of sending", func() {
		warmUps := warmupkeeper.New(warmupkeeper.Options{MinGateways: 1, Overage: 1.5, Slack: 5}, rand.New(rand.NewSource(1)))
		warmUps.SetLimit("g", 2)
		k := New(Options{Rates: ratekeeper.New(ratekeeper.Options{}, rand.New(rand.NewSource(1))), WarmUps: warmUps, Regions: zoneRegions})
		Expect(k.Check(start, upstreamTarget(1), currantwood.AnyRegion())).To(Equal(Verdict{}))
		warmUps.ApplyRecord(start, upstreamTarget(1).warmUp(), at(60))
		warmUps.SetFleet(at(10), nil, 1)
		Expect(k.Check(at(10), upstreamTarget(1), currantwood.AnyRegion())).To(Equal(Verdict{}))
		k.Sent(at(10), "u")
		verdict := k.Check(at(10), upstreamTarget(1), currantwood.AnyRegion())
		Expect(verdict.Reason).To(Equal(Cold))
		Expect(verdict.Wait).To(BeNumerically("~", 500*time.Millisecond, 100*time.Millisecond))
		Expect(k.CheckSending(at(10.05), at(10), upstreamTarget(1), currantwood.AnyRegion())).To(Equal(Verdict{}), "picked a moment ago")
		Expect(k.CheckSending(at(10.2), at(10), upstreamTarget(1), currantwood.AnyRegion()).Reason).To(Equal(Cold), "picked before a freeze")
		Expect(k.CheckSending(at(10.05), at(10), upstreamTarget(1), currantwood.Regions("south")).Reason).To(Equal(OutsideRegions))
		Expect(k.Check(at(60), upstreamTarget(1), currantwood.AnyRegion())).To(Equal(Verdict{}), "warm")
	})

	It("keeps a bounded number", func() {
		k := newKeeper()
		for n := range maxUpstreams + 10 {
			k.Observe(start, currantwood.UpstreamID(rune(n+1000)), 1, currantwood.UpstreamResponse{Leaving: true})
		}
		Expect(len(k.entries)).To(Equal(maxUpstreams))
	})
})
