// Package memorykeeper bounds the memory that what arrives from others may take together while it
// isn't whole yet: the bodies of requests, or the heads, bodies and events of responses.
package memorykeeper

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// share is the share of the VM's memory that one Keeper gives out.
	share = 1.0 / 8
	// initialBodyBytes is the capacity with which a body is read at first; it grows.
	initialBodyBytes = 1 << 10
	// reclaimTime bounds the wait for the memory of bodies that are given up.
	reclaimTime = time.Second
	// reclaimInterval is the time between two attempts to reserve memory meanwhile.
	reclaimInterval = 10 * time.Millisecond
)

var (
	// ErrBodyTooLong means that a body was longer than one may be.
	ErrBodyTooLong = errors.New("body is too long")
	// ErrExhausted means that all that is held would take too much memory together.
	ErrExhausted = errors.New("too much memory is held together")
)

// Keeper gives out memory up to a limit. It is safe for concurrent use.
type Keeper struct {
	// limit is the memory in bytes that all may have together.
	limit int64
	// reclaim gives up the body of another request that makes no progress, whose memory
	// is released soon. It reports false if there is none. It may be nil.
	reclaim func() bool
	// used is the capacity of what isn't released yet. Memory is allocated ahead of the
	// bytes that are read, so counting these alone would let many bodies exceed the limit.
	used atomic.Int64
}

// New returns a Keeper for a VM with a memory size. It gives out a share of that, and enough for
// one body of maxBytes in any case. reclaim may be nil, see Keeper.
func New(memoryBytes, maxBytes int64, reclaim func() bool) *Keeper {
	return &Keeper{limit: max(maxBytes+1, int64(share*float64(memoryBytes))), reclaim: reclaim}
}

// Limit returns the memory in bytes that all may have together.
func (k *Keeper) Limit() int64 { return k.limit }

// Used returns the memory in bytes that is given out.
func (k *Keeper) Used() int64 { return k.used.Load() }

// ReadAll reads a body to its end. It fails with ErrBodyTooLong before the body
// exceeds maxBytes, or with ErrExhausted before all together exceed the limit.
// The caller calls ReleaseBody with the returned body, also after an error.
func (k *Keeper) ReadAll(body io.Reader, maxBytes int64) ([]byte, error) {
	var data []byte
	for {
		if len(data) == cap(data) {
			capacity := nextCapacity(int64(cap(data)), maxBytes)
			if !k.reserve(capacity - int64(cap(data))) {
				return data, ErrExhausted
			}
			data = append(make([]byte, 0, capacity), data...)
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if int64(len(data)) > maxBytes {
			return data, ErrBodyTooLong
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
func (k *Keeper) reserve(bytes int64) bool {
	for range int(reclaimTime / reclaimInterval) {
		if k.TryReserve(bytes) {
			return true
		}
		if k.reclaim == nil || !k.reclaim() {
			return false
		}
		time.Sleep(reclaimInterval)
	}
	return false
}

// TryReserve reserves memory if it is left. What doesn't fit is never counted, as it
// would let smaller amounts that fit be refused meanwhile.
func (k *Keeper) TryReserve(bytes int64) bool {
	for {
		used := k.used.Load()
		if used+bytes > k.limit {
			return false
		}
		if k.used.CompareAndSwap(used, used+bytes) {
			return true
		}
	}
}

// Release gives back memory that was reserved.
func (k *Keeper) Release(bytes int64) { k.used.Add(-bytes) }

// ReleaseBody gives back the memory of a body that ReadAll has returned.
func (k *Keeper) ReleaseBody(body []byte) { k.Release(int64(cap(body))) }
