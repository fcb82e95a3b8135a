package rules_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/demonstrator"
	"github.com/currantwood/currantwood/headclient"
	"github.com/currantwood/currantwood/headkeeper"
	"github.com/currantwood/currantwood/logclient"
	"github.com/currantwood/currantwood/publisher"
	"github.com/currantwood/currantwood/settingsreader"
	"github.com/currantwood/currantwood/standin/sites"
	"github.com/currantwood/currantwood/vmclient"
)

const (
	// inForceWithin is the users' limit for the time from the acceptance of a publication
	// until it is in force in every process.
	inForceWithin = 8 * time.Second
	// waitTimeout is the longest wait for a condition without a time limit of its own.
	waitTimeout = 30 * time.Second
)

// process is an entry or a side. Head returns the head of the rules that it has.
type process interface{ Head() currantwood.RulesHead }

// environment is a system of three regions with two entries each, and three sides.
type environment struct {
	*demonstrator.Demonstrator
	ctx context.Context
	// operatorLog is connected to the log service directly, as an operator is, so that
	// a partition of a region doesn't affect it.
	operatorLog currantwood.Log
	// lastAccepted is the last accepted publication, to be edited next.
	lastAccepted publisher.Base
	// textCount is the number of texts created, to make each unique.
	textCount int

	// mu guards the processes, textCount and the fields below.
	mu sync.Mutex
	// lastHeads is the head that each process had when it was last checked.
	lastHeads map[process]currantwood.RulesHead
	// publications is the publication that some process had at each revision.
	publications map[currantwood.Revision]currantwood.PublicationID
	// violations describes what checkHead found wrong.
	violations []string
}

func newEnvironment(retention time.Duration) *environment {
	site := sites.Harbourline()
	d, err := demonstrator.New(demonstrator.Options{
		Regions:          site.Regions,
		Groups:           []demonstrator.Group{{Name: "payment-desks", Kind: currantwood.UpstreamService, Count: 3}},
		EntriesPerRegion: 2,
		RegionDelay:      site.RegionDelay,
		ZoneDelay:        site.ZoneDelay,
		Settings: func(s *settingsreader.Settings) {
			s.Platform.LogRetention = settingsreader.Duration(retention)
			s.Platform.VMListInterval = settingsreader.Duration(100 * time.Millisecond)
			s.Links.Heartbeat = settingsreader.Duration(200 * time.Millisecond)
			s.Links.Silence = settingsreader.Duration(time.Second)
		},
		Logger: zap.NewNop(),
	})
	Expect(err).NotTo(HaveOccurred())
	env := &environment{
		Demonstrator: d, ctx: context.Background(),
		lastHeads:    make(map[process]currantwood.RulesHead),
		publications: make(map[currantwood.Revision]currantwood.PublicationID),
	}
	env.operatorLog = logclient.New(logclient.Options{Address: d.LogAddress(), Timeout: time.Second})
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		env.watchHeads(stop)
	}()
	DeferCleanup(func() {
		close(stop)
		<-stopped
		d.Close()
		Expect(env.violations).To(BeEmpty())
	})
	Eventually(env.allLinked).WithTimeout(waitTimeout).Should(BeTrue())
	return env
}

// allLinked reports whether every entry is linked to all sides.
func (env *environment) allLinked() bool {
	for _, entry := range env.Entries {
		if entry.LinkedSideCount() < len(env.Upstreams) {
			return false
		}
	}
	return true
}

// processes returns the running processes. The caller must hold mu, under which
// tests replace processes.
func (env *environment) processes() []process {
	var all []process
	for _, entry := range env.Entries {
		all = append(all, entry.Entry)
	}
	for _, upstream := range env.Upstreams {
		all = append(all, upstream.Side)
	}
	return all
}

// watchHeads calls checkHead for all processes, every 2 ms until stop is closed.
func (env *environment) watchHeads(stop chan struct{}) {
	ticker := time.NewTicker(2 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			env.mu.Lock()
			for _, p := range env.processes() {
				env.checkHead(p, p.Head())
			}
			env.mu.Unlock()
		}
	}
}

// checkHead adds a violation if a process returned to an earlier revision or if two
// processes have different publications at the same revision. The caller must hold mu.
func (env *environment) checkHead(p process, head currantwood.RulesHead) {
	if before := env.lastHeads[p]; head.Revision < before.Revision {
		env.violations = append(env.violations, fmt.Sprintf("a process returned from revision %d to revision %d", before.Revision, head.Revision))
	}
	env.lastHeads[p] = head
	if other, known := env.publications[head.Revision]; known && other != head.Publication {
		env.violations = append(env.violations, fmt.Sprintf("revision %d is publication %s in one process and %s in another", head.Revision, other, head.Publication))
	}
	env.publications[head.Revision] = head.Publication
}

