package streamsaver

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/streamencoder"
	"github.com/currantwood/currantwood/streamkeeper"
)

// fakeStore keeps the newest record of each key.
type fakeStore struct {
	records map[string]currantwood.KeyedRecord
	err     error
}

func (s *fakeStore) Append(_ context.Context, _ string, records []currantwood.KeyedRecord) error {
	if s.err != nil {
		return s.err
	}
	for _, r := range records {
		s.records[r.Key] = r
	}
	return nil
}

// fakeStarts wraps a keeper.
type fakeStarts struct{ *streamkeeper.Keeper }

func (s fakeStarts) UnsavedStarts(limit int) ([]streamkeeper.Start, uint64) { return s.Unsaved(limit) }
func (s fakeStarts) MarkStartsSaved(next uint64)                            { s.MarkSaved(next) }

var _ = Describe("Saver", func() {
	now := time.UnixMilli(1_700_000_007_000)
	var store *fakeStore
	var starts fakeStarts
	var saver *Saver
	var timeOfDay time.Time
	BeforeEach(func() {
		store, starts, timeOfDay = &fakeStore{records: map[string]currantwood.KeyedRecord{}}, fakeStarts{streamkeeper.New()}, now
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		saver = New(ctx, Options{Store: store, Starts: starts, Logger: zap.NewNop(), Now: time.Now, TimeOfDay: func() time.Time { return timeOfDay }, Responsible: func(time.Time) bool { return false }})
	})
	begin := func(stream currantwood.Fingerprint) {
		starts.Begin(streamkeeper.Start{Stream: stream, Origin: streamkeeper.Origin{Group: "g", Version: "v1"}, At: now})
	}
	// saved returns how many streams the store tells of.
	saved := func() int {
		count := 0
		for _, record := range store.records {
			decoded, err := streamencoder.Encoder{}.Decode(now, now, record)
			Expect(err).NotTo(HaveOccurred())
			count += len(decoded)
		}
		return count
	}

	It("keeps what a record of the same slot held", func() {
		begin(1)
		saver.Save(context.Background())
		begin(2)
		saver.Save(context.Background())
		timeOfDay = now.Add(time.Second)
		begin(3)
		saver.Save(context.Background())
		Expect(store.records).To(HaveLen(2))
		Expect(saved()).To(Equal(3))
	})

	It("saves after a failure what it didn't before", func() {
		begin(1)
		store.err = errors.New("away")
		saver.Save(context.Background())
		store.err = nil
		begin(2)
		saver.Save(context.Background())
		Expect(saved()).To(BeNumerically(">=", 2))
	})

	It("writes nothing if nothing began", func() {
		saver.Save(context.Background())
		Expect(store.records).To(BeEmpty())
	})
})
