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
	// inForceWithin is the users' bound.
	inForceWithin = 8 * time.Second
	// patience bounds what has no bound of its own.
	patience = 30 * time.Second
)

// holder is a process that has a head.
type holder interface{ Head() currantwood.RulesHead }

// world is a system of three regions with two entries in each and three sides.
type world struct {
	*demonstrator.Demonstrator
	ctx context.Context
	// log is reached as an operator reaches it, not by way of a region.
	log currantwood.Log
	// head is the last accepted publication.
	head publisher.Base
	// texts counts the texts of this world.
	texts int

	// mu guards the processes and what follows.
	mu sync.Mutex
	// shown is the highest head that each process showed.
	shown map[holder]currantwood.RulesHead
	// publications is the publication of each revision that was ever shown.
	publications map[currantwood.Revision]currantwood.PublicationID
	faults       []string
}

func newWorld(retention time.Duration) *world {
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
	w := &world{
		Demonstrator: d, ctx: context.Background(),
		shown:        make(map[holder]currantwood.RulesHead),
		publications: make(map[currantwood.Revision]currantwood.PublicationID),
	}
	w.log = logclient.New(logclient.Options{Address: d.LogAddress(), Timeout: time.Second})
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		w.watch(stop)
	}()
	DeferCleanup(func() {
		close(stop)
		<-stopped
		d.Close()
		Expect(w.faults).To(BeEmpty())
	})
	Eventually(w.linked).WithTimeout(patience).Should(BeTrue())
	return w
}

// linked says whether every entry has links to all sides.
func (w *world) linked() bool {
	for _, entry := range w.Entries {
		if entry.Sides() < len(w.Upstreams) {
			return false
		}
	}
	return true
}

// holders lists the live processes. Tests change them under mu.
func (w *world) holders() []holder {
	var all []holder
	for _, entry := range w.Entries {
		all = append(all, entry.Entry)
	}
	for _, upstream := range w.Upstreams {
		all = append(all, upstream.Side)
	}
	return all
}

// watch checks all the time that no process goes back and that no two show
// different publications at one revision.
func (w *world) watch(stop chan struct{}) {
	ticker := time.NewTicker(2 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			w.mu.Lock()
			for _, h := range w.holders() {
				w.check(h, h.Head())
			}
			w.mu.Unlock()
		}
	}
}

func (w *world) check(h holder, head currantwood.RulesHead) {
	if before := w.shown[h]; head.Revision < before.Revision {
		w.faults = append(w.faults, fmt.Sprintf("a process went from revision %d back to %d", before.Revision, head.Revision))
	}
	w.shown[h] = head
	if other, known := w.publications[head.Revision]; known && other != head.Publication {
		w.faults = append(w.faults, fmt.Sprintf("revision %d is %s and %s", head.Revision, other, head.Publication))
	}
	w.publications[head.Revision] = head.Publication
}

// edit is a text over the given base that no other edit has.
func (w *world) edit(base publisher.Base, by string) publisher.Edit {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.texts++
	return publisher.Edit{Base: base, PublishedBy: by, Text: fmt.Sprintf("# text %d\n%s", w.texts, sites.Harbourline().Rules)}
}

// publish does what the operators' command does.
func (w *world) publish(edit publisher.Edit) publisher.Result {
	ctx, cancel := context.WithTimeout(w.ctx, patience)
	defer cancel()
	p := publisher.New(publisher.Options{
		Log:   w.log,
		NewID: func() currantwood.PublicationID { return currantwood.PublicationID(uuid.NewString()) },
	})
	result, err := p.Publish(ctx, edit)
	Expect(err).NotTo(HaveOccurred())
	return result
}

// announce hands an accepted head to running processes.
func (w *world) announce(result publisher.Result) {
	vms, err := vmclient.New(vmclient.Options{Address: w.VMListAddress()}).VMs(w.ctx)
	Expect(err).NotTo(HaveOccurred())
	headclient.New(nil).Announce(w.ctx, vms, result.Anchor)
}

// accept publishes one more text, which must be accepted.
func (w *world) accept() publisher.Result {
	result := w.publish(w.edit(w.head, "Marcia Reid"))
	Expect(result.Outcome).To(Equal(publisher.Accepted))
	w.head = publisher.Base{Revision: result.Revision, Publication: result.Publication}
	return result
}

// expectInForce waits until every process has the head, and returns how long
// that took.
func (w *world) expectInForce() time.Duration {
	began := time.Now()
	Eventually(w.behind).WithTimeout(inForceWithin).WithPolling(2 * time.Millisecond).Should(BeEmpty())
	return time.Since(began)
}

// behind names what each process that has not the head has in its place.
func (w *world) behind() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var behind []string
	for i, h := range w.holders() {
		if head := h.Head(); head.Publication != w.head.Publication {
			behind = append(behind, fmt.Sprintf("process %d at revision %d", i, head.Revision))
		}
	}
	return behind
}

// replaceAll replaces every process one after the other, by a crash.
func (w *world) replaceAll() {
	for _, entry := range w.Entries {
		w.replaceEntry(entry)
	}
	for _, upstream := range w.Upstreams {
		w.mu.Lock()
		Expect(w.ReplaceSide(w.ctx, upstream, true)).To(Succeed())
		w.mu.Unlock()
		w.expectInForce()
	}
}

// replaceEntry replaces one entry and waits until the new one has the head.
func (w *world) replaceEntry(entry *demonstrator.Entry) {
	w.mu.Lock()
	Expect(w.ReplaceEntry(w.ctx, entry, true)).To(Succeed())
	w.mu.Unlock()
	w.expectInForce()
}

// keeper follows the log as a process would.
func (w *world) keeper() *headkeeper.Keeper {
	k := headkeeper.New(headkeeper.Options{Retention: time.Hour})
	Eventually(func(g Gomega) {
		window, err := w.log.Read(w.ctx, headkeeper.Stream, k.Want(), 100)
		g.Expect(err).NotTo(HaveOccurred())
		k.Feed(time.Now(), window)
		anchor, anchored := k.Anchor()
		g.Expect(anchored).To(BeTrue())
		g.Expect(anchor.Head.Publication).To(Equal(w.head.Publication))
	}).Should(Succeed())
	return k
}

// firstOffset is the oldest record that the log still has.
func (w *world) firstOffset() currantwood.Offset {
	window, err := w.log.Read(w.ctx, headkeeper.Stream, 0, 1)
	Expect(err).NotTo(HaveOccurred())
	return window.First
}
