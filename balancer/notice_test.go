package balancer

import (
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/noticekeeper"
)

var _ = Describe("Balancer with upstreams that give notice", func() {
	pause := func(d time.Duration) currantwood.UpstreamResponse {
		return currantwood.UpstreamResponse{Pause: d}
	}
	pick := func(b *Balancer, now time.Time) (Choice, error) {
		return b.Pick(now, Query{Group: "g", Regions: currantwood.AnyRegion(), Load: Load{Requests: 1}, Zone: "n1"})
	}

	It("passes over one that is leaving, even if all of the group are", func() {
		notices := noticekeeper.New(noticekeeper.Options{Rates: newRates()})
		b := newBalancerWithNotices(notices, "e1@n1")
		notices.Observe(start, "e1", 1, currantwood.UpstreamResponse{Leaving: true})
		_, err := pick(b, start)
		var refusal *RefusalError
		Expect(errors.As(err, &refusal)).To(BeTrue())
		Expect(*refusal).To(Equal(RefusalError{}))
	})

	It("names the earliest end if all of the group pause", func() {
		notices := noticekeeper.New(noticekeeper.Options{Rates: newRates()})
		b := newBalancerWithNotices(notices, "e1@n1", "e2@n1")
		notices.Observe(start, "e1", 1, pause(9*time.Second))
		notices.Observe(start, "e2", 1, pause(3*time.Second))
		_, err := pick(b, start.Add(time.Second))
		var refusal *RefusalError
		Expect(errors.As(err, &refusal)).To(BeTrue())
		Expect(refusal.Paused).To(BeTrue())
		Expect(refusal.RetryAfter).To(Equal(2 * time.Second))
		choice, err := pick(b, start.Add(3*time.Second))
		Expect(err).NotTo(HaveOccurred())
		Expect(choice.View.ID).To(Equal(currantwood.UpstreamID("e2")))
	})

	// Answers the load pattern of a group from whose upstreams one comes back from a
	// pause without load, while all others are busy.
	It("brings work back to it bit by bit", func() {
		notices := noticekeeper.New(noticekeeper.Options{Rates: newRates()})
		b := newBalancerWithNotices(notices, "e1@n1", "e2@n1", "e3@n1")
		notices.Observe(start, "e1", 1, pause(time.Second))
		share := func(from time.Time) float64 {
			back := 0
			for n := range 12 {
				now := from.Add(time.Duration(n) * time.Millisecond)
				choice, err := pick(b, now)
				Expect(err).NotTo(HaveOccurred())
				b.Started(now, choice.View, Load{Requests: 1}, time.Minute)
				if choice.View.ID == "e1" {
					back++
				}
			}
			return float64(back) / 12
		}
		Expect(share(start.Add(500 * time.Millisecond))).To(BeZero())
		Expect(share(start.Add(1001 * time.Millisecond))).To(BeNumerically("<", 0.34))
		Expect(share(start.Add(3 * time.Second))).To(BeNumerically(">", 0.6))
	})
})
