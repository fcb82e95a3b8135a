package capacity

import (
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/currantwood/currantwood/fitter"
)

// slope runs measure at each size and reports the line: the cost of one unit
// more, the fixed cost and the residual in percent.
func slope(b *testing.B, unit string, sizes []int, measure func(size int) float64) {
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
		b.ReportMetric(line.Fixed, "fixed")
		b.ReportMetric(100*line.Residual, "residual-%")
	}
}

// heldBytes returns the memory that stays in use after build, with its stacks.
func heldBytes(build func() any) float64 {
	before := inUse()
	kept := build()
	after := inUse()
	runtime.KeepAlive(kept)
	return after - before
}

func inUse() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc) + float64(stats.StackInuse)
}

// perCall returns the mean time of a call in nanoseconds, the best of some
// rounds, since others use this machine.
func perCall(calls int, call func()) float64 {
	const rounds = 5
	best := time.Duration(1 << 62)
	for range rounds {
		began := time.Now()
		for range calls {
			call()
		}
		best = min(best, time.Since(began))
	}
	return float64(best.Nanoseconds()) / float64(calls)
}

// cpuTime is the processor time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
