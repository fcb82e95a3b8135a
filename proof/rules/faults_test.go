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

// faultCase is one publication during a fault.
type faultCase struct {
	// retention is how long the log keeps records; 0 means longer than the test.
	retention time.Duration
	// run causes the fault, publishes and sets env.lastAccepted.
	run func(env *environment)
}

var _ = DescribeTable("an accepted publication is in force in three regions within 8 s and stays so",
	func(c faultCase) {
		retention := c.retention
		if retention == 0 {
			retention = time.Hour
		}
		env := newEnvironment(retention)
		if c.retention > 0 {
			env.Log.SetFaults(logservice.Faults{RetentionMS: c.retention.Milliseconds()})
		}
		env.publishAccepted()
		env.expectInForce()
		c.run(env)
		took := env.expectInForce()
		AddReportEntry("in force", took.Round(time.Millisecond).String())
		env.publishAccepted()
		env.expectInForce()
	},
	Entry("without a fault", faultCase{run: func(env *environment) { env.publishAccepted() }}),
	Entry("two operators publish at the same time", faultCase{run: publishConcurrently}),
	Entry("two operators publish at the same time and a response to an append is lost", faultCase{run: func(env *environment) {
		env.Log.SetFaults(logservice.Faults{LoseResponses: 1})
		publishConcurrently(env)
	}}),
	Entry("the response to the append is lost", faultCase{run: func(env *environment) {
		env.Log.SetFaults(logservice.Faults{LoseResponses: 1})
		env.publishAccepted()
	}}),
	Entry("the response is lost and readers lag, so that the record is appended again", faultCase{run: func(env *environment) {
		env.Log.SetFaults(logservice.Faults{LoseResponses: 2, ReadLagMS: 500})
		env.publishAccepted()
	}}),
	Entry("a writer resumes and appends a stale checkpoint after a newer publication", faultCase{run: func(env *environment) {
		stale, err := env.newSyncedKeeper().Checkpoint(time.Now())
		Expect(err).NotTo(HaveOccurred())
		env.publishAccepted()
		_, err = env.operatorLog.Append(env.ctx, headkeeper.Stream, stale)
		Expect(err).NotTo(HaveOccurred())
		env.replaceAll()
	}}),
	Entry("records expire, a stale checkpoint remains, and all processes are replaced at once", faultCase{
		retention: 3 * time.Second, run: expireAndRestart}),
	Entry("the log is down right after the acceptance and long after, all VMs are replaced", faultCase{run: func(env *environment) {
		result := env.publishAccepted()
		env.Log.SetFaults(logservice.Faults{Down: true})
		env.announce(result)
		env.expectInForce()
		env.replaceAll()
		env.Log.SetFaults(logservice.Faults{})
	}}),
	Entry("no reader sees the record before the log goes down", faultCase{run: func(env *environment) {
		for _, region := range env.regions() {
			env.Partition(region)
		}
		result := env.publishAccepted()
		env.Log.SetFaults(logservice.Faults{Down: true})
		for _, region := range env.regions() {
			env.Heal(region)
		}
		env.announce(result)
		env.expectInForce()
		env.Log.SetFaults(logservice.Faults{})
	}}),
	Entry("a region is partitioned and rejoins", faultCase{run: func(env *environment) {
		env.Partition("Montego")
		env.publishAccepted()
		Eventually(env.outdatedProcesses).WithTimeout(inForceWithin).Should(HaveLen(env.processCount("Montego")))
		env.publishAccepted()
		env.Heal("Montego")
	}}),
	Entry("a region is partitioned and rejoins while the log is down", faultCase{run: func(env *environment) {
		env.Partition("Mandeville")
		env.publishAccepted()
		Eventually(env.outdatedProcesses).WithTimeout(inForceWithin).Should(HaveLen(env.processCount("Mandeville")))
		env.Log.SetFaults(logservice.Faults{Down: true})
		env.Heal("Mandeville")
		env.expectInForce()
		env.Log.SetFaults(logservice.Faults{})
	}}),
)

// publishConcurrently publishes two edits of the same head at the same time.
// Exactly one of them must be accepted.
func publishConcurrently(env *environment) {
	edits := []publisher.Edit{env.newEdit(env.lastAccepted, "Marcia Reid"), env.newEdit(env.lastAccepted, "Devon Clarke")}
	results := make([]publisher.Result, len(edits))
	var wait sync.WaitGroup
	for i := range edits {
		wait.Go(func() {
			defer GinkgoRecover()
			results[i] = env.publish(edits[i])
		})
	}
	wait.Wait()
	won, lost := 0, 1
	if results[1].Outcome == publisher.Accepted {
		won, lost = 1, 0
	}
	Expect(results[won].Outcome).To(Equal(publisher.Accepted))
	Expect(results[lost].Outcome).To(Equal(publisher.Conflict))
	Expect(results[lost].AcceptedBefore.PublishedBy).To(Equal(edits[won].PublishedBy))
	Expect(results[lost].Head.Text).To(Equal(edits[won].Text))
	env.lastAccepted = publisher.Base{Revision: results[won].Revision, Publication: results[won].Publication}
}

// expireAndRestart publishes, waits until the record has expired, appends a stale
// checkpoint and replaces all processes at once. The publication then remains only in
// earlier checkpoints of the log, and in the memory of no process.
func expireAndRestart(env *environment) {
	writer := env.newSyncedKeeper()
	env.publishAccepted()
	env.expectInForce()
	published := env.newSyncedKeeper().NextOffset()
	Eventually(env.firstOffset).WithTimeout(waitTimeout).Should(BeNumerically(">", published))
	stale, err := writer.Checkpoint(time.Now())
	Expect(err).NotTo(HaveOccurred())
	_, err = env.operatorLog.Append(env.ctx, headkeeper.Stream, stale)
	Expect(err).NotTo(HaveOccurred())
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, entry := range env.Entries {
		entry.Kill()
	}
	for _, upstream := range env.Upstreams {
		upstream.Side.Kill()
	}
	for _, entry := range env.Entries {
		Expect(env.ReplaceEntry(env.ctx, entry, true)).To(Succeed())
	}
	for _, upstream := range env.Upstreams {
		Expect(env.ReplaceSide(env.ctx, upstream, true)).To(Succeed())
	}
}

// regions returns the regions of the entries, without duplicates.
func (env *environment) regions() []currantwood.RegionID {
	seen := make(map[currantwood.RegionID]bool)
	var regions []currantwood.RegionID
	for _, entry := range env.Entries {
		if !seen[entry.Region] {
			seen[entry.Region] = true
			regions = append(regions, entry.Region)
		}
	}
	return regions
}

// processCount returns the number of entries and sides in a region.
func (env *environment) processCount(region currantwood.RegionID) int {
	count := 0
	for _, entry := range env.Entries {
		if entry.Region == region {
			count++
		}
	}
	for _, upstream := range env.Upstreams {
		if upstream.Region == region {
			count++
		}
	}
	return count
}
