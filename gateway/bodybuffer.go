package gateway

import (
	"io"
	"slices"
	"sync/atomic"

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

// bodyBuffer bounds the bodies that are held. It is safe for concurrent use.
type bodyBuffer struct {
	// limit is the number of bytes that all bodies may have together.
	limit int64
	// used is the number of bytes read of bodies that aren't released yet.
	used atomic.Int64
}

// newBodyBuffer returns a buffer for bodies of a VM, at least one of which may have
// maxBytes.
func newBodyBuffer(memoryBytes, maxBytes int64) *bodyBuffer {
	return &bodyBuffer{limit: max(maxBytes, int64(bufferedShare*float64(memoryBytes)))}
}

// readAll reads a body to its end. It fails with errBodyTooLong before the body
// exceeds maxBytes, or with errBodiesTooLong before all bodies together exceed the limit.
// The caller calls release with the returned body, also after an error.
func (b *bodyBuffer) readAll(body io.Reader, maxBytes int64) ([]byte, error) {
	data := make([]byte, 0, initialBodyBytes)
	for {
		data = slices.Grow(data, 1)
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		used := b.used.Add(int64(n))
		if int64(len(data)) > maxBytes {
			return data, errBodyTooLong
		}
		if used > b.limit {
			return data, errBodiesTooLong
		}
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return data, err
		}
	}
}

// release notes that a body is no longer needed.
func (b *bodyBuffer) release(body []byte) { b.used.Add(-int64(len(body))) }
