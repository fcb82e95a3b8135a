package headkeeper_test

import (
	"fmt"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/headkeeper"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const (
	retention = time.Hour
	// readLimit is the number of records per read, low so that a reader needs
	// several reads.
	readLimit = 3
)

var start = time.Unix(1_000_000, 0)

// fakeLog is an in-memory stream whose oldest records can expire.
type fakeLog struct {
	first   currantwood.Offset
	records [][]byte
}

func (l *fakeLog) next() currantwood.Offset { return currantwood.Offset(len(l.records)) }

func (l *fakeLog) append(data []byte, err error) {
	Expect(err).NotTo(HaveOccurred())
	l.records = append(l.records, data)
}

// publish appends a publication whose text is its id.
func (l *fakeLog) publish(id, base string) {
	l.append(headkeeper.EncodePublication(headkeeper.Publication{
		ID: currantwood.PublicationID(id), Base: currantwood.PublicationID(base), PublishedBy: "Ann", Text: id,
	}))
}

// read returns at most limit records from offset from on and below until.
func (l *fakeLog) read(from currantwood.Offset, limit int, until currantwood.Offset) currantwood.RecordBatch {
	batch := currantwood.RecordBatch{First: l.first, End: max(l.first, until)}
	for at := max(from, l.first); at < batch.End && len(batch.Records) < limit; at++ {
		batch.Records = append(batch.Records, currantwood.Record{Offset: at, Data: l.records[at]})
	}
	return batch
}

func (l *fakeLog) feed(k *headkeeper.Keeper) {
	k.Feed(start, l.read(k.NextOffset(), readLimit, l.next()))
}

// catchUp feeds a keeper often enough to reach the end of the log, also after a
// scan for a checkpoint, which passes over the log a few times.
func (l *fakeLog) catchUp(k *headkeeper.Keeper) {
	for range 3 * (len(l.records) + 3) {
		l.feed(k)
	}
}

func newKeeper() *headkeeper.Keeper {
	return headkeeper.New(headkeeper.Options{Retention: retention})
}

