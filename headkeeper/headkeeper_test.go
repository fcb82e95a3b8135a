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

const retention = time.Hour

var start = time.Unix(1_000_000, 0)

// fakeLog is a stream that can lose its oldest records.
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

// window reads at most limit records that were appended before until.
func (l *fakeLog) window(from currantwood.Offset, limit int, until currantwood.Offset) currantwood.RecordBatch {
	w := currantwood.RecordBatch{First: l.first, End: max(l.first, until)}
	for at := max(from, l.first); at < w.End && len(w.Records) < limit; at++ {
		w.Records = append(w.Records, currantwood.Record{Offset: at, Data: l.records[at]})
	}
	return w
}

func (l *fakeLog) feed(k *headkeeper.Keeper) {
	k.Feed(start, l.window(k.Want(), 3, l.next()))
}

// catchUp feeds a keeper until it stands at the end or finds no way to it.
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
		anchor, anchored := k.Anchor()
		return fmt.Sprintf("%d %s %t", anchor.Head.Revision, anchor.Head.Text, anchored)
	}
	BeforeEach(func() {
		log, keeper = &fakeLog{}, newKeeper()
	})

	It("accepts the first of two that were edited from the same head", func() {
		log.publish("a", "")
		log.publish("b", "a")
		log.publish("c", "a")
		log.publish("b", "a")
		log.catchUp(keeper)
		Expect(head(keeper)).To(Equal("2 b true"))
		verdict, ok := keeper.Verdict("c")
		Expect(ok).To(BeTrue())
		Expect(verdict.Accepted).To(BeFalse())
		first, ok := keeper.Successor("a")
		Expect(ok).To(BeTrue())
		Expect(first.Publication).To(Equal(currantwood.PublicationID("b")))
		Expect(first.Accepted).To(BeTrue())
	})

	It("is not led astray by a stale checkpoint that is the only one of its revision", func() {
		// A writer paused at revision 1 and woke after revision 2. To anchor at
		// its record and replay only what follows would show revision 1 again
		// and accept d, which every other reader refuses.
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

	It("shows no head where all checkpoints speak of expired records", func() {
		log.publish("a", "")
		writer := newKeeper()
		log.catchUp(writer)
		log.publish("b", "a")
		log.append(writer.Checkpoint(start))
		log.first = 2
		log.catchUp(keeper)
		Expect(head(keeper)).To(Equal("0  false"))
	})

	It("keeps its head over a gap and goes on from a later checkpoint or a peer", func() {
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
		anchor, _ := ahead.Anchor()
		Expect(keeper.Adopt(anchor)).To(BeTrue())
		log.catchUp(keeper)
		Expect(head(keeper)).To(Equal("4 d true"))
		Expect(keeper.Adopt(anchor)).To(BeFalse())
		Expect(head(keeper)).To(Equal("4 d true"))
	})

	It("finds a checkpoint far behind the end", func() {
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

	It("renews the checkpoint well before it expires, one writer after the other", func() {
		log.publish("a", "")
		log.catchUp(keeper)
		Expect(keeper.CheckpointDue(start, 0)).To(BeTrue())
		log.append(keeper.Checkpoint(start))
		Expect(keeper.CheckpointDue(start, 0)).To(BeFalse())
		log.catchUp(keeper)
		due := func(after time.Duration, rank int) bool {
			now := start.Add(after)
			keeper.Feed(now, log.window(keeper.Want(), 3, log.next()))
			return keeper.CheckpointDue(now, rank)
		}
		Expect(due(retention/4, 0)).To(BeFalse())
		Expect(due(retention/4+time.Second, 0)).To(BeTrue())
		Expect(due(retention/4+time.Second, 1)).To(BeFalse())
		Expect(due(retention/2+time.Second, 100)).To(BeTrue())
		Expect(keeper.CheckpointDue(start.Add(retention), 0)).To(BeFalse(), "the writer may have missed records")
	})
})

// schedule is one random run: operators, writers of checkpoints that pause,
// readers that lag or begin anew, and records that expire.
type schedule struct {
	log     *fakeLog
	readers []*headkeeper.Keeper
	// truth[n] is the head by the first n records, worked out from the start.
	truth   []currantwood.RulesHead
	delayed []delayed
	shown   []currantwood.Revision
	ids     []string
}

// delayed is a record on its way to the log.
type delayed struct {
	data []byte
	// publication is empty for a checkpoint.
	publication headkeeper.Publication
}

func (s *schedule) append(r delayed) {
	s.log.records = append(s.log.records, r.data)
	head := s.truth[len(s.truth)-1]
	if r.publication.ID != "" && r.publication.Base == head.Publication {
		head = currantwood.RulesHead{Revision: head.Revision + 1, Publication: r.publication.ID, Text: r.publication.Text}
	}
	s.truth = append(s.truth, head)
}

func (s *schedule) check(t *rapid.T) {
	for i, reader := range s.readers {
		anchor, anchored := reader.Anchor()
		if anchored && anchor.Head != s.truth[anchor.Next] {
			t.Fatalf("reader %d at %d shows %v, the truth is %v", i, anchor.Next, anchor.Head, s.truth[anchor.Next])
		}
		if anchor.Head.Revision < s.shown[i] {
			t.Fatalf("reader %d went from %d back to %d", i, s.shown[i], anchor.Head.Revision)
		}
		s.shown[i] = anchor.Head.Revision
	}
}

func (s *schedule) reader(t *rapid.T) int {
	return rapid.IntRange(0, len(s.readers)-1).Draw(t, "reader")
}

func (s *schedule) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": s.check,
		"publish": func(t *rapid.T) {
			base := ""
			if len(s.ids) > 0 && rapid.Bool().Draw(t, "stray base") {
				base = rapid.SampledFrom(s.ids).Draw(t, "base")
			} else if anchor, _ := s.readers[s.reader(t)].Anchor(); true {
				base = string(anchor.Head.Publication)
			}
			id := fmt.Sprintf("p%d", len(s.ids))
			s.ids = append(s.ids, id)
			publication := headkeeper.Publication{ID: currantwood.PublicationID(id), Base: currantwood.PublicationID(base), Text: id}
			data, _ := headkeeper.EncodePublication(publication)
			s.delayed = append(s.delayed, delayed{data: data, publication: publication})
		},
		"checkpoint": func(t *rapid.T) {
			reader := s.readers[s.reader(t)]
			if anchor, anchored := reader.Anchor(); !anchored || anchor.Head.Revision == 0 {
				return
			}
			data, _ := reader.Checkpoint(start)
			s.delayed = append(s.delayed, delayed{data: data})
		},
		"land": func(t *rapid.T) {
			if len(s.delayed) == 0 {
				return
			}
			i := rapid.IntRange(0, len(s.delayed)-1).Draw(t, "which")
			s.append(s.delayed[i])
			if rapid.Bool().Draw(t, "only copy") {
				s.delayed = append(s.delayed[:i], s.delayed[i+1:]...)
			}
		},
		"read": func(t *rapid.T) {
			reader := s.readers[s.reader(t)]
			until := currantwood.Offset(rapid.Uint64Range(uint64(s.log.first), uint64(s.log.next())).Draw(t, "seen"))
			reader.Feed(start, s.log.window(reader.Want(), rapid.IntRange(1, 4).Draw(t, "limit"), until))
		},
		"replace": func(t *rapid.T) {
			i := s.reader(t)
			s.readers[i], s.shown[i] = newKeeper(), 0
		},
		"hand on": func(t *rapid.T) {
			if anchor, anchored := s.readers[s.reader(t)].Anchor(); anchored {
				s.readers[s.reader(t)].Adopt(anchor)
			}
		},
		"expire": func(t *rapid.T) {
			s.log.first = min(s.log.next(), s.log.first+currantwood.Offset(rapid.Uint64Range(1, 3).Draw(t, "records")))
		},
	}
}

var _ = Describe("under random schedules", func() {
	It("every anchored reader shows the truth at its offset and none goes back", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			s := &schedule{log: &fakeLog{}, truth: make([]currantwood.RulesHead, 1), shown: make([]currantwood.Revision, 3)}
			for range s.shown {
				s.readers = append(s.readers, newKeeper())
			}
			t.Repeat(s.actions())
			s.settle(t)
		})
	})
})

// settle checks that one good checkpoint brings every reader to the end.
func (s *schedule) settle(t *rapid.T) {
	last := s.truth[len(s.truth)-1]
	if last.Revision == 0 {
		return
	}
	writer := newKeeper()
	writer.Adopt(headkeeper.Anchor{Head: last, Next: s.log.next()})
	data, _ := writer.Checkpoint(start)
	s.append(delayed{data: data})
	for i, reader := range append(s.readers, newKeeper()) {
		s.log.catchUp(reader)
		if anchor, anchored := reader.Anchor(); !anchored || anchor.Head != last {
			t.Fatalf("reader %d ends at %v %t, the truth is %v", i, anchor, anchored, last)
		}
	}
}