// newEdit returns an edit of the given base with a text that no other edit has.
func (env *environment) newEdit(base publisher.Base, by string) publisher.Edit {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.textCount++
	return publisher.Edit{Base: base, PublishedBy: by, Text: fmt.Sprintf("# text %d\n%s", env.textCount, sites.Harbourline().Rules)}
}

// publish publishes an edit as the operators' command does.
func (env *environment) publish(edit publisher.Edit) publisher.Result {
	ctx, cancel := context.WithTimeout(env.ctx, waitTimeout)
	defer cancel()
	p := publisher.New(publisher.Options{
		Log:   env.operatorLog,
		NewID: func() currantwood.PublicationID { return currantwood.PublicationID(uuid.NewString()) },
	})
	result, err := p.Publish(ctx, edit)
	Expect(err).NotTo(HaveOccurred())
	return result
}

// announce sends an accepted head to a few entries of each region on the VM list.
func (env *environment) announce(result publisher.Result) {
	vms, err := vmclient.New(vmclient.Options{BaseURL: env.VMListAddress()}).VMs(env.ctx)
	Expect(err).NotTo(HaveOccurred())
	headclient.New(nil).Announce(env.ctx, vms, result.Snapshot)
}

// publishAccepted publishes another text, which must be accepted.
func (env *environment) publishAccepted() publisher.Result {
	result := env.publish(env.newEdit(env.lastAccepted, "Marcia Reid"))
	Expect(result.Outcome).To(Equal(publisher.Accepted))
	env.lastAccepted = publisher.Base{Revision: result.Revision, Publication: result.Publication}
	return result
}

// expectInForce waits until every process has the last accepted publication, and
// returns how long that took. It fails after inForceWithin.
func (env *environment) expectInForce() time.Duration {
	start := time.Now()
	Eventually(env.outdatedProcesses).WithTimeout(inForceWithin).WithPolling(2 * time.Millisecond).Should(BeEmpty())
	return time.Since(start)
}

// outdatedProcesses describes each process that doesn't have the last accepted
// publication.
func (env *environment) outdatedProcesses() []string {
	env.mu.Lock()
	defer env.mu.Unlock()
	var outdated []string
	for i, p := range env.processes() {
		if head := p.Head(); head.Publication != env.lastAccepted.Publication {
			outdated = append(outdated, fmt.Sprintf("process %d at revision %d", i, head.Revision))
		}
	}
	return outdated
}

// replaceAll kills and replaces every process, one after the other.
func (env *environment) replaceAll() {
	for _, entry := range env.Entries {
		env.replaceEntry(entry)
	}
	for _, upstream := range env.Upstreams {
		env.replaceSide(upstream)
	}
}

// replaceSide kills and replaces the side of an upstream and waits until the new one
// has the last accepted publication.
func (env *environment) replaceSide(upstream *demonstrator.Upstream) {
	Expect(env.whileLocked(func() error { return env.ReplaceSide(env.ctx, upstream, true) })).To(Succeed())
	env.expectInForce()
}

// whileLocked calls replace with mu held. It releases mu before the result is
// checked: a failed check ends the goroutine, and the cleanup needs mu.
func (env *environment) whileLocked(replace func() error) error {
	env.mu.Lock()
	defer env.mu.Unlock()
	return replace()
}

// replaceEntry kills and replaces an entry and waits until the new one has the last
// accepted publication.
func (env *environment) replaceEntry(entry *demonstrator.Entry) {
	Expect(env.whileLocked(func() error { return env.ReplaceEntry(env.ctx, entry, true) })).To(Succeed())
	env.expectInForce()
}

// newSyncedKeeper returns a keeper that has read the log, as a process does, up to the
// last accepted publication.
func (env *environment) newSyncedKeeper() *headkeeper.Keeper {
	k := headkeeper.New(headkeeper.Options{Retention: time.Hour})
	Eventually(func(g Gomega) {
		window, err := env.operatorLog.Read(env.ctx, headkeeper.Stream, k.NextOffset(), 100)
		g.Expect(err).NotTo(HaveOccurred())
		k.Feed(time.Now(), window)
		anchor, anchored := k.Snapshot()
		g.Expect(anchored).To(BeTrue())
		g.Expect(anchor.Head.Publication).To(Equal(env.lastAccepted.Publication))
	}).Should(Succeed())
	return k
}

// firstOffset returns the offset of the oldest record in the log.
func (env *environment) firstOffset() currantwood.Offset {
	window, err := env.operatorLog.Read(env.ctx, headkeeper.Stream, 0, 1)
	Expect(err).NotTo(HaveOccurred())
	return window.First
}
