package discoverer

import (
	"context"
	"math/rand"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/proof/redlister"
)

func TestDiscoverer(t *testing.T) {
	RegisterFailHandler(Fail)
	redlister.Skipper{}.RunSpecs(t, "discoverer")
}

var start = time.Unix(1000, 0)

// seconds returns the time so many seconds after start.
func seconds(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

// step is a question to the schedule.
type step struct {
	at       float64
	collects bool
	due      bool
}

var _ = DescribeTable("schedule",
	func(steps ...step) {
		s := &schedule{settle: 1500 * time.Millisecond}
		for _, step := range steps {
			Expect(s.due(seconds(step.at), step.collects)).To(Equal(step.due), "at %v s", step.at)
			if step.due {
				s.announced(seconds(step.at))
			}
		}
	},
	// Guards against an announcement of each gateway of a fleet that starts.
	Entry("a gateway that is the collector for a moment announces nothing", step{0, true, false}, step{1.4, true, false}, step{1.5, false, false}, step{9, false, false}),
	Entry("a collector announces itself once it has settled, and then at intervals", step{0, true, false}, step{1.5, true, true}, step{6.4, true, false}, step{6.5, true, true}),
	Entry("one that was none meanwhile settles again", step{0, true, false}, step{1.5, true, true}, step{2, false, false}, step{8, true, false}, step{9.5, true, true}),
	Entry("no gateway that isn't the collector announces itself", step{0, false, false}, step{60, false, false}),
)

var _ = Describe("schedule", func() {
	// Guards against an announcement that is believed to be in the store, which has lost it.
	It("is due at once when the store has lost the last announcement", func() {
		s := &schedule{settle: time.Second}
		s.due(seconds(0), true)
		Expect(s.due(seconds(1), true)).To(BeTrue())
		s.announced(seconds(1))
		s.forget()
		Expect(s.due(seconds(1.1), true)).To(BeTrue())
	})
})

// topic keeps what is appended, unless it fails.
type topic struct {
	mu      sync.Mutex
	failing bool
	records []currantwood.KeyedRecord
}

func (t *topic) Append(_ context.Context, _ string, records []currantwood.KeyedRecord) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.failing {
		return errors.New("no store")
	}
	t.records = append(t.records, records...)
	return nil
}

func (t *topic) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}

var _ = Describe("Discoverer", func() {
	newDiscoverer := func(vm currantwood.VMID, address string, store *topic, found func(string)) *Discoverer {
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		return New(ctx, Options{
			Store: store, VM: vm, Address: address, Logger: zap.NewNop(), Random: rand.New(rand.NewSource(1)),
			Collects: func(time.Time) bool { return true }, Found: func(_ time.Time, address string) { found(address) },
			Now: time.Now, TimeOfDay: time.Now,
		})
	}

	It("announces itself, and finds others but not itself", func() {
		store := &topic{}
		var found []string
		a := newDiscoverer("a", "10.0.0.1:7", store, func(address string) { found = append(found, address) })
		Eventually(store.count, "3s", "10ms").Should(Equal(1))
		a.Learn(start, store.records)
		Expect(found).To(BeEmpty())
		b := newDiscoverer("b", "10.0.0.2:7", &topic{}, func(address string) { found = append(found, address) })
		b.Learn(start, store.records)
		Expect(found).To(Equal([]string{"10.0.0.1:7"}))
	})

	It("announces itself again after an append that failed", func() {
		store := &topic{failing: true}
		newDiscoverer("a", "10.0.0.1:7", store, func(string) {})
		time.Sleep(2100 * time.Millisecond)
		store.mu.Lock()
		store.failing = false
		store.mu.Unlock()
		Eventually(store.count, "1s", "10ms").Should(Equal(1))
	})

	DescribeTable("passes over records of which it can make nothing",
		func(value string) {
			found := 0
			newDiscoverer("a", "10.0.0.1:7", &topic{}, func(string) { found++ }).Learn(start, []currantwood.KeyedRecord{{Key: announcementKey, Value: []byte(value)}})
			Expect(found).To(BeZero())
		},
		Entry("deleted", ""),
		Entry("no JSON", "{"),
		Entry("another type", `{"vm":"b","address":7}`),
		Entry("a name in place of an address", `{"vm":"b","address":"host:7"}`),
		Entry("no VM", `{"address":"10.0.0.2:7"}`),
	)
})
