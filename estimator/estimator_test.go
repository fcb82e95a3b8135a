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

// observeLognormal observes n lognormal lengths of a customer, one each second.
// It returns the time of the last one.
func observeLognormal(e *estimator.Estimator, from time.Time, customer string, median float64, n int) time.Time {
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

	DescribeTable("learns a customer's quantiles to within 20%",
		func(quantile, z float64) {
			observeLognormal(e, start, "farm", 400, 400)
			want := 400 * math.Exp(0.5*z)
			Expect(e.Remaining("farm", "plans", 0, quantile)).To(BeNumerically("~", want, want/5))
		},
		Entry("median", 0.5, 0.0),
		Entry("90th percentile", 0.9, 1.2816),
		Entry("10th percentile", 0.1, -1.2816),
	)

	It("learns a shift of lengths, an hour after the last stream, within 60 streams", func() {
		shiftAt := observeLognormal(e, start, "farm", 100, 500)
		observeLognormal(e, shiftAt.Add(time.Hour), "farm", 800, 60)
		Expect(e.Remaining("farm", "plans", 0, 0.5)).To(BeNumerically(">", 500))
	})

	It("uses the rule's lengths for a new customer and the global ones for a new rule", func() {
		observeLognormal(e, start, "farm", 60, 400)
		Expect(e.Remaining("new", "plans", 0, 0.5)).To(BeNumerically("~", 60, 15))
		Expect(e.Remaining("new", "other", 0, 0.5)).To(BeNumerically("~", 60, 20))
	})

	It("predicts a remaining length for a stream longer than all observed ones", func() {
		observeLognormal(e, start, "farm", 100, 400)
		Expect(e.Remaining("farm", "plans", 5000, 0.9)).To(BeNumerically(">", 50))
	})

	It("keeps at most MaxPairs pairs", func() {
		options := estimator.DefaultOptions()
		options.MaxPairs = 64
		e = estimator.New(options)
		for i := range 10_000 {
			customer := currantwood.CustomerID(fmt.Sprint(i))
			e.Observe(start.Add(time.Duration(i)*time.Second), customer, "plans", 50)
		}
		Expect(e.Pairs()).To(BeNumerically("<=", 64))
	})

	It("has non-increasing survival and remaining lengths ordered by quantile", func() {
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
				t.Fatalf("the 90th percentile is below the median after %d tokens", soFar)
			}
		})
	})
})

// BenchmarkRemaining measures the cost of a query by the number of customers.
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

// BenchmarkObserve measures the cost of recording a finished stream and of a
// query that follows it.
func BenchmarkObserve(b *testing.B) {
	e := estimator.New(estimator.DefaultOptions())
	b.ReportAllocs()
	for b.Loop() {
		e.Observe(start, "farm", "plans", 300)
		e.Remaining("farm", "plans", 100, 0.9)
	}
}
