package speedkeeper

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
		sums[currantwood.UpstreamID(fmt.Sprintf("e%02d", i))] = Sum{Weight: 2, Speed: 3}
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
