package connkeeper

import (
	"io"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// ErrReset means that a response without a length didn't end in order: its connection was
// reset.
var ErrReset = errors.New("the connection was reset before the end of the response")

// unframedBody is the body of a response that ends with its connection.
type unframedBody struct {
	io.Reader
	// checkEnd returns an error if the end of the connection isn't that of the response.
	checkEnd func() error
}

func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		if failed := b.checkEnd(); failed != nil {
			err = failed
		}
	}
	return n, err
}

// checkEnd returns ErrReset if the upstream has reset the connection. The kernel reports a
// reset once: if the write of the request's body is told, a read finds only the end of the
// connection. It reports ECONNRESET to a write unless the upstream had ended its side before,
// when it is EPIPE.
func (x *Exchange) checkEnd() error {
	// A write that still waits then returns. Nothing more is sent on the connection.
	_ = x.conn.SetWriteDeadline(time.Unix(1, 0))
	<-x.bodyWritten
	if errors.Is(x.writeErr, syscall.ECONNRESET) {
		return errors.WithStack(ErrReset)
	}
	return nil
}
