package promiser_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/promiser"
	"github.com/currantwood/currantwood/proof/redlister"
)

func TestPromiser(t *testing.T) {
	RegisterFailHandler(Fail)
	redlister.Skipper{}.RunSpecs(t, "promiser")
}

var start = time.Date(2026, 1, 5, 9, 0, 0, 0, time.UTC)

var _ = Describe("Promiser", func() {
	var p *promiser.Promiser
	BeforeEach(func() {
		options := promiser.DefaultOptions()
		options.PromisedShare, options.InitialRate = 0.5, 4
		p = promiser.New(options)
	})
	// refused refuses n requests at start and returns the times to their slots.
	refused := func(customer string, weight uint32, n int) (times []time.Duration) {
		for i := range n {
			times = append(times, p.AssignSlot(start, currantwood.CustomerID(customer), weight, currantwood.Fingerprint(i), 0))
		}
		return times
	}

	It("assigns slots at the promised share of the rate", func() {
		const minDelay = 300 * time.Millisecond
		Expect(refused("a", 1, 3)).To(Equal([]time.Duration{minDelay, minDelay + 500*time.Millisecond, minDelay + time.Second}))
	})

	It("assigns no slot before atLeast; a request that is refused again before its slot keeps the slot", func() {
		Expect(p.AssignSlot(start, "a", 1, 1, 7*time.Second)).To(Equal(7 * time.Second))
		Expect(p.AssignSlot(start.Add(time.Second), "a", 1, 1, 0)).To(Equal(6 * time.Second))
	})

	It("recognizes a request in its slot once, and neither before nor long after it", func() {
		slots := refused("a", 1, 2)
		in := start.Add(slots[0])
		Expect(p.ClaimSlot(start, "a", 0)).To(BeFalse(), "too early")
		Expect(p.ClaimSlot(in, "b", 0)).To(BeFalse(), "another customer")
		Expect(p.ClaimSlot(in, "a", 7)).To(BeFalse(), "another input")
		Expect(p.ClaimSlot(in, "a", 0)).To(BeTrue())
		Expect(p.ClaimSlot(in, "a", 0)).To(BeFalse(), "taken")
		Expect(p.ClaimSlot(start.Add(time.Minute), "a", 1)).To(BeFalse(), "too late")
	})

	It("gives customers weighted shares, so that a flood of one customer delays only its own requests", func() {
		refused("flood", 1, 100)
		small := refused("small", 3, 4)
		Expect(small[3] - small[0]).To(BeNumerically("~", 2*time.Second, time.Millisecond))
		Expect(p.AssignSlot(start, "flood", 1, 1000, 0)).To(BeNumerically(">", 40*time.Second))
	})

	It("adapts to the rate at which streams end", func() {
		for i := range 400 {
			p.RecordStreamEnd(start.Add(time.Duration(i) * 50 * time.Millisecond))
		}
		times := refused("a", 1, 2)
		Expect(times[1] - times[0]).To(BeNumerically("~", 100*time.Millisecond, 5*time.Millisecond))
	})
})

// BenchmarkRefused measures a refusal by the number of customers with slots.
func BenchmarkRefused(b *testing.B) {
	for _, customers := range []int{10, 100, 1000, 9500} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			p := promiser.New(promiser.DefaultOptions())
			ids := make([]currantwood.CustomerID, customers)
			for i := range ids {
				ids[i] = currantwood.CustomerID(fmt.Sprintf("customer-%d", i))
				p.AssignSlot(start, ids[i], 1, 0, time.Hour)
			}
			i := 0
			for b.Loop() {
				p.AssignSlot(start, ids[i%customers], 1, currantwood.Fingerprint(i), 0)
				i++
			}
		})
	}
}
