package crashsaver

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/crashkeeper"
)

// recordingStore fails as many appends as failures says and keeps the records of
// the others.
type recordingStore struct {
	mu       sync.Mutex
	failures int
	records  []currantwood.KeyedRecord
}

func (s *recordingStore) Append(_ context.Context, _ string, records []currantwood.KeyedRecord) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failures > 0 {
		s.failures--
		return errors.New("store away")
	}
	s.records = append(s.records, records...)
	return nil
}

func (s *recordingStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.records)
}

// lockedKeeper is a crashkeeper.Keeper for concurrent use.
type lockedKeeper struct {
	mu     sync.Mutex
	keeper *crashkeeper.Keeper
}

func (k *lockedKeeper) UnsavedCrashes(now time.Time, limit int) []crashkeeper.Unsaved {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.keeper.Unsaved(now, limit)
}

func (k *lockedKeeper) MarkCrashesSaved(saved []crashkeeper.Unsaved) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.keeper.MarkSaved(saved)
}

func (k *lockedKeeper) SaveSingleCrashes() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.keeper.SaveSingles()
}

var _ = DescribeTable("Saver saves a recurrent request once, when it is responsible and the store answers",
	func(failures int, responsible bool, want int) {
		store := &recordingStore{failures: failures}
		keeper := &lockedKeeper{keeper: crashkeeper.New()}
		for _, id := range []currantwood.UpstreamID{"a", "b"} {
			keeper.keeper.Record(time.Now(), crashkeeper.AgedCrash{Crash: crashkeeper.Crash{Suspect: currantwood.Suspect{Fingerprint: 7}, Upstream: id}})
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		New(ctx, Options{
			Store: store, Topic: "crashes", Crashes: keeper, Logger: zap.NewNop(), Now: time.Now, TimeOfDay: time.Now,
			Responsible: func(time.Time) bool { return responsible },
		})
		Eventually(store.count, "3s", "20ms").Should(Equal(want))
		Consistently(store.count, 3*interval, "20ms").Should(Equal(want))
	},
	Entry("at once", 0, true, 1),
	Entry("again after failures", 2, true, 1),
	Entry("not if another gateway does", 0, false, 0),
)
