// Package storecounter counts the calls of a gateway to the store by topic, kind and
// outcome, for metrics and for a log line at intervals.
package storecounter

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
)

// The kinds of calls, as in the names of metrics.
const (
	newest  = "newest"
	read    = "read"
	appends = "append"
)

// Counter implements currantwood.KeyedStore and currantwood.KeyedWriter by those that it
// was given. It is safe for concurrent use. The newest records of a topic count as one
// call, however many pages they have.
type Counter struct {
	store    currantwood.KeyedStore
	writer   currantwood.KeyedWriter
	registry metrics.Registry
	mu       sync.Mutex
	// counts holds the calls since LogFields was called last, by the name of their metric;
	// guarded by mu.
	counts map[string]int
}

// New returns a counter of the calls to store and writer, with its metrics in registry.
func New(store currantwood.KeyedStore, writer currantwood.KeyedWriter, registry metrics.Registry) *Counter {
	return &Counter{store: store, writer: writer, registry: registry, counts: make(map[string]int)}
}

// Newest implements currantwood.KeyedStore.
func (c *Counter) Newest(ctx context.Context, topic string) (currantwood.KeyedRecordBatch, error) {
	batch, err := c.store.Newest(ctx, topic)
	c.count(newest, topic, err)
	return batch, err
}

// Read implements currantwood.KeyedStore.
func (c *Counter) Read(ctx context.Context, topic string, from currantwood.Offset, wait time.Duration) (currantwood.KeyedRecordBatch, error) {
	batch, err := c.store.Read(ctx, topic, from, wait)
	c.count(read, topic, err)
	return batch, err
}

// Append implements currantwood.KeyedWriter.
func (c *Counter) Append(ctx context.Context, topic string, records []currantwood.KeyedRecord) error {
	err := c.writer.Append(ctx, topic, records)
	c.count(appends, topic, err)
	return err
}

// count counts a call. One that finds its records expired has reached the store.
func (c *Counter) count(kind, topic string, err error) {
	outcome := "ok"
	if err != nil && !errors.Is(err, currantwood.ErrRecordsExpired) {
		outcome = "failed"
	}
	name := strings.Join([]string{"store-calls", kind, topic, outcome}, "-")
	metrics.GetOrRegisterCounter(name, c.registry).Inc(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[name]++
}

// LogFields returns the calls since it was called last, one field for each kind, topic
// and outcome, in the order of their names.
func (c *Counter) LogFields() []zap.Field {
	c.mu.Lock()
	defer c.mu.Unlock()
	names := make([]string, 0, len(c.counts))
	for name := range c.counts {
		names = append(names, name)
	}
	slices.Sort(names)
	fields := make([]zap.Field, 0, len(names))
	for _, name := range names {
		fields = append(fields, zap.Int(name, c.counts[name]))
	}
	clear(c.counts)
	return fields
}
