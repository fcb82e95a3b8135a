package fleet_test

import (
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood/demonstrator"
	"github.com/currantwood/currantwood/standin/engine"
)

// crashMarker is the text in a prompt that crashes the engine that runs the request.
const crashMarker = "poison"

func crashCount(c engine.Counts) int64 { return c.Crashes }

// runningStreams returns how many streams were started and neither completed nor
// canceled. Streams that ended in a crash are included.
func runningStreams(c engine.Counts) int64 { return c.Streams - c.Completed - c.Canceled }

var _ = Describe("A request that crashes each engine that runs it", func() {
	DescribeTable("is quarantined after at most two crashes, then refused within 500 ms, and all other requests are served",
		func(harmless, restartMs, crashing int) {
			sys := newSystem(nil)
			sys.setFaults(engine.Faults{CrashOn: crashMarker, RestartMs: restartMs, LoadLagMs: loadLagMs})
			var done sync.WaitGroup
			results := make([][]outcome, harmless)
			for i := range harmless {
				done.Add(1)
				go func() {
					defer done.Done()
					results[i] = sys.resendWhileLost(i, fmt.Sprintf("summary %d", i), 40)
				}()
			}
			// At least 10 of the other requests run before the first crash, or all if there
			// are fewer.
			Eventually(func() int64 { return sys.sumCounts(runningStreams) }, stepTimeout).Should(BeNumerically(">=", min(harmless, 10)))
			for i := range crashing {
				prompt := fmt.Sprintf("%s %d", crashMarker, i)
				first := sys.send(i, prompt, 40)
				Expect(first.succeeded()).To(BeFalse())
				// Every entry refuses it as quarantined after at most 10 resends.
				for entry := range len(sys.Entries) {
					resent := sys.sendUntilQuarantined(entry, prompt)
					Expect(resent.kind).To(Equal("quarantined"))
					Expect(resent.ran).To(Equal("not-run"))
					Expect(resent.retryAfter).NotTo(BeEmpty())
					Expect(resent.duration).To(BeNumerically("<", 500*time.Millisecond))
				}
			}
			done.Wait()
			Expect(sys.sumCounts(crashCount)).To(BeNumerically("<=", 2*crashing))
			for i, outcomes := range results {
				last := outcomes[len(outcomes)-1]
				Expect(last.succeeded()).To(BeTrue(), "request %d: %+v", i, outcomes)
			}
		},
		Entry("an idle system", 0, 2000, 1),
		Entry("with others in flight", 28, 2000, 1),
		// More other requests than engines, and engines that restart fast.
		Entry("with more others than engines, that restart fast", 60, 50, 1),
		Entry("two such requests, one after the other", 28, 500, 2),
	)

	It("is refused by an entry that starts later", func() {
		sys := newSystem(nil)
		sys.setFaults(engine.Faults{CrashOn: crashMarker, RestartMs: 100, LoadLagMs: loadLagMs})
		sys.send(0, crashMarker, 40)
		Expect(sys.sendUntilQuarantined(1, crashMarker).kind).To(Equal("quarantined"))
		late, err := sys.StartEntry("entry-zz-late", sys.Entries[0].Region, "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(late.Kill)
		Eventually(late.Ready, stepTimeout).Should(Succeed())
		sys.Entries = []*demonstrator.Entry{late}
		Expect(sys.send(0, crashMarker, 40).kind).To(Equal("quarantined"))
		Expect(sys.sumCounts(crashCount)).To(BeNumerically("<=", 2))
	})
})

// sendUntilQuarantined sends a request until it is refused as quarantined and not
// run, at most 10 times, as a client does that doesn't know that the request crashes
// engines.
// It returns the last outcome.
func (sys *system) sendUntilQuarantined(entry int, prompt string) outcome {
	var o outcome
	for range 10 {
		o = sys.send(entry, prompt, 40)
		if o.kind == "quarantined" && o.ran == "not-run" {
			break
		}
	}
	return o
}
