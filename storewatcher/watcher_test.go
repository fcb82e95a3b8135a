package storewatcher

import (
	"context"
	"sync"
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
		OnRead:        func(time.Time, currantwood.Offset, currantwood.Offset, []currantwood.KeyedRecord) {},
		OnCurrentAsOf: func(time.Time) {},
		OnOutageEnd:   func(time.Time) { l.add("outage end") },
		Stale:         func(time.Time) bool { return false },
		PeerCoverage:  func(time.Time) (time.Time, bool) { return time.Time{}, covered() },
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

	It("applies records that a peer read, once and without gaps", func() {
		l := &callLog{}
		s := &scriptedStore{newestBatches: []currantwood.KeyedRecordBatch{batch(10, "a")}}
		w := start(s, l, func() bool { return true })
		Eventually(w.Position).Should(Equal(currantwood.Offset(10)))
		now := time.Now()
		Expect(w.ApplyPeerRecords(now, now, 11, 12, batch(12, "gap").Records)).To(BeFalse())
		Expect(w.ApplyPeerRecords(now, now, 9, 12, batch(12, "old", "b", "c").Records)).To(BeTrue())
		Expect(w.ApplyPeerRecords(now, now, 9, 12, batch(12, "old", "b", "c").Records)).To(BeTrue())
		Expect(l.all()).To(Equal([]string{"replace a", "apply b", "apply c"}))
		Expect(w.Position()).To(Equal(currantwood.Offset(12)))
	})

	It("reports the end of an outage before the records written during it, also if a peer read them", func() {
		l := &callLog{}
		s := &scriptedStore{newestBatches: []currantwood.KeyedRecordBatch{batch(10, "a")}}
		w := start(s, l, func() bool { return true })
		Eventually(w.Position).Should(Equal(currantwood.Offset(10)))
		Expect(w.ApplyPeerRecords(time.Now().Add(5*time.Second), time.Now().Add(5*time.Second), 10, 11, batch(11, "b").Records)).To(BeTrue())
		Expect(l.all()).To(Equal([]string{"replace a", "outage end", "apply b"}))
	})

	It("measures the age of a peer's records from when the peer read them", func() {
		l := &callLog{}
		s := &scriptedStore{newestBatches: []currantwood.KeyedRecordBatch{batch(10, "a")}}
		w := start(s, l, func() bool { return false })
		Eventually(w.Position).Should(Equal(currantwood.Offset(10)))
		read := time.Now()
		for ms := range 20 {
			Expect(w.ApplyPeerRecords(read.Add(time.Duration(ms)*100*time.Millisecond), read, 10, 10, nil)).To(BeTrue())
		}
		Expect(w.Age(read.Add(1900 * time.Millisecond))).To(Equal(1900 * time.Millisecond))
		later := read.Add(1900 * time.Millisecond)
		Expect(w.ApplyPeerRecords(later, later, 10, 11, batch(11, "b").Records)).To(BeTrue())
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
		Expect(w.ApplyPeerRecords(now, now, 10, 11, batch(11, "b").Records)).To(BeTrue())
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
})
