package fleet_test

import (
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood/standin/engine"
)

var _ = Describe("A frozen upstream", func() {
	It("is taken out of routing after some seconds and does not slow other requests", func() {
		sys := newSystem(nil)
		traffic := sys.startTraffic(42, 10)
		Eventually(traffic.served.Load, stepTimeout).Should(BeNumerically(">", 84))
		frozen := sys.engines()[0]
		frozen.SetFaults(engine.Faults{Freeze: true})
		began := time.Now()
		Eventually(func() time.Duration { return time.Since(began) }, stepTimeout).Should(BeNumerically(">", 6*time.Second))

		var slow atomic.Int64
		var wait sync.WaitGroup
		for i := range 150 {
			wait.Add(1)
			go func() {
				defer wait.Done()
				o := sys.send(i, "after", 10)
				if !o.succeeded() || o.duration > 2*time.Second {
					slow.Add(1)
				}
			}()
		}
		wait.Wait()
		GinkgoWriter.Printf("%d of 150 were slow\n", slow.Load())
		Expect(slow.Load()).To(BeNumerically("<=", 2*len(sys.Entries)), "slow requests: only the few that probe whether the upstream is back")
		// Requests that waited at the frozen engine finish when it continues.
		frozen.SetFaults(engine.Faults{})
		traffic.stop()
		Expect(traffic.failed.Load()).To(BeZero())
	})

	It("has the requests that it holds before their first token served by other upstreams", func() {
		expectServedElsewhere(300, 1, func(c engine.Counts) int64 { return c.Streams })
	})

	// A client that did not ask for a stream has got none of the tokens so far, so the
	// request may run again elsewhere.
	It("has the requests without streaming that it has begun served by other upstreams", func() {
		expectServedElsewhere(60, 40, func(c engine.Counts) int64 { return int64(c.Tokens) })
	})
})

// expectServedElsewhere freezes an engine once begun is above 0 there and expects
// every request to be served within 15 seconds.
func expectServedElsewhere(requests, tokens int, begun func(engine.Counts) int64) {
	sys := newSystem(nil)
	frozen := sys.engines()[0]
	var late atomic.Int64
	var wait sync.WaitGroup
	for i := range requests {
		wait.Add(1)
		go func() {
			defer wait.Done()
			if o := sys.send(i, "held", tokens); !o.succeeded() || o.duration > 15*time.Second {
				late.Add(1)
			}
		}()
	}
	Eventually(func() int64 { return begun(frozen.Counts()) }, stepTimeout, time.Millisecond).Should(BeNumerically(">", 0))
	frozen.SetFaults(engine.Faults{Freeze: true})
	wait.Wait()
	Expect(late.Load()).To(BeZero(), "requests that failed or took more than 15 s")
}
