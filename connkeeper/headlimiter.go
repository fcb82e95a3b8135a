package connkeeper

import (
	"io"

	"github.com/pkg/errors"
)

// maxHeadBytes bounds what is read until the head of a response is complete, heads
// with informational statuses included.
const maxHeadBytes = 64 << 10

// unlimited is the value of headLimiter.remaining while no head is read.
const unlimited = -1

// ErrHeadTooLong means that an upstream sent more than maxHeadBytes without a
// complete head.
var ErrHeadTooLong = errors.New("head of the response is too long")

// IsTooLong reports whether an exchange failed since the upstream sent more than it
// may, rather than less.
func IsTooLong(err error) bool {
	return errors.Is(err, ErrHeadTooLong) || errors.Is(err, ErrUnrelatedResponse)
}

// headLimiter fails once remaining bytes were read, unless that is unlimited. It notes when bytes
// arrive.
type headLimiter struct {
	source    io.Reader
	remaining int
	arrivals  arrivalClock
}

func (l *headLimiter) Read(b []byte) (int, error) {
	l.arrivals.waiting.Store(true)
	defer l.arrivals.noteRead()
	if l.remaining == unlimited {
		return l.source.Read(b)
	}
	if l.remaining == 0 {
		return 0, ErrHeadTooLong
	}
	n, err := l.source.Read(b[:min(len(b), l.remaining)])
	l.remaining -= n
	return n, err
}
