package estimator_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/estimator"
)

// BenchmarkMemory measures the heap bytes per pair of customer and rule, by the
// number of pairs.
func BenchmarkMemory(b *testing.B) {
	for _, pairs := range []int{1000, 3000, 9500, 28_500} {
		b.Run(fmt.Sprintf("pairs=%d", pairs), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			e := estimator.New(estimator.DefaultOptions())
			for i := range pairs {
				customer := currantwood.CustomerID(fmt.Sprintf("customer-%d", i))
				e.Observe(start, customer, "plans", 100)
				e.Remaining(customer, "plans", 10, 0.9)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				e.Remaining("customer-1", "plans", 10, 0.9)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(pairs), "B/pair")
		})
	}
}
