package capacity

import (
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/currantwood/currantwood/fitter"
)

// reportSlope measures at each size, fits a line to the results and reports three
// metrics: its slope under the given unit, its intercept as "fixed" and the residual
// in percent of the mean as "residual-%".
func reportSlope(b *testing.B, unit string, sizes []int, measure func(size int) float64) {
	b.Helper()
	b.ReportMetric(0, "ns/op")
	for b.Loop() {
		f := fitter.New()
		for _, size := range sizes {
			f.Add(float64(size), measure(size))
		}
		line, err := f.Fit()
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(line.Slope, unit)
		b.ReportMetric(line.Intercept, "fixed")
		b.ReportMetric(100*line.RelativeError, "residual-%")
	}
}

// retainedBytes returns by how much build increases the memory in use, including the
// stacks of the goroutines that it starts.
func retainedBytes(build func() any) float64 {
	before := memoryInUse()
	kept := build()
	after := memoryInUse()
	runtime.KeepAlive(kept)
	return after - before
}

// memoryInUse returns the bytes of heap and stacks in use after a collection.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc) + float64(stats.StackInuse)
}

// nanosecondsPerCall returns the mean time of a call in the fastest of several rounds,
// since other processes may slow a round down.
func nanosecondsPerCall(calls int, call func()) float64 {
	const rounds = 5
	best := time.Duration(1 << 62)
	for range rounds {
		start := time.Now()
		for range calls {
			call()
		}
		best = min(best, time.Since(start))
	}
	return float64(best.Nanoseconds()) / float64(calls)
}

// cpuTime returns the processor time that this process has used, or 0 on an error.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
