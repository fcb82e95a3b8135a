package balancer

import (
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/ratekeeper"
	"github.com/currantwood/currantwood/upstreamkeeper"
)

var _ = Describe("Balancer with upstreams that limit their rate", func() {
	limit := currantwood.RateLimit{Known: true, Limited: true, PerSecond: 4}

	var rates *ratekeeper.Keeper
	BeforeEach(func() { rates = newRates() })

	// send picks upstreams for requests that come each interval and end at once, and
	// returns how many each got.
	send := func(b *Balancer, interval, duration time.Duration) (sent map[currantwood.UpstreamID]int, refused []*RefusalError) {
		sent = map[currantwood.UpstreamID]int{}
		for after := time.Duration(0); after < duration; after += interval {
			now := start.Add(after)
			rates.SetFleet(now, nil, 1)
			choice, err := b.Pick(now, Query{Group: "g", Regions: currantwood.AnyRegion(), Load: Load{Requests: 1}, Zone: "n1"})
			var refusal *RefusalError
			if errors.As(err, &refusal) {
				refused = append(refused, refusal)
				continue
			}
			sent[choice.View.ID]++
			b.Started(now, choice.View, Load{Requests: 1}, time.Second)
			b.Ended(now, choice.View, Load{Requests: 1}, Served)
		}
		return sent, refused
	}

	It("sends what is over to the one without a limit", func() {
		b := newBalancerWithRates(rates, "e1@n1", "e2@n1")
		rates.Observe(start, "e1", 1, limit)
		sent, refused := send(b, 20*time.Millisecond, 10*time.Second)
		Expect(refused).To(BeEmpty())
		Expect(sent["e1"]).To(BeNumerically("~", 40, 4))
		Expect(sent["e2"]).To(Equal(500 - sent["e1"]))
	})

	It("refuses what is over if all have one, and says when the next is accepted", func() {
		b := newBalancerWithRates(rates, "e1@n1", "e2@n1")
		rates.Observe(start, "e1", 1, limit)
		rates.Observe(start, "e2", 1, limit)
		sent, refused := send(b, 20*time.Millisecond, 10*time.Second)
		Expect(sent["e1"] + sent["e2"]).To(BeNumerically("~", 80, 6))
		Expect(refused).NotTo(BeEmpty())
		for _, r := range refused {
			Expect(r.RateLimited).NotTo(BeEmpty())
			Expect(r.RetryAfter).To(And(BeNumerically(">", 0), BeNumerically("<=", 250*time.Millisecond)))
		}
	})

	It("sends to an upstream without its limit once it has started again", func() {
		b := newBalancerWithRates(rates, "e1@n1")
		rates.Observe(start, "e1", 1, limit)
		restarted := view("e1", "n1")
		restarted.Incarnation = 2
		b.SetUpstreams([]upstreamkeeper.View{restarted})
		sent, refused := send(b, 20*time.Millisecond, time.Second)
		Expect(refused).To(BeEmpty())
		Expect(sent["e1"]).To(Equal(50))
	})
})
