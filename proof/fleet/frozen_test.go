package fleet_test

import (
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood/standin/engine"
)

// maxRoutingDelay is the longest time until a frozen upstream is taken out of routing.
const maxRoutingDelay = 6 * time.Second

var _ = Describe("A frozen upstream", func() {
	It("is taken out of routing within 6 seconds and then does not slow other requests", func() {
		sys := newSystem(nil)
		traffic := sys.startTraffic(42, 10)
		Eventually(traffic.served.Load, stepTimeout).Should(BeNumerically(">", 84))
		frozen := sys.engines()[0]
		frozen.SetFaults(engine.Faults{Freeze: true})
		// Wait for maxRoutingDelay.
		began := time.Now()
		Eventually(func() time.Duration { return time.Since(began) }, stepTimeout).Should(BeNumerically(">", maxRoutingDelay))

		var slowOrFailed atomic.Int64
		var wait sync.WaitGroup
		for i := range 150 {
			wait.Add(1)
			go func() {
				defer wait.Done()
				o := sys.send(i, "after", 10)
				if !o.succeeded() || o.duration > 2*time.Second {
					slowOrFailed.Add(1)
				}
			}()
		}
		wait.Wait()
		GinkgoWriter.Printf("%d of 150 requests failed or took more than 2 s\n", slowOrFailed.Load())
		// Each entry may send a few requests to probe whether the upstream is back.
		Expect(slowOrFailed.Load()).To(BeNumerically("<=", 2*len(sys.Entries)), "requests that failed or took more than 2 s")
		// Requests that waited at the frozen engine finish when it continues.
		frozen.SetFaults(engine.Faults{})
		traffic.stop()
		Expect(traffic.failed.Load()).To(BeZero())
	})

	It("is replaced by other upstreams for the requests that have no token yet", func() {
		expectServedElsewhere(300, 1, func(c engine.Counts) int64 { return c.Streams })
	})

	// A client that did not request a stream has received none of the tokens so far, so
	// the request may run again at another upstream.
	It("is replaced by other upstreams for requests without streaming that have tokens already", func() {
		expectServedElsewhere(60, 40, func(c engine.Counts) int64 { return int64(c.Tokens) })
	})
})

// expectServedElsewhere sends requests without streaming, freezes an engine once count
// of its counts is above 0, and expects every request to be served within 15 seconds.
func expectServedElsewhere(requests, tokens int, count func(engine.Counts) int64) {
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
	Eventually(func() int64 { return count(frozen.Counts()) }, stepTimeout, time.Millisecond).Should(BeNumerically(">", 0))
	frozen.SetFaults(engine.Faults{Freeze: true})
	wait.Wait()
	Expect(late.Load()).To(BeZero(), "requests that failed or took more than 15 s")
}
