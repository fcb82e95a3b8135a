package storecounter

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/proof/redlister"
)

func TestStorecounter(t *testing.T) {
	RegisterFailHandler(Fail)
	redlister.Skipper{}.RunSpecs(t, "Storecounter")
}

// scriptedStore fails with its error.
type scriptedStore struct{ err error }

func (s scriptedStore) Newest(context.Context, string) (currantwood.KeyedRecordBatch, error) {
	return currantwood.KeyedRecordBatch{Next: 3}, s.err
}

func (s scriptedStore) Read(context.Context, string, currantwood.Offset, time.Duration) (currantwood.KeyedRecordBatch, error) {
	return currantwood.KeyedRecordBatch{Next: 4}, s.err
}

func (s scriptedStore) Append(context.Context, string, []currantwood.KeyedRecord) error { return s.err }

var _ = Describe("Counter", func() {
	It("passes calls on, and counts them by kind, topic and outcome", func(ctx SpecContext) {
		registry := metrics.NewRegistry()
		store := &scriptedStore{}
		c := New(store, store, registry)
		batch, err := c.Newest(ctx, "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(batch.Next).To(Equal(currantwood.Offset(3)))
		store.err = currantwood.ErrRecordsExpired
		_, err = c.Read(ctx, "a", 0, 0)
		Expect(err).To(MatchError(currantwood.ErrRecordsExpired))
		store.err = errors.New("down")
		_, err = c.Read(ctx, "a", 0, 0)
		Expect(err).To(MatchError(store.err))
		Expect(c.Append(ctx, "b", nil)).To(MatchError(store.err))
		Expect(c.LogFields()).To(Equal([]zap.Field{
			zap.Int("store-calls-append-b-failed", 1), zap.Int("store-calls-newest-a-ok", 1),
			zap.Int("store-calls-read-a-failed", 1), zap.Int("store-calls-read-a-ok", 1),
		}))
		Expect(c.LogFields()).To(BeEmpty())
		Expect(metrics.GetOrRegisterCounter("store-calls-read-a-failed", registry).Count()).To(BeEquivalentTo(1))
	})
})
