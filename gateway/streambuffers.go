package gateway

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood/flow/bufferkeeper"
)

// buffersLogInterval is the least time between two log lines about streams that were ended for
// their memory.
const buffersLogInterval = 10 * time.Second

// streamBuffers accounts for the events that all streams of the gateway have buffered. It is safe
// for concurrent use. Its lock is taken only for streams whose clients don't keep up.
type streamBuffers struct {
	logger *zap.Logger
	now    func() time.Time
	ended  metrics.Counter
	mu     sync.Mutex
	keeper *bufferkeeper.Keeper[*clientWriter]
	// loggedAt is when the last log line was written, and endedSince how many streams were
	// ended since then. Both are guarded by mu.
	loggedAt   time.Time
	endedSince int
}

func newStreamBuffers(options Options) *streamBuffers {
	streamBytes, totalBytes := options.Settings.Flow.Bytes(options.Settings.MemoryBytes)
	return &streamBuffers{
		logger: options.Logger,
		now:    options.Now,
		ended:  metrics.NewRegisteredCounter("streams-ended-unread", options.Metrics),
		keeper: bufferkeeper.New[*clientWriter](streamBytes, totalBytes),
	}
}

// open notes that writes to a client have begun to block.
func (b *streamBuffers) open(c *clientWriter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.keeper.Open(b.now(), c)
}

// reserve charges bytes to a stream. If there is no memory, it returns the stream to end for it,
// or nil.
func (b *streamBuffers) reserve(c *clientWriter, bytes int64) (ok bool, victim *clientWriter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.keeper.Reserve(c, bytes) {
		return true, nil
	}
	now := b.now()
	victim, found := b.keeper.Pick(now, c, bytes)
	if !found {
		return false, nil
	}
	b.ended.Inc(1)
	b.endedSince++
	if now.Sub(b.loggedAt) >= buffersLogInterval {
		b.logger.Info("streams ended: clients stopped reading and the memory for streams is used up", zap.Int("streams", b.endedSince), zap.Int64("buffered-bytes", b.keeper.Bytes()))
		b.loggedAt, b.endedSince = now, 0
	}
	return false, victim
}

// release gives back what a client has taken.
func (b *streamBuffers) release(c *clientWriter, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.keeper.Release(b.now(), c, bytes)
}

// close gives back all that a stream has reserved.
func (b *streamBuffers) close(c *clientWriter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.keeper.Close(c)
}

// StreamBufferBytes returns the memory of the events that are buffered for clients.
func (g *Gateway) StreamBufferBytes() int64 {
	g.buffers.mu.Lock()
	defer g.buffers.mu.Unlock()
	return g.buffers.keeper.Bytes()
}
