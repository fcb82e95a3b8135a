package estimator_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/estimator"
)

var start = time.Date(2026, 1, 5, 9, 0, 0, 0, time.UTC)

// feed gives lognormal lengths to one customer and rule, one a second.
func feed(e *estimator.Estimator, from time.Time, customer string, median float64, n int) time.Time {
	source := rand.New(rand.NewPCG(1, 2))
	for range n {
		from = from.Add(time.Second)
		length := median * math.Exp(0.5*source.NormFloat64())
		e.Observe(from, currantwood.CustomerID(customer), "plans", currantwood.TokenCount(length))
	}
	return from
}

var _ = Describe("Estimator", func() {
	var e *estimator.Estimator
	BeforeEach(func() { e = estimator.New(estimator.DefaultOptions()) })

	DescribeTable("learns a customer's lengths to within a fifth",
		func(quantile, z float64) {
			feed(e, start, "farm", 400, 400)
			want := 400 * math.Exp(0.5*z)
			Expect(e.Remaining("farm", "plans", 0, quantile)).To(BeNumerically("~", want, want/5))
		},
		Entry("at the median", 0.5, 0.0),
		Entry("at the ninth decile", 0.9, 1.2816),
		Entry("at the first decile", 0.1, -1.2816),
	)

	It("learns a shift of lengths at noon within sixty streams", func() {
		noon := feed(e, start, "farm", 100, 500)
		feed(e, noon.Add(time.Hour), "farm", 800, 60)
		Expect(e.Remaining("farm", "plans", 0, 0.5)).To(BeNumerically(">", 500))
	})

	It("gives a new customer the rule's lengths, and a new rule everyone's", func() {
		feed(e, start, "farm", 60, 400)
		Expect(e.Remaining("new", "plans", 0, 0.5)).To(BeNumerically("~", 60, 15))
		Expect(e.Remaining("new", "other", 0, 0.5)).To(BeNumerically("~", 60, 20))
	})

	It("expects more of a stream that has outlived the usual length", func() {
		feed(e, start, "farm", 100, 400)
		Expect(e.Remaining("farm", "plans", 5000, 0.9)).To(BeNumerically(">", 50))
	})

	It("keeps no more pairs than it may", func() {
		options := estimator.DefaultOptions()
		options.MaxPairs = 64
		e = estimator.New(options)
		for i := range 10_000 {
			customer := currantwood.CustomerID(fmt.Sprint(i))
			e.Observe(start.Add(time.Duration(i)*time.Second), customer, "plans", 50)
		}
		Expect(e.Pairs()).To(BeNumerically("<=", 64))
	})

	It("has survival that never rises and remaining lengths in order of quantile", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			e := estimator.New(estimator.DefaultOptions())
			for i, length := range rapid.SliceOf(rapid.Int64Range(1, 200_000)).Draw(t, "lengths") {
				e.Observe(start.Add(time.Duration(i)*time.Minute), "c", "r", currantwood.TokenCount(length))
			}
			curve := e.Curve("c", "r")
			soFar := currantwood.TokenCount(rapid.Int64Range(0, 300_000).Draw(t, "soFar"))
			last := 1.0
			for tokens := 1.0; tokens < 200_000; tokens *= 1.1 {
				s := curve.Survival(tokens)
				if s > last+1e-6 || s < 0 {
					t.Fatalf("survival %v after %v at %v tokens", s, last, tokens)
				}
				last = s
			}
			if curve.Remaining(soFar, 0.9) < curve.Remaining(soFar, 0.5) {
				t.Fatalf("the ninth decile is below the median after %d tokens", soFar)
			}
		})
	})
})

// BenchmarkRemaining shows the cost of a query over the number of customers.
func BenchmarkRemaining(b *testing.B) {
	for _, customers := range []int{10, 100, 1000, 9500} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			e := estimator.New(estimator.DefaultOptions())
			names := make([]currantwood.CustomerID, customers)
			for i := range names {
				names[i] = currantwood.CustomerID(fmt.Sprintf("customer-%d", i))
				e.Observe(start, names[i], "plans", currantwood.TokenCount(100+i))
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				e.Remaining(names[i%customers], "plans", 100, 0.9)
				i++
			}
		})
	}
}

// BenchmarkObserve shows the cost of a finished stream and the query after it.
func BenchmarkObserve(b *testing.B) {
	e := estimator.New(estimator.DefaultOptions())
	b.ReportAllocs()
	for b.Loop() {
		e.Observe(start, "farm", "plans", 300)
		e.Remaining("farm", "plans", 100, 0.9)
	}
}
