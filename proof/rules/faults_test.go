package rules_test

import (
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/headkeeper"
	"github.com/currantwood/currantwood/publisher"
	"github.com/currantwood/currantwood/standin/logservice"
)

// faultCase is one publication in a world with a fault.
type faultCase struct {
	// retention is how long the log keeps records; 0 means longer than the test.
	retention time.Duration
	// run brings the fault, publishes and leaves the accepted head in w.head.
	run func(w *world)
}

var _ = DescribeTable("an accepted publication is in force in three regions within 8 s and stays so",
	func(c faultCase) {
		retention := c.retention
		if retention == 0 {
			retention = time.Hour
		}
		w := newWorld(retention)
		if c.retention > 0 {
			w.Log.SetFaults(logservice.Faults{RetentionMS: c.retention.Milliseconds()})
		}
		w.accept()
		w.expectInForce()
		c.run(w)
		took := w.expectInForce()
		AddReportEntry("in force", took.Round(time.Millisecond).String())
		w.accept()
		w.expectInForce()
	},
	Entry("without a fault", faultCase{run: func(w *world) { w.accept() }}),
	Entry("two operators race", faultCase{run: race}),
	Entry("two operators race and an answer is lost", faultCase{run: func(w *world) {
		w.Log.SetFaults(logservice.Faults{LoseAnswers: 1})
		race(w)
	}}),
	Entry("the answer to the append is lost", faultCase{run: func(w *world) {
		w.Log.SetFaults(logservice.Faults{LoseAnswers: 1})
		w.accept()
	}}),
	Entry("the answer is lost and readers lag, so that it is appended again", faultCase{run: func(w *world) {
		w.Log.SetFaults(logservice.Faults{LoseAnswers: 2, ReadLagMS: 500})
		w.accept()
	}}),
	Entry("a writer wakes and appends a stale checkpoint after a newer publication", faultCase{run: func(w *world) {
		stale, err := w.keeper().Checkpoint(time.Now())
		Expect(err).NotTo(HaveOccurred())
		w.accept()
		_, err = w.log.Append(w.ctx, headkeeper.Stream, stale)
		Expect(err).NotTo(HaveOccurred())
		w.replaceAll()
	}}),
	Entry("records expire, a stale checkpoint is left, and all processes are replaced at once", faultCase{
		retention: 3 * time.Second, run: expireAll}),
	Entry("the log is down right after the acceptance and long after, all VMs are replaced", faultCase{run: func(w *world) {
		result := w.accept()
		w.Log.SetFaults(logservice.Faults{Down: true})
		w.announce(result)
		w.expectInForce()
		w.replaceAll()
		w.Log.SetFaults(logservice.Faults{})
	}}),
	Entry("no reader sees the record before the log goes down", faultCase{run: func(w *world) {
		for _, region := range w.regions() {
			w.Part(region)
		}
		result := w.accept()
		w.Log.SetFaults(logservice.Faults{Down: true})
		for _, region := range w.regions() {
			w.Join(region)
		}
		w.announce(result)
		w.expectInForce()
		w.Log.SetFaults(logservice.Faults{})
	}}),
	Entry("a region is cut off and back", faultCase{run: func(w *world) {
		w.Part("Montego")
		w.accept()
		Eventually(w.behind).WithTimeout(inForceWithin).Should(HaveLen(w.cutOff("Montego")))
		w.accept()
		w.Join("Montego")
	}}),
	Entry("a region is cut off and back while the log is down", faultCase{run: func(w *world) {
		w.Part("Mandeville")
		w.accept()
		Eventually(w.behind).WithTimeout(inForceWithin).Should(HaveLen(w.cutOff("Mandeville")))
		w.Log.SetFaults(logservice.Faults{Down: true})
		w.Join("Mandeville")
		w.expectInForce()
		w.Log.SetFaults(logservice.Faults{})
	}}),
)

// race lets two operators publish over the same head at the same time.
func race(w *world) {
	edits := []publisher.Edit{w.edit(w.head, "Marcia Reid"), w.edit(w.head, "Devon Clarke")}
	results := make([]publisher.Result, len(edits))
	var work sync.WaitGroup
	for i := range edits {
		work.Go(func() {
			defer GinkgoRecover()
			results[i] = w.publish(edits[i])
		})
	}
	work.Wait()
	won, lost := 0, 1
	if results[1].Outcome == publisher.Accepted {
		won, lost = 1, 0
	}
	Expect(results[won].Outcome).To(Equal(publisher.Accepted))
	Expect(results[lost].Outcome).To(Equal(publisher.Conflict))
	Expect(results[lost].First.PublishedBy).To(Equal(edits[won].PublishedBy))
	Expect(results[lost].Head.Text).To(Equal(edits[won].Text))
	w.head = publisher.Base{Revision: results[won].Revision, Publication: results[won].Publication}
}

// expireAll leaves nothing of the publication in the log but checkpoints, the
// last one stale, and no process that remembers it.
func expireAll(w *world) {
	writer := w.keeper()
	w.accept()
	w.expectInForce()
	published := w.keeper().Want()
	Eventually(w.firstOffset).WithTimeout(patience).Should(BeNumerically(">", published))
	stale, err := writer.Checkpoint(time.Now())
	Expect(err).NotTo(HaveOccurred())
	_, err = w.log.Append(w.ctx, headkeeper.Stream, stale)
	Expect(err).NotTo(HaveOccurred())
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, entry := range w.Entries {
		entry.Kill()
	}
	for _, upstream := range w.Upstreams {
		upstream.Side.Kill()
	}
	for _, entry := range w.Entries {
		Expect(w.ReplaceEntry(w.ctx, entry, true)).To(Succeed())
	}
	for _, upstream := range w.Upstreams {
		Expect(w.ReplaceSide(w.ctx, upstream, true)).To(Succeed())
	}
}

func (w *world) regions() []currantwood.RegionID {
	seen := make(map[currantwood.RegionID]bool)
	var regions []currantwood.RegionID
	for _, entry := range w.Entries {
		if !seen[entry.Region] {
			seen[entry.Region] = true
			regions = append(regions, entry.Region)
		}
	}
	return regions
}

// cutOff counts the processes of a region.
func (w *world) cutOff(region currantwood.RegionID) int {
	count := 0
	for _, entry := range w.Entries {
		if entry.Region == region {
			count++
		}
	}
	for _, upstream := range w.Upstreams {
		if upstream.Region == region {
			count++
		}
	}
	return count
}
