package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood/forwarder"
	"github.com/currantwood/currantwood/standin/engine"
)

// retryShare is the number of retries that each client request permits in addition to
// the reserve. It is the default of retrier.
const retryShare = 0.1

func startedStreams(c engine.Counts) int64 { return c.Streams }

var _ = Describe("Retries", func() {
	DescribeTable("are at most the reserve plus a tenth of the clients' requests while half of the upstreams fail",
		func(inject func(e *engine.Engine)) {
			sys := newSystem(nil)
			traffic := sys.startTraffic(60, 10)
			Eventually(traffic.served.Load, stepTimeout).Should(BeNumerically(">", 60))
			engines := sys.engines()
			for began := time.Now(); time.Since(began) < 5*time.Second; {
				for _, e := range engines[:len(engines)/2] {
					inject(e)
				}
				time.Sleep(100 * time.Millisecond)
			}
			traffic.stop()
			requests := traffic.served.Load() + traffic.failed.Load()
			reserve := forwarder.DefaultRetryOptions().MaxBudget * float64(len(sys.Entries))
			GinkgoWriter.Printf("%d requests, %d failed, %d streams started at the engines\n", requests, traffic.failed.Load(), sys.sumCounts(startedStreams))
			Expect(float64(sys.sumCounts(startedStreams))).To(BeNumerically("<=", reserve+(1+retryShare)*float64(requests)))
			// The other half of the upstreams works.
			Expect(traffic.served.Load()).To(BeNumerically(">", requests/2))
		},
		Entry("crashing repeatedly", func(e *engine.Engine) { e.Crash() }),
		Entry("crashing repeatedly and restarting at once", func(e *engine.Engine) {
			e.SetFaults(engine.Faults{RestartMs: 1, LoadLagMs: loadLagMs})
			e.Crash()
		}),
		Entry("refusing requests", func(e *engine.Engine) { e.SetFaults(engine.Faults{Reject: true, LoadLagMs: loadLagMs}) }),
	)
})
