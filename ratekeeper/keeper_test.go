package ratekeeper

import (
	"math/rand"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
)

var start = time.Unix(1000, 0)

func limitedTo(perSecond float64) currantwood.RateLimit {
	return currantwood.RateLimit{Known: true, Limited: true, PerSecond: perSecond}
}

var unlimited = currantwood.RateLimit{Known: true}

var _ = Describe("Keeper", func() {
	var k *Keeper
	BeforeEach(func() { k = New(Options{}, rand.New(rand.NewSource(1))) })

	// observation is what this gateway heard, or was told by the sums of all.
	type observation struct {
		after       time.Duration
		told        bool
		incarnation int64
		limit       currantwood.RateLimit
	}
	DescribeTable("believes the newest response of the incarnation that runs",
		func(limited bool, observations ...observation) {
			for _, o := range observations {
				at := start.Add(o.after)
				if o.told {
					k.SetFleet(at, Rates{"u": {Incarnation: o.incarnation, Limit: o.limit, At: at}}, 2)
				} else {
					k.Observe(at, "u", o.incarnation, o.limit)
				}
			}
			Expect(k.IsLimited("u", 2)).To(Equal(limited))
		},
		Entry("none", false),
		Entry("a limit", true, observation{incarnation: 2, limit: limitedTo(3)}),
		Entry("a limit of 0", true, observation{incarnation: 2, limit: limitedTo(0)}),
		Entry("a limit that another gateway heard", true, observation{told: true, incarnation: 2, limit: limitedTo(3)}),
		Entry("a limit that has ended", false, observation{incarnation: 2, limit: limitedTo(3)}, observation{after: time.Second, incarnation: 2, limit: unlimited}),
		Entry("one that ended for another gateway", false, observation{incarnation: 2, limit: limitedTo(3)}, observation{after: time.Second, told: true, incarnation: 2, limit: unlimited}),
		Entry("one whose end was heard before", true, observation{told: true, incarnation: 2, limit: unlimited}, observation{after: time.Second, incarnation: 2, limit: limitedTo(3)}),
		Entry("a response that says nothing of it", true, observation{incarnation: 2, limit: limitedTo(3)}, observation{after: time.Second, incarnation: 2}),
		Entry("a limit of the incarnation before", false, observation{incarnation: 1, limit: limitedTo(3)}),
		Entry("an end of the incarnation before", true, observation{incarnation: 2, limit: limitedTo(3)}, observation{after: time.Second, told: true, incarnation: 1, limit: unlimited}),
	)

	It("reports what it heard itself, not what it was told", func() {
		k.SetFleet(start, Rates{"u": {Incarnation: 2, Limit: limitedTo(3), At: start, Demand: 5, Recent: 4}}, 2)
		k.Want(start, []currantwood.UpstreamID{"u"})
		own := k.Own(start)["u"]
		Expect(own.Limit.Known).To(BeFalse())
		Expect(own.Incarnation).To(Equal(int64(2)))
		Expect(own.Demand).To(BeNumerically("~", 0.5, 0.01))
		Expect(own.Recent).To(BeZero())
	})

	It("drops a limit that has ended once all have heard, and those of upstreams that are gone", func() {
		k.Observe(start, "ended", 1, limitedTo(3))
		k.Observe(start, "ended", 1, unlimited)
		k.Observe(start, "gone", 1, limitedTo(3))
		k.SetFleet(start.Add(time.Second), nil, 1)
		Expect(k.Own(start)).To(HaveLen(2))
		k.SetFleet(start.Add(endRetention+time.Second), nil, 1)
		Expect(k.Own(start)).To(HaveLen(1))
		k.Forget(func(currantwood.UpstreamID) bool { return false })
		Expect(k.Own(start)).To(BeEmpty())
	})

	It("leaves the parts of gateways that aren't heard from until gatewayRetention has passed", func() {
		k.Observe(start, "u", 1, limitedTo(8))
		k.SetFleet(start, nil, 4)
		k.SetFleet(start.Add(time.Second), nil, 1)
		Expect(k.Share(start.Add(time.Second), "u")).To(BeNumerically("~", 2, 0.01))
		for age := time.Second; age < 3*gatewayRetention; age += time.Second {
			k.Observe(start.Add(age), "u", 1, limitedTo(8))
			k.SetFleet(start.Add(age), nil, 1)
		}
		Expect(k.Share(start.Add(3*gatewayRetention), "u")).To(BeNumerically("~", 8, 0.01))
	})

	// Guards against what was sent without a limit counted against the next one.
	It("has its share of a limit at once that is named again soon after it has ended", func() {
		k.Observe(start, "u", 1, limitedTo(5))
		k.Observe(start, "u", 1, unlimited)
		now := start
		for range 500 {
			now = now.Add(10 * time.Millisecond)
			Expect(k.Admits(now, "u", 1)).To(BeTrue())
			k.Sent(now, "u")
		}
		k.Observe(now, "u", 1, limitedTo(5))
		admitted := 0
		for range 200 {
			now = now.Add(10 * time.Millisecond)
			k.SetFleet(now, nil, 1)
			if k.Admits(now, "u", 1) {
				k.Sent(now, "u")
				admitted++
			}
		}
		Expect(admitted).To(BeNumerically("~", 10, 2))
	})

	// Guards against a time to come back that is too early while all gateways together
	// have sent what the limit allows.
	It("names at least the time of one request of all gateways if these have sent enough", func() {
		k.Observe(start, "u", 1, limitedTo(2))
		k.SetFleet(start.Add(10*time.Second), Rates{"u": {Incarnation: 1, Limit: limitedTo(2), At: start, Recent: 40}}, 1)
		now := start.Add(10 * time.Second)
		Expect(k.Admits(now, "u", 1)).To(BeFalse())
		Expect(k.Wait(now, "u")).To(BeNumerically(">=", 500*time.Millisecond))
	})

	// Names the load: a burst beyond the limit, after which nothing new comes.
	It("admits those that it refused in a burst when they were told to come back", func() {
		k.Observe(start, "u", 1, limitedTo(5))
		k.SetFleet(start, nil, 1)
		var returns []time.Duration
		for n := range 30 {
			now := start.Add(time.Duration(n) * 5 * time.Millisecond)
			k.Want(now, []currantwood.UpstreamID{"u"})
			if k.Admits(now, "u", 1) {
				k.Sent(now, "u")
				continue
			}
			returns = append(returns, now.Sub(start)+k.Wait(now, "u"))
			k.Promise(now, "u")
		}
		admitted := 0
		for _, at := range returns {
			now := start.Add(at)
			k.SetFleet(now, nil, 1)
			if k.Admits(now, "u", 1) {
				k.Sent(now, "u")
				admitted++
			}
		}
		Expect(len(returns)).To(BeNumerically(">", 20))
		Expect(float64(admitted)).To(BeNumerically(">=", 0.9*float64(len(returns))))
		Expect(returns[len(returns)-1]).To(BeNumerically("<", 12*time.Second))
	})
})
