package responsereader

import (
	"bufio"
	"bytes"
	"io"
	"net/http/httputil"

	"github.com/pkg/errors"
)

// sizedBody is a body of known length.
type sizedBody struct {
	in   io.Reader
	left int64
}

func (b *sizedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.in.Read(p[:min(int64(len(p)), b.left)])
	if b.left -= int64(n); b.left == 0 {
		return n, nil
	}
	return n, unexpectedEnd(err, true)
}

// chunkedBody is a chunked body with the trailers, which are checked and dropped.
type chunkedBody struct {
	in     *bufio.Reader
	chunks io.Reader
	// ended is set once the trailers were read.
	ended bool
}

func newChunkedBody(in *bufio.Reader) *chunkedBody {
	return &chunkedBody{in: in, chunks: httputil.NewChunkedReader(in)}
}

func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	n, err := b.chunks.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if err := b.readTrailers(); err != nil {
		return n, err
	}
	b.ended = true
	return n, io.EOF
}

// readTrailers reads the fields after the last chunk, and the empty line that ends them.
func (b *chunkedBody) readTrailers() error {
	left := maxTrailerBytes
	for {
		line, err := b.in.ReadSlice('\n')
		if left -= len(line); left < 0 || errors.Is(err, bufio.ErrBufferFull) {
			return errors.WithStack(ErrHeadTooLong)
		}
		if err != nil {
			return errors.WithStack(unexpectedEnd(err, true))
		}
		if !bytes.HasSuffix(line, []byte("\r\n")) {
			return errors.Wrap(ErrMalformed, "end of a line after the last chunk")
		}
		line = trimLineEnd(line)
		if len(line) == 0 {
			return nil
		}
		if err := checkField(line); err != nil {
			return err
		}
	}
}
