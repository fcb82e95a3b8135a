package limiter_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/limiter"
	"github.com/currantwood/currantwood/proof/redlister"
)

func TestLimiter(t *testing.T) {
	RegisterFailHandler(Fail)
	redlister.Skipper{}.RunSpecs(t, "limiter")
}

var start = time.Date(2026, 1, 5, 9, 0, 0, 0, time.UTC)

// admit calls Admit for n requests and returns how many were admitted.
func admit(l *limiter.Limiter, now time.Time, customer string, n int) (admitted int) {
	for i := range n {
		demand := currantwood.Demand{
			Customer: currantwood.CustomerID(customer),
			Request:  currantwood.RequestID(fmt.Sprint(customer, now.UnixNano(), i)),
		}
		decision := l.Admit(now, demand)
		if decision.Refusal == nil {
			admitted++
			continue
		}
		Expect(decision.Refusal.Kind).To(Equal(currantwood.KindOverLimit))
		Expect(decision.Refusal.Ran).To(Equal(currantwood.NotRun))
		Expect(decision.Refusal.RetryAfter).To(BeNumerically(">", 0))
	}
	return admitted
}

var _ = Describe("Limiter", func() {
	var l *limiter.Limiter
	BeforeEach(func() { l = limiter.New(limiter.DefaultOptions()) })

	It("admits all requests while memory is free", func() {
		l.SetFreeMemory(100_000)
		l.Tick(start)
		Expect(admit(l, start, "flood", 100)).To(Equal(100))
	})

	It("limits a customer's streams across all entries", func() {
		l.SetCustomers([]currantwood.Customer{{ID: "a", Weight: 1, MaxStreams: 5}})
		l.RecordPeerUsage(start, "other", []limiter.Usage{{Customer: "a", InFlight: 2, HeldTokens: 800}})
		l.SetFreeMemory(100_000)
		l.Tick(start)
		Expect(admit(l, start, "a", 10)).To(Equal(3))
		l.Tick(start.Add(time.Minute))
		By("ignoring the old report of an entry that is gone")
		Expect(admit(l, start.Add(time.Minute), "a", 10)).To(Equal(2))
	})

	It("does not let one customer with many requests starve nine small customers while memory is scarce", func() {
		// A limiter that was told of no free memory has none.
		admit(l, start, "flood", 100)
		l.Tick(start)
		Expect(admit(l, start, "flood", 10)).To(BeZero())
		for i := range 9 {
			Expect(admit(l, start, fmt.Sprint("small-", i), 3)).To(Equal(3))
		}
		l.Tick(start.Add(time.Second))
		for i := range 9 {
			Expect(admit(l, start.Add(time.Second), fmt.Sprint("small-", i), 1)).To(Equal(1))
		}
		Expect(admit(l, start.Add(time.Second), "flood", 1)).To(BeZero())
	})

	It("learns how much memory a customer's requests hold on average", func() {
		for range 50 {
			admit(l, start, "a", 1)
			// This is the ID that admit gave the request.
			id := currantwood.RequestID(fmt.Sprint("a", start.UnixNano(), 0))
			l.Done(start.Add(2*time.Second), "a", id, 2000)
		}
		admit(l, start, "a", 1)
		Expect(l.Usages()).To(HaveLen(1))
		Expect(l.Usages()[0].HeldTokens).To(BeNumerically("~", 1000, 10))
	})

	It("never refuses a customer below its weighted share, whatever others request", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			l := limiter.New(limiter.DefaultOptions())
			n := rapid.IntRange(2, 12).Draw(t, "customers")
			weights := make([]uint32, n)
			var sum uint32
			var declared []currantwood.Customer
			for i := range weights {
				weights[i] = rapid.Uint32Range(1, 4).Draw(t, "weight")
				sum += weights[i]
				declared = append(declared, currantwood.Customer{ID: currantwood.CustomerID(fmt.Sprint(i)), Weight: weights[i]})
			}
			l.SetCustomers(declared)
			inFlight := make([]int, n)
			for i := range inFlight {
				inFlight[i] = admit(l, start, fmt.Sprint(i), rapid.IntRange(1, 60).Draw(t, "held"))
			}
			total := 0
			for _, count := range inFlight {
				total += count
			}
			now := start.Add(time.Second)
			l.Tick(now)
			for i := range inFlight {
				fair := total * int(weights[i]) / int(sum)
				if inFlight[i]+1 <= fair && admit(l, now, fmt.Sprint(i), 1) == 0 {
					t.Fatalf("customer %d was refused with %d requests in flight of a fair share of %d", i, inFlight[i], fair)
				}
			}
		})
	})
})

// BenchmarkAdmit measures Admit and Done at several numbers of customers. The largest is the
// target: 9,500 of the 10,000 lines of a rules text declare customers, see matcher.
func BenchmarkAdmit(b *testing.B) {
	for _, customers := range []int{10, 100, 1000, 9500} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			l, ids := newLimiterAndIDs(customers)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				demand := currantwood.Demand{Customer: ids[i%customers], Request: "r"}
				l.Admit(start, demand)
				l.Done(start.Add(time.Second), demand.Customer, "r", 400)
				i++
			}
		})
	}
}

// BenchmarkTick measures Tick at several numbers of customers.
func BenchmarkTick(b *testing.B) {
	for _, customers := range []int{10, 100, 1000, 9500} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			l, ids := newLimiterAndIDs(customers)
			for i, id := range ids {
				l.Admit(start, currantwood.Demand{Customer: id, Request: currantwood.RequestID(fmt.Sprint(i))})
			}
			b.ReportAllocs()
			for b.Loop() {
				l.Tick(start)
			}
		})
	}
}

// newLimiterAndIDs returns a limiter that knows no customers, and the IDs of the given number
// of customers.
func newLimiterAndIDs(customers int) (*limiter.Limiter, []currantwood.CustomerID) {
	l := limiter.New(limiter.DefaultOptions())
	ids := make([]currantwood.CustomerID, customers)
	for i := range ids {
		ids[i] = currantwood.CustomerID(fmt.Sprintf("customer-%d", i))
	}
	return l, ids
}
