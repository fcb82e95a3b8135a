package gateway

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxResponseBytes bounds a response body that is read whole.
	maxResponseBytes = 8 << 20
	// bufferedShare is the share of the VM's memory that all request bodies may take
	// together, and all response bodies being read.
	bufferedShare = 1.0 / 8
	// initialBodyBytes is the capacity with which a body is read at first; it grows.
	initialBodyBytes = 1 << 10
)

var (
	// errBodyTooLong means that a body was longer than one may be.
	errBodyTooLong = errors.New("body is too long")
	// errBodiesTooLong means that all bodies that are held were too long together.
	errBodiesTooLong = errors.New("bodies are too long together")
)

const (
	// reclaimTime bounds the wait for the memory of bodies that are given up.
	reclaimTime = time.Second
	// reclaimInterval is the time between two attempts to reserve memory meanwhile.
	reclaimInterval = 10 * time.Millisecond
)

// bodyBuffer bounds the bodies that are held. It is safe for concurrent use.
type bodyBuffer struct {
	// limit is the memory in bytes that all bodies may have together.
	limit int64
	// reclaim gives up the body of another request that makes no progress, whose memory
	// is released soon. It reports false if there is none. It may be nil.
	reclaim func() bool
	// used is the capacity of the bodies that aren't released yet. Memory is allocated
	// ahead of the bytes that are read, so counting these alone would let many bodies
	// exceed the limit.
	used atomic.Int64
}

// newBodyBuffer returns a buffer for bodies of a VM, at least one of which may have
// maxBytes.
func newBodyBuffer(memoryBytes, maxBytes int64) *bodyBuffer {
	return &bodyBuffer{limit: max(maxBytes+1, int64(bufferedShare*float64(memoryBytes)))}
}

// readAll reads a body to its end. It fails with errBodyTooLong before the body
// exceeds maxBytes, or with errBodiesTooLong before all bodies together exceed the limit.
// The caller calls release with the returned body, also after an error.
func (b *bodyBuffer) readAll(body io.Reader, maxBytes int64) ([]byte, error) {
	var data []byte
	for {
		if len(data) == cap(data) {
			capacity := nextCapacity(int64(cap(data)), maxBytes)
			if !b.reserve(capacity - int64(cap(data))) {
				return data, errBodiesTooLong
			}
			data = append(make([]byte, 0, capacity), data...)
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if int64(len(data)) > maxBytes {
			return data, errBodyTooLong
		}
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return data, err
		}
	}
}

// nextCapacity returns the capacity to which a full buffer grows: up to the limit, and one
// byte beyond, which shows that a body is too long.
func nextCapacity(capacity, maxBytes int64) int64 {
	return min(maxBytes+1, max(initialBodyBytes, capacity+capacity/2))
}

// reserve reserves memory. If there is none left, it waits for bodies that make no progress
// to be given up. It reports false if there are none, or if that takes too long.
func (b *bodyBuffer) reserve(bytes int64) bool {
	for range int(reclaimTime / reclaimInterval) {
		if b.tryReserve(bytes) {
			return true
		}
		if b.reclaim == nil || !b.reclaim() {
			return false
		}
		time.Sleep(reclaimInterval)
	}
	return false
}

// tryReserve reserves memory if it is left. A body that doesn't fit is never counted, as it
// would let smaller ones that fit be refused meanwhile.
func (b *bodyBuffer) tryReserve(bytes int64) bool {
	for {
		used := b.used.Load()
		if used+bytes > b.limit {
			return false
		}
		if b.used.CompareAndSwap(used, used+bytes) {
			return true
		}
	}
}

// release notes that a body is no longer needed.
func (b *bodyBuffer) release(body []byte) { b.used.Add(-int64(cap(body))) }
