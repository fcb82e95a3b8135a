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

// poison marks a request that crashes the engine that runs it.
const poison = "poison"

func crashes(c engine.Counts) int64 { return c.Crashes }

func running(c engine.Counts) int64 { return c.Streams - c.Completed - c.Cancelled }

var _ = Describe("A request that crashes each engine that runs it", func() {
	DescribeTable("is stopped after two crashes, its resend is answered at once, and all others are served",
		func(innocents, restartMs, culprits int) {
			w := newWorld(nil)
			w.setFaults(engine.Faults{CrashOn: poison, RestartMs: restartMs, LoadLagMs: 500})
			var served sync.WaitGroup
			results := make([][]outcome, innocents)
			for i := range innocents {
				served.Add(1)
				go func() {
					defer served.Done()
					results[i] = w.askUntilWhole(i, fmt.Sprintf("summary %d", i), 40)
				}()
			}
			Eventually(func() int64 { return w.sum(running) }, bound).Should(BeNumerically(">=", min(innocents, 10)))
			for culprit := range culprits {
				prompt := fmt.Sprintf("%s %d", poison, culprit)
				first := w.ask(culprit, prompt, 40)
				Expect(first.whole()).To(BeFalse())
				// Wherever the caller asks again, the answer is final.
				for entry := range len(w.Entries) {
					again := w.askUntilRefused(entry, prompt)
					Expect(again.kind).To(Equal("quarantined"))
					Expect(again.ran).To(Equal("not-run"))
					Expect(again.after).NotTo(BeEmpty())
					Expect(again.took).To(BeNumerically("<", 500*time.Millisecond))
				}
			}
			served.Wait()
			Expect(w.sum(crashes)).To(BeNumerically("<=", 2*culprits))
			for i, outcomes := range results {
				last := outcomes[len(outcomes)-1]
				Expect(last.whole()).To(BeTrue(), "innocent %d: %+v", i, outcomes)
			}
		},
		Entry("an idle system", 0, 2000, 1),
		Entry("with others in flight", 28, 2000, 1),
		Entry("with more others than engines, that restart fast", 60, 50, 1),
		Entry("two of them, one after the other", 28, 500, 2),
	)

	It("is known to an entry that starts later", func() {
		w := newWorld(nil)
		w.setFaults(engine.Faults{CrashOn: poison, RestartMs: 100, LoadLagMs: 500})
		w.ask(0, poison, 40)
		Expect(w.askUntilRefused(1, poison).kind).To(Equal("quarantined"))
		late, err := w.StartEntry("entry-zz-late", w.Entries[0].Region, "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(late.Kill)
		Eventually(late.Ready, bound).Should(Succeed())
		w.Entries = []*demonstrator.Entry{late}
		Expect(w.ask(0, poison, 40).kind).To(Equal("quarantined"))
		Expect(w.sum(crashes)).To(BeNumerically("<=", 2))
	})
})

// askUntilRefused asks again while the answer is that the request was lost to a
// crash, as the caller of a request does who doesn't know that it crashes.
func (w *world) askUntilRefused(entry int, prompt string) outcome {
	var o outcome
	for range 10 {
		o = w.ask(entry, prompt, 40)
		if o.kind == "quarantined" && o.ran == "not-run" {
			break
		}
	}
	return o
}