var _ = Describe("Keeper", func() {
	var (
		log    *fakeLog
		keeper *headkeeper.Keeper
	)
	head := func(k *headkeeper.Keeper) string {
		snapshot, synced := k.Snapshot()
		return fmt.Sprintf("%d %s %t", snapshot.Head.Revision, snapshot.Head.Text, synced)
	}
	BeforeEach(func() {
		log, keeper = &fakeLog{}, newKeeper()
	})

	It("accepts the first of two publications with the same base", func() {
		log.publish("a", "")
		log.publish("b", "a")
		log.publish("c", "a")
		log.publish("b", "a")
		log.catchUp(keeper)
		Expect(head(keeper)).To(Equal("2 b true"))
		decision, ok := keeper.Decision("c")
		Expect(ok).To(BeTrue())
		Expect(decision.Accepted).To(BeFalse())
		first, ok := keeper.Successor("a")
		Expect(ok).To(BeTrue())
		Expect(first.Publication).To(Equal(currantwood.PublicationID("b")))
		Expect(first.Accepted).To(BeTrue())
	})

	It("applies the publications between a stale checkpoint's offset and its place in the log", func() {
		// The writer pauses at revision 1 and appends its checkpoint after
		// revision 2. A reader that applied only the records after the checkpoint
		// would go back to revision 1 and accept d, which all others refuse.
		log.publish("a", "")
		writer := newKeeper()
		log.catchUp(writer)
		log.publish("b", "a")
		log.append(writer.Checkpoint(start))
		log.publish("d", "a")
		log.first = 1
		log.catchUp(keeper)
		Expect(head(keeper)).To(Equal("2 b true"))
	})

	It("has no head if records after every checkpoint's offset have expired", func() {
		log.publish("a", "")
		writer := newKeeper()
		log.catchUp(writer)
		log.publish("b", "a")
		log.append(writer.Checkpoint(start))
		log.first = 2
		log.catchUp(keeper)
		Expect(head(keeper)).To(Equal("0  false"))
	})

	It("retains its head after missed records and resumes from the state of a peer", func() {
		log.publish("a", "")
		log.catchUp(keeper)
		ahead := newKeeper()
		log.publish("b", "a")
		log.publish("c", "b")
		log.catchUp(ahead)
		log.first = 3
		log.publish("d", "c")
		log.catchUp(keeper)
		Expect(head(keeper)).To(Equal("1 a false"))
		snapshot, _ := ahead.Snapshot()
		Expect(keeper.Adopt(snapshot)).To(BeTrue())
		log.catchUp(keeper)
		Expect(head(keeper)).To(Equal("4 d true"))
		Expect(keeper.Adopt(snapshot)).To(BeFalse())
		Expect(head(keeper)).To(Equal("4 d true"))
	})

	It("finds a checkpoint far before the end of the log", func() {
		log.publish("a", "")
		log.catchUp(keeper)
		log.append(keeper.Checkpoint(start))
		for range 1000 {
			log.publish("x", "y")
		}
		log.first = 1
		fresh := newKeeper()
		log.catchUp(fresh)
		Expect(head(fresh)).To(Equal("1 a true"))
	})

	It("renews the checkpoint well before it expires, in the order of the writers' ranks", func() {
		log.publish("a", "")
		log.catchUp(keeper)
		Expect(keeper.CheckpointDue(start, 0)).To(BeTrue())
		log.append(keeper.Checkpoint(start))
		Expect(keeper.CheckpointDue(start, 0)).To(BeFalse())
		log.catchUp(keeper)
		due := func(after time.Duration, rank int) bool {
			now := start.Add(after)
			keeper.Feed(now, log.read(keeper.NextOffset(), readLimit, log.next()))
			return keeper.CheckpointDue(now, rank)
		}
		Expect(due(retention/4, 0)).To(BeFalse())
		Expect(due(retention/4+time.Second, 0)).To(BeTrue())
		Expect(due(retention/4+time.Second, 1)).To(BeFalse())
		Expect(due(retention/2+time.Second, 100)).To(BeTrue())
		Expect(keeper.CheckpointDue(start.Add(retention), 0)).To(BeFalse(), "the writer may have missed records")
	})
})

// schedule is a random sequence of publications, delayed checkpoints, reads by
// lagging and restarting readers, and expiry of records.
type schedule struct {
	log     *fakeLog
	readers []*headkeeper.Keeper
	// expectedHeads[n] is the head after the first n records.
	expectedHeads []currantwood.RulesHead
	pending       []pendingRecord
	// lastRevisions holds each reader's revision at the last check.
	lastRevisions []currantwood.Revision
	ids           []string
}

// pendingRecord is a record that has been sent but not yet appended.
type pendingRecord struct {
	data []byte
	// publication is empty for a checkpoint.
	publication headkeeper.Publication
}

func (s *schedule) append(r pendingRecord) {
	s.log.records = append(s.log.records, r.data)
	head := s.expectedHeads[len(s.expectedHeads)-1]
	if r.publication.ID != "" && r.publication.Base == head.Publication {
		head = currantwood.RulesHead{Revision: head.Revision + 1, Publication: r.publication.ID, Text: r.publication.Text}
	}
	s.expectedHeads = append(s.expectedHeads, head)
}

func (s *schedule) check(t *rapid.T) {
	for i, reader := range s.readers {
		snapshot, synced := reader.Snapshot()
		if synced && snapshot.Head != s.expectedHeads[snapshot.Next] {
			t.Fatalf("reader %d at offset %d has head %v, expected %v", i, snapshot.Next, snapshot.Head, s.expectedHeads[snapshot.Next])
		}
		if snapshot.Head.Revision < s.lastRevisions[i] {
			t.Fatalf("reader %d went back from revision %d to %d", i, s.lastRevisions[i], snapshot.Head.Revision)
		}
		s.lastRevisions[i] = snapshot.Head.Revision
	}
}

