package limitkeeper

import (
	"fmt"
	"testing"
	"time"

	"github.com/currantwood/currantwood"
)

// BenchmarkLearn learns the reports that a collector of 68 gateways with 50 upstreams gets
// in a second.
func BenchmarkLearn(b *testing.B) {
	const gateways, upstreams, reports = 68, 50, 4
	sums := make(Sums)
	for i := range upstreams {
		var sum Sum
		for level := range Levels {
			sum[level] = Level{Weight: 0.5, Running: 0.3, Speed: 0.5}
		}
		sums[currantwood.UpstreamID(fmt.Sprintf("e%02d", i))] = sum
	}
	var names []currantwood.VMID
	for i := range gateways {
		names = append(names, currantwood.VMID(fmt.Sprintf("vm-%04d", i)))
	}
	k := New()
	now := start
	for b.Loop() {
		for i := range gateways * reports {
			now = now.Add(time.Second / (gateways * reports))
			k.Learn(now, names[i%gateways], sums)
		}
	}
}

// BenchmarkObserve notes one response, which a gateway does for each request.
func BenchmarkObserve(b *testing.B) {
	k := New()
	now := start
	for b.Loop() {
		now = now.Add(10 * time.Millisecond)
		k.Observe(now, "u", 1+now.Nanosecond()/10_000_000%24, 24, 1.3)
	}
}
