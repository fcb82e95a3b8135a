package storewatcher

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
)

// scriptedStore returns newestBatches in order and repeats the last. It returns
// readResults in order; further reads block until their context is done. waits
// holds the wait argument of each read.
type scriptedStore struct {
	mu            sync.Mutex
	newestBatches []currantwood.KeyedRecordBatch
	readResults   []func() (currantwood.KeyedRecordBatch, error)
	waits         []time.Duration
}

// readWaits returns the wait argument of each read.
func (s *scriptedStore) readWaits() []time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Duration(nil), s.waits...)
}

func (s *scriptedStore) Newest(context.Context, string) (currantwood.KeyedRecordBatch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := s.newestBatches[0]
	if len(s.newestBatches) > 1 {
		s.newestBatches = s.newestBatches[1:]
	}
	return batch, nil
}

func (s *scriptedStore) Read(ctx context.Context, _ string, _ currantwood.Offset, wait time.Duration) (currantwood.KeyedRecordBatch, error) {
	s.mu.Lock()
	s.waits = append(s.waits, wait)
	if len(s.readResults) == 0 {
		s.mu.Unlock()
		<-ctx.Done()
		return currantwood.KeyedRecordBatch{}, ctx.Err()
	}
	next := s.readResults[0]
	s.readResults = s.readResults[1:]
	s.mu.Unlock()
	return next()
}

// callLog records the calls of a feed's functions.
type callLog struct {
	mu    sync.Mutex
	lines []string
}

func (l *callLog) add(line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, line)
}

func (l *callLog) all() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.lines...)
}

// newFeed returns a feed that logs its calls. covered reports whether a peer
// reads the topic.
func newFeed(l *callLog, covered func() bool) Feed {
	note := func(kind string, records []currantwood.KeyedRecord) {
		for _, r := range records {
			l.add(kind + " " + r.Key)
		}
	}
	return Feed{
		Name: "test", Topic: "t", Pause: 10 * time.Millisecond,
		Replace: func(_ time.Time, r []currantwood.KeyedRecord) { note("replace", r) },
		Apply: func(_ time.Time, r []currantwood.KeyedRecord) []currantwood.KeyedRecord {
			note("apply", r)
			return r
		},
		OnRead: func(time.Time, currantwood.StoreEra, currantwood.Offset, currantwood.Offset, []currantwood.KeyedRecord) {
		},
		OnCurrentAsOf: func(time.Time) {},
		OnOutageEnd:   func(time.Time) { l.add("outage end") },
		OnEraRise:     func(_ time.Time, era currantwood.StoreEra) { l.add(fmt.Sprint("era ", era)) },
		Stale:         func(time.Time) bool { return false },
		PeerCoverage:  func(time.Time) (time.Time, bool) { return time.Time{}, covered() },
		RetryPause: func(int) (least, pause time.Duration) {
			return 20 * time.Millisecond, 20 * time.Millisecond
		},
		TakeOverPause: func() time.Duration { return 0 },
		OnRecovery:    func() { l.add("recovery") },
		Held:          func() bool { return false },
	}
}

// batch returns a batch up to offset next with a record for each key.
func batch(next int, keys ...string) currantwood.KeyedRecordBatch {
	b := currantwood.KeyedRecordBatch{Next: currantwood.Offset(next)}
	for i, key := range keys {
		b.Records = append(b.Records, currantwood.KeyedRecord{Offset: currantwood.Offset(next - len(keys) + i), Key: key})
	}
	return b
}

// peerRead returns what a peer read at a time, after a read that had failed just before.
func peerRead(at time.Time, era currantwood.StoreEra, from, next currantwood.Offset, records []currantwood.KeyedRecord) currantwood.PeerRead {
	return currantwood.PeerRead{ReadAt: at, FailedAt: at.Add(-time.Millisecond), Era: era, From: from, Next: next, Records: records}
}

// succeedWith returns a read result without an error.
func succeedWith(b currantwood.KeyedRecordBatch) func() (currantwood.KeyedRecordBatch, error) {
	return func() (currantwood.KeyedRecordBatch, error) { return b, nil }
}