func (s *schedule) drawReader(t *rapid.T) int {
	return rapid.IntRange(0, len(s.readers)-1).Draw(t, "reader")
}

func (s *schedule) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": s.check,
		"publish": func(t *rapid.T) {
			base := ""
			if len(s.ids) > 0 && rapid.Bool().Draw(t, "stray base") {
				base = rapid.SampledFrom(s.ids).Draw(t, "base")
			} else if snapshot, _ := s.readers[s.drawReader(t)].Snapshot(); true {
				base = string(snapshot.Head.Publication)
			}
			id := fmt.Sprintf("p%d", len(s.ids))
			s.ids = append(s.ids, id)
			publication := headkeeper.Publication{ID: currantwood.PublicationID(id), Base: currantwood.PublicationID(base), Text: id}
			data, _ := headkeeper.EncodePublication(publication)
			s.pending = append(s.pending, pendingRecord{data: data, publication: publication})
		},
		"checkpoint": func(t *rapid.T) {
			reader := s.readers[s.drawReader(t)]
			if snapshot, synced := reader.Snapshot(); !synced || snapshot.Head.Revision == 0 {
				return
			}
			data, _ := reader.Checkpoint(start)
			s.pending = append(s.pending, pendingRecord{data: data})
		},
		// Appends a pending record, which may stay pending as a later retry.
		"land": func(t *rapid.T) {
			if len(s.pending) == 0 {
				return
			}
			i := rapid.IntRange(0, len(s.pending)-1).Draw(t, "which")
			s.append(s.pending[i])
			if rapid.Bool().Draw(t, "only copy") {
				s.pending = append(s.pending[:i], s.pending[i+1:]...)
			}
		},
		// Reads with the end of the log as a lagging reader sees it.
		"read": func(t *rapid.T) {
			reader := s.readers[s.drawReader(t)]
			until := currantwood.Offset(rapid.Uint64Range(uint64(s.log.first), uint64(s.log.next())).Draw(t, "seen"))
			reader.Feed(start, s.log.read(reader.NextOffset(), rapid.IntRange(1, 4).Draw(t, "limit"), until))
		},
		// Restarts a reader without its state.
		"replace": func(t *rapid.T) {
			i := s.drawReader(t)
			s.readers[i], s.lastRevisions[i] = newKeeper(), 0
		},
		// Has one reader adopt another's state.
		"hand on": func(t *rapid.T) {
			if snapshot, synced := s.readers[s.drawReader(t)].Snapshot(); synced {
				s.readers[s.drawReader(t)].Adopt(snapshot)
			}
		},
		"expire": func(t *rapid.T) {
			s.log.first = min(s.log.next(), s.log.first+currantwood.Offset(rapid.Uint64Range(1, 3).Draw(t, "records")))
		},
	}
}

var _ = Describe("Keeper under random schedules", func() {
	It("has the expected head at its offset while in sync and never goes back to a lower revision", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			s := &schedule{log: &fakeLog{}, expectedHeads: make([]currantwood.RulesHead, 1), lastRevisions: make([]currantwood.Revision, 3)}
			for range s.lastRevisions {
				s.readers = append(s.readers, newKeeper())
			}
			t.Repeat(s.actions())
			s.checkConvergence(t)
		})
	})
})

// checkConvergence checks that every reader reaches the latest head after one
// up-to-date checkpoint.
func (s *schedule) checkConvergence(t *rapid.T) {
	last := s.expectedHeads[len(s.expectedHeads)-1]
	if last.Revision == 0 {
		return
	}
	writer := newKeeper()
	writer.Adopt(headkeeper.Snapshot{Head: last, Next: s.log.next()})
	data, _ := writer.Checkpoint(start)
	s.append(pendingRecord{data: data})
	for i, reader := range append(s.readers, newKeeper()) {
		s.log.catchUp(reader)
		if snapshot, synced := reader.Snapshot(); !synced || snapshot.Head != last {
			t.Fatalf("reader %d ends at %v (in sync: %t), expected head %v", i, snapshot, synced, last)
		}
	}
}
