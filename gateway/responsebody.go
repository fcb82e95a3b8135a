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
	// bufferedShare is the share of the VM's memory that all response bodies being
	// read may take together.
	bufferedShare = 1.0 / 8
	// initialBodyBytes is the capacity with which a body is read at first; it grows.
	initialBodyBytes = 1 << 10
)

// errResponseTooLong means that a response body was longer than maxResponseBytes, or
// that all bodies being read were too long together.
var errResponseTooLong = errors.New("response body is too long")

// responseBuffer bounds the response bodies that are being read. It is safe for
// concurrent use.
type responseBuffer struct {
	// limit is the number of bytes that all bodies may have together.
	limit int64
	// used is the number of bytes read of bodies that aren't released yet.
	used atomic.Int64
}

func newResponseBuffer(memoryBytes int64) *responseBuffer {
	return &responseBuffer{limit: max(maxResponseBytes, int64(bufferedShare*float64(memoryBytes)))}
}

// readAll reads a body to its end. It fails with errResponseTooLong before the body
// exceeds maxResponseBytes, or all bodies together the limit. The caller calls
// release with the length of the returned body, also after an error.
func (b *responseBuffer) readAll(body io.Reader) ([]byte, error) {
	data := make([]byte, 0, initialBodyBytes)
	for {
		data = slices.Grow(data, 1)
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if used := b.used.Add(int64(n)); len(data) > maxResponseBytes || used > b.limit {
			return data, errResponseTooLong
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
func (b *responseBuffer) release(body []byte) { b.used.Add(-int64(len(body))) }