var _ = Describe("Watcher", func() {
	start := func(s *scriptedStore, l *callLog, covered func() bool) *Watcher {
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		return New(ctx, s, zap.NewNop(), time.Now, newFeed(l, covered))
	}
	startFeed := func(s *scriptedStore, feed Feed) *Watcher {
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		return New(ctx, s, zap.NewNop(), time.Now, feed)
	}

	never := func() bool { return false }

	It("starts with the newest records and reads the following ones", func() {
		l := &callLog{}
		s := &scriptedStore{newestBatches: []currantwood.KeyedRecordBatch{batch(10, "a", "b")}, readResults: []func() (currantwood.KeyedRecordBatch, error){succeedWith(batch(11, "c"))}}
		start(s, l, never)
		Eventually(l.all).Should(Equal([]string{"replace a", "replace b", "apply c"}))
	})

	It("reads the newest records again when the records at its position have expired", func() {
		l := &callLog{}
		expired := func() (currantwood.KeyedRecordBatch, error) {
			return currantwood.KeyedRecordBatch{}, currantwood.ErrRecordsExpired
		}
		s := &scriptedStore{newestBatches: []currantwood.KeyedRecordBatch{batch(10, "a"), batch(20, "b")}, readResults: []func() (currantwood.KeyedRecordBatch, error){expired}}
		start(s, l, never)
		Eventually(l.all).Should(Equal([]string{"replace a", "replace b"}))
	})

	It("doesn't read while a peer does, unless a read is requested", func() {
		l := &callLog{}
		s := &scriptedStore{newestBatches: []currantwood.KeyedRecordBatch{batch(10, "a")}, readResults: []func() (currantwood.KeyedRecordBatch, error){succeedWith(batch(11, "b"))}}
		w := start(s, l, func() bool { return true })
		Eventually(l.all).Should(HaveLen(1))
		Consistently(l.all, "250ms").Should(HaveLen(1))
		w.Kick()
		Eventually(l.all).Should(Equal([]string{"replace a", "apply b"}))
	})

	// Guards against records that nobody takes: a peer's record of one key moves the position
	// past records of other keys which this process is about to read.
	It("passes all records of its own reads on, and none of a peer", func() {
		l := &callLog{}
		release := make(chan struct{})
		slow := func() (currantwood.KeyedRecordBatch, error) {
			<-release
			return batch(13, "b", "c", "d"), nil
		}
		s := &scriptedStore{newestBatches: []currantwood.KeyedRecordBatch{batch(10, "a"), batch(20, "e")}, readResults: []func() (currantwood.KeyedRecordBatch, error){slow}}
		feed := newFeed(&callLog{}, never)
		feed.OnOwnRead = func(_ time.Time, read Read) {
			l.add(fmt.Sprint(read.Whole, " ", read.From, " ", read.Next))
			for _, r := range read.Records {
				l.add("read " + r.Key)
			}
		}
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		w := New(ctx, s, zap.NewNop(), time.Now, feed)
		Eventually(s.readWaits).ShouldNot(BeEmpty())
		now := time.Now()
		Expect(w.ApplyPeerRecords(now, peerRead(now, 0, 0, 12, batch(12, "c").Records))).To(BeTrue())
		close(release)
		Eventually(l.all).Should(Equal([]string{"true 0 10", "read a", "false 10 13", "read b", "read c", "read d"}))
	})

	It("reads the newest records again if it is asked to", func() {
		l := &callLog{}
		s := &scriptedStore{newestBatches: []currantwood.KeyedRecordBatch{batch(10, "a"), batch(20, "b")}}
		w := start(s, l, func() bool { return true })
		Eventually(l.all).Should(HaveLen(1))
		w.ReadAll()
		Eventually(l.all).Should(Equal([]string{"replace a", "replace b"}))
		Expect(w.Position()).To(Equal(currantwood.Offset(20)))
	})

	It("applies records that a peer read, once and without gaps", func() {
		l := &callLog{}
		s := &scriptedStore{newestBatches: []currantwood.KeyedRecordBatch{batch(10, "a")}}
		w := start(s, l, func() bool { return true })
		Eventually(w.Position).Should(Equal(currantwood.Offset(10)))
		now := time.Now()
		Expect(w.ApplyPeerRecords(now, peerRead(now, 0, 11, 12, batch(12, "gap").Records))).To(BeFalse())
		Expect(w.ApplyPeerRecords(now, peerRead(now, 0, 9, 12, batch(12, "old", "b", "c").Records))).To(BeTrue())
		Expect(w.ApplyPeerRecords(now, peerRead(now, 0, 9, 12, batch(12, "old", "b", "c").Records))).To(BeTrue())
		Expect(l.all()).To(Equal([]string{"replace a", "apply b", "apply c"}))
		Expect(w.Position()).To(Equal(currantwood.Offset(12)))
	})

	It("reports the end of an outage before the records written during it, also if a peer read them", func() {
		l := &callLog{}
		s := &scriptedStore{newestBatches: []currantwood.KeyedRecordBatch{batch(10, "a")}}
		w := start(s, l, func() bool { return true })
		Eventually(w.Position).Should(Equal(currantwood.Offset(10)))
		Expect(w.ApplyPeerRecords(time.Now().Add(5*time.Second), peerRead(time.Now().Add(5*time.Second), 0, 10, 11, batch(11, "b").Records))).To(BeTrue())
		Expect(l.all()).To(Equal([]string{"replace a", "outage end", "apply b"}))
	})

	// Guards against a removal that counts as expired with the store away, though only the
	// gateway that read for this one had lost it.
	DescribeTable("takes a gap between reads for an outage only if the store may have been away for long enough",
		func(gap, minOutage, failedBefore time.Duration, want []string) {
			l := &callLog{}
			s := &scriptedStore{newestBatches: []currantwood.KeyedRecordBatch{batch(10, "a")}}
			feed := newFeed(l, func() bool { return true })
			feed.MinOutage = minOutage
			w := startFeed(s, feed)
			Eventually(w.Position).Should(Equal(currantwood.Offset(10)))
			at := time.Now().Add(gap)
			read := peerRead(at, 0, 10, 11, batch(11, "b").Records)
			read.FailedAt = at.Add(-failedBefore)
			Expect(w.ApplyPeerRecords(at, read)).To(BeTrue())
			Expect(l.all()).To(Equal(want))
		},
		Entry("a read of the peer failed", 5*time.Second, 2*time.Second, time.Second, []string{"replace a", "outage end", "apply b"}),
		Entry("no read of the peer has failed", 5*time.Second, 2*time.Second, 100*time.Hour, []string{"replace a", "apply b"}),
		Entry("none has failed since the last read", 5*time.Second, 2*time.Second, 6*time.Second, []string{"replace a", "apply b"}),
		Entry("the gap is too short for records to expire", 1800*time.Millisecond, 2*time.Second, time.Second, []string{"replace a", "apply b"}),
		Entry("it isn't known how long that takes", 1800*time.Millisecond, time.Duration(0), time.Second, []string{"replace a", "outage end", "apply b"}),
	)

	It("takes a gap for an outage if a read of its own has failed in it", func() {
		l := &callLog{}
		fails := func() (currantwood.KeyedRecordBatch, error) {
			return currantwood.KeyedRecordBatch{}, errors.New("store unreachable")
		}
		var covered atomic.Bool
		s := &scriptedStore{newestBatches: []currantwood.KeyedRecordBatch{batch(10, "a")}, readResults: []func() (currantwood.KeyedRecordBatch, error){fails}}
		w := startFeed(s, newFeed(l, covered.Load))
		Eventually(w.FailedAt).ShouldNot(BeZero())
		covered.Store(true)
		at := time.Now().Add(5 * time.Second)
		Expect(w.ApplyPeerRecords(at, currantwood.PeerRead{ReadAt: at, From: 10, Next: 11, Records: batch(11, "b").Records})).To(BeTrue())
		Expect(l.all()).To(Equal([]string{"replace a", "outage end", "apply b"}))
	})

	It("measures the age of a peer's records from when the peer read them", func() {
		l := &callLog{}
		s := &scriptedStore{newestBatches: []currantwood.KeyedRecordBatch{batch(10, "a")}}
		w := start(s, l, func() bool { return false })
		Eventually(w.Position).Should(Equal(currantwood.Offset(10)))
		read := time.Now()
		for ms := range 20 {
			Expect(w.ApplyPeerRecords(read.Add(time.Duration(ms)*100*time.Millisecond), peerRead(read, 0, 10, 10, nil))).To(BeTrue())
		}
		Expect(w.Age(read.Add(1900 * time.Millisecond))).To(Equal(1900 * time.Millisecond))
		later := read.Add(1900 * time.Millisecond)
		Expect(w.ApplyPeerRecords(later, peerRead(later, 0, 10, 11, batch(11, "b").Records))).To(BeTrue())
		Expect(l.all()).To(Equal([]string{"replace a", "outage end", "apply b"}))
	})

	It("reports the end of an outage even if a peer counted as reading in the meantime but sent nothing", func() {
		l := &callLog{}
		s := &scriptedStore{newestBatches: []currantwood.KeyedRecordBatch{batch(10, "a")}}
		w := start(s, l, func() bool { return true })
		Eventually(w.Position).Should(Equal(currantwood.Offset(10)))
		// Long enough for several checks whether the peer reads.
		time.Sleep(outageThreshold + 200*time.Millisecond)
		now := time.Now()
		Expect(w.ApplyPeerRecords(now, peerRead(now, 0, 10, 11, batch(11, "b").Records))).To(BeTrue())
		Expect(l.all()).To(Equal([]string{"replace a", "outage end", "apply b"}))
	})

	It("doesn't wait for new records while those held are too old", func() {
		l := &callLog{}
		s := &scriptedStore{newestBatches: []currantwood.KeyedRecordBatch{batch(10, "a")}}
		f := newFeed(l, never)
		f.Wait = time.Minute
		f.Stale = func(time.Time) bool { return true }
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		New(ctx, s, zap.NewNop(), time.Now, f)
		Eventually(s.readWaits, "1s").Should(ContainElement(time.Duration(0)))
	})

	DescribeTable("takes an answer of a later era for a store that came back from an older copy",
		func(eras []currantwood.StoreEra, want []string, era int) {
			l := &callLog{}
			inEra := func(e currantwood.StoreEra, b currantwood.KeyedRecordBatch) currantwood.KeyedRecordBatch {
				b.Era = e
				return b
			}
			s := &scriptedStore{newestBatches: []currantwood.KeyedRecordBatch{inEra(eras[0], batch(10, "a")), inEra(eras[2], batch(7, "copy"))}}
			s.readResults = []func() (currantwood.KeyedRecordBatch, error){succeedWith(inEra(eras[1], batch(11, "b")))}
			w := start(s, l, never)
			Eventually(l.all).Should(Equal(want))
			Consistently(l.all, "200ms").Should(Equal(want))
			Expect(w.Era()).To(BeEquivalentTo(era))
		},
		Entry("the same era", []currantwood.StoreEra{3, 3, 3}, []string{"replace a", "apply b"}, 3),
		Entry("a later one", []currantwood.StoreEra{3, 4, 4}, []string{"replace a", "era 4", "outage end", "replace copy"}, 4),
		Entry("a later one, and one more before the newest are read", []currantwood.StoreEra{3, 4, 5}, []string{"replace a", "era 5", "outage end", "replace copy"}, 5),
		Entry("an earlier one: an answer that was long on its way", []currantwood.StoreEra{3, 2, 3}, []string{"replace a"}, 3),
		Entry("none: a store that doesn't say", []currantwood.StoreEra{0, 0, 0}, []string{"replace a", "apply b"}, 0),
		Entry("none for once", []currantwood.StoreEra{3, 0, 3}, []string{"replace a", "apply b"}, 3),
		Entry("one where there was none", []currantwood.StoreEra{0, 1, 1}, []string{"replace a", "era 1", "outage end", "replace copy"}, 1),
	)

	It("goes on from the new position after a rise, not from the old one, and takes no peer's records of another era", func() {
		l := &callLog{}
		first, second := batch(10, "a"), batch(7, "copy")
		first.Era, second.Era = 1, 2
		expired := func() (currantwood.KeyedRecordBatch, error) {
			return currantwood.KeyedRecordBatch{Era: 2}, currantwood.ErrRecordsExpired
		}
		s := &scriptedStore{newestBatches: []currantwood.KeyedRecordBatch{first, second}, readResults: []func() (currantwood.KeyedRecordBatch, error){expired}}
		w := start(s, l, never)
		Eventually(w.Era).Should(BeEquivalentTo(2))
		Expect(w.Position()).To(BeEquivalentTo(7))
		now := time.Now()
		Expect(w.ApplyPeerRecords(now, peerRead(now, 1, 7, 9, batch(9, "x", "y").Records))).To(BeFalse())
		Expect(w.ApplyPeerRecords(now, peerRead(now, 3, 7, 9, batch(9, "x", "y").Records))).To(BeFalse())
		Expect(w.ApplyPeerRecords(now, peerRead(now, 2, 7, 8, batch(8, "z").Records))).To(BeTrue())
		Expect(l.all()).To(Equal([]string{"replace a", "era 2", "outage end", "replace copy", "apply z"}))
	})

	It("reports the store as unreachable after a failed read, and keeps reading", func() {
		l := &callLog{}
		fails := func() (currantwood.KeyedRecordBatch, error) {
			return currantwood.KeyedRecordBatch{}, errors.New("store unreachable")
		}
		s := &scriptedStore{newestBatches: []currantwood.KeyedRecordBatch{batch(10, "a")}, readResults: []func() (currantwood.KeyedRecordBatch, error){fails, fails, succeedWith(batch(11, "b"))}}
		w := start(s, l, never)
		Eventually(w.Reachable).Should(BeTrue())
		Eventually(w.Reachable, "1s", "1ms").Should(BeFalse())
		Eventually(l.all, "2s").Should(ContainElement("apply b"))
	})

	It("waits for another peer before it takes over", func() {
		var uncovered atomic.Bool
		feed := newFeed(&callLog{}, func() bool { return !uncovered.Load() })
		feed.TakeOverPause = func() time.Duration { return 400 * time.Millisecond }
		s := &scriptedStore{newestBatches: []currantwood.KeyedRecordBatch{batch(1, "a")}}
		w := startFeed(s, feed)
		Eventually(w.Position).Should(Equal(currantwood.Offset(1)))
		time.Sleep(150 * time.Millisecond)
		uncovered.Store(true)
		Consistently(s.readWaits, "200ms", "10ms").Should(BeEmpty())
		Eventually(s.readWaits, "1s", "10ms").ShouldNot(BeEmpty())
	})

	It("doesn't read while it is held", func() {
		var released atomic.Bool
		l := &callLog{}
		feed := newFeed(l, never)
		feed.Held = func() bool { return !released.Load() }
		startFeed(&scriptedStore{newestBatches: []currantwood.KeyedRecordBatch{batch(1, "a")}}, feed)
		Consistently(l.all, "200ms", "10ms").Should(BeEmpty())
		released.Store(true)
		Eventually(l.all).Should(Equal([]string{"replace a"}))
	})

	It("pauses after a failed read, but a requested one comes after the shortest pause", func() {
		feed := newFeed(&callLog{}, never)
		feed.RetryPause = func(int) (least, pause time.Duration) { return 10 * time.Millisecond, time.Hour }
		fails := func() (currantwood.KeyedRecordBatch, error) {
			return currantwood.KeyedRecordBatch{}, errors.New("store unreachable")
		}
		s := &scriptedStore{newestBatches: []currantwood.KeyedRecordBatch{batch(10, "a")}, readResults: []func() (currantwood.KeyedRecordBatch, error){fails}}
		w := startFeed(s, feed)
		Eventually(s.readWaits).Should(HaveLen(1))
		Consistently(s.readWaits, "100ms", "10ms").Should(HaveLen(1))
		Expect(w.Failing()).To(BeTrue())
		w.Kick()
		Eventually(s.readWaits).Should(HaveLen(2))
	})
})
