package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood/forwarder"
	"github.com/currantwood/currantwood/standin/engine"
)

func streams(c engine.Counts) int64 { return c.Streams }

var _ = Describe("Retries", func() {
	DescribeTable("add at most a tenth beyond the reserve while half of the upstreams are dead",
		func(strike func(e *engine.Engine)) {
			w := newWorld(nil)
			t := w.load(60, 10)
			Eventually(t.served.Load, bound).Should(BeNumerically(">", 60))
			engines := w.engines()
			for began := time.Now(); time.Since(began) < 5*time.Second; {
				for _, e := range engines[:len(engines)/2] {
					strike(e)
				}
				time.Sleep(100 * time.Millisecond)
			}
			t.stop()
			first := t.served.Load() + t.failed.Load()
			reserve := forwarder.DefaultRetries().Reserve * float64(len(w.Entries))
			GinkgoWriter.Printf("%d requests, %d failed, %d streams\n", first, t.failed.Load(), w.sum(streams))
			Expect(float64(w.sum(streams))).To(BeNumerically("<=", reserve+1.1*float64(first)))
			Expect(t.served.Load()).To(BeNumerically(">", first/2))
		},
		Entry("crashing again and again", func(e *engine.Engine) { e.Crash() }),
		Entry("back at once and crashing again", func(e *engine.Engine) {
			e.SetFaults(engine.Faults{RestartMs: 1, LoadLagMs: 500})
			e.Crash()
		}),
		Entry("refusing", func(e *engine.Engine) { e.SetFaults(engine.Faults{Reject: true, LoadLagMs: 500}) }),
	)
})
