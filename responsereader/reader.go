// Package responsereader reads HTTP/1 responses. It decides, for all that this project calls,
// what is a whole, well-formed response: status line, names and values of fields, framing and
// end.
//
// It is stricter than net/http, which accepts blanks in the names of fields, lines that go on the
// one before, and any number as a status. The sender of such a response is in trouble, and what
// follows may belong to another one.
package responsereader

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/currantwood/currantwood/memorykeeper"
)

const (
	// maxHeadBytes bounds what is read until the head of a response is complete, heads with
	// informational statuses included.
	maxHeadBytes = 64 << 10
	// maxHeadFields bounds the fields of these heads. A field takes more memory than its bytes.
	maxHeadFields = 512
	// freeHeadBytes is what a head may have without being charged to the memory that all share.
	freeHeadBytes = 4 << 10
	// headCost is what a byte of a longer head is charged: the head, its decoded fields, and
	// the maps and slices that hold them.
	headCost = 4
	// maxTrailerBytes bounds the fields after the last chunk of a body.
	maxTrailerBytes = 4 << 10
)

var (
	// ErrMalformed means that what arrived isn't a response in the protocol.
	ErrMalformed = errors.New("malformed response")
	// ErrHeadTooLong means that more than maxHeadBytes or maxHeadFields came without the end
	// of a head, or more than maxTrailerBytes without that of a body.
	ErrHeadTooLong = errors.New("head of the response is too long")
)

// decoders holds the readers from which net/http decodes heads.
var decoders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, decoderBytes) }}

// decoderBytes is the size of their buffers.
const decoderBytes = 1 << 10

// Response is a response whose head was read.
type Response struct {
	// Status is from 200 to 599.
	Status int
	Header http.Header
	// Body ends with io.EOF only if it is complete, or if Framed is false: then it ends with
	// its source.
	Body io.Reader
	// Framed is whether the body has a length, which may be 0, or is chunked.
	Framed bool
	// Length is the length of the body; -1 if it isn't known.
	Length int64
	// Close is whether the connection must not be used again.
	Close bool
}

// Reader reads the responses on one connection, one after the other.
type Reader struct {
	in     *bufio.Reader
	memory *memorykeeper.Keeper
	// charged is what is reserved of memory for the head.
	charged atomic.Int64
	// request is that of the next response; net/http needs its method.
	request http.Request
	// head holds the head that is read.
	head []byte
	// bytesLeft and fieldsLeft are what heads may still have until one is complete.
	bytesLeft, fieldsLeft int
}

// New returns a Reader of what arrives at in. memory bounds the long heads that are held.
func New(in *bufio.Reader, memory *memorykeeper.Keeper) *Reader {
	return &Reader{in: in, memory: memory}
}

// Release gives back the memory of the head that was read last. It may be called again, and
// while a body is read.
func (r *Reader) Release() { r.memory.Release(r.charged.Swap(0)) }

// Next reads the head of the next response to a request with a method, past informational
// ones. The body of the one before must have been read to its end.
func (r *Reader) Next(method string) (*Response, error) {
	r.Release()
	r.request.Method = method
	r.bytesLeft, r.fieldsLeft = maxHeadBytes, maxHeadFields
	for {
		response, err := r.nextHead()
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return r.withBody(response)
		}
		r.Release()
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.Wrap(ErrMalformed, "change of the protocol")
		}
	}
}

// nextHead reads and decodes one head.
func (r *Reader) nextHead() (*http.Response, error) {
	if cap(r.head) > freeHeadBytes {
		r.head = nil
	}
	r.head = r.head[:0]
	if err := r.readHeadLine(checkStatusLine); err != nil {
		return nil, err
	}
	for {
		start := len(r.head)
		if err := r.readHeadLine(checkField); err != nil {
			return nil, err
		}
		if len(trimLineEnd(r.head[start:])) == 0 {
			break
		}
		if r.fieldsLeft--; r.fieldsLeft < 0 {
			return nil, errors.WithStack(ErrHeadTooLong)
		}
	}
	return r.decodeHead()
}

// decodeHead decodes the head, whose lines were checked.
func (r *Reader) decodeHead() (*http.Response, error) {
	in := decoders.Get().(*bufio.Reader)
	in.Reset(bytes.NewReader(r.head))
	response, err := http.ReadResponse(in, &r.request)
	decoders.Put(in)
	if err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	return response, nil
}

// readHeadLine appends a line to the head, with its end, and checks it without that.
func (r *Reader) readHeadLine(check func(line []byte) error) error {
	start := len(r.head)
	for {
		part, err := r.in.ReadSlice('\n')
		if r.bytesLeft -= len(part); r.bytesLeft < 0 {
			return errors.WithStack(ErrHeadTooLong)
		}
		if !r.charge(len(part)) {
			return errors.WithStack(memorykeeper.ErrExhausted)
		}
		r.head = append(r.head, part...)
		if err == nil {
			return check(trimLineEnd(r.head[start:]))
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return errors.WithStack(unexpectedEnd(err, len(r.head) > 0))
		}
	}
}

// charge reserves memory for the next bytes of the head. It reports false if there is none.
func (r *Reader) charge(bytes int) bool {
	over := min(bytes, len(r.head)+bytes-freeHeadBytes)
	if over <= 0 {
		return true
	}
	if !r.memory.TryReserve(int64(headCost * over)) {
		return false
	}
	r.charged.Add(int64(headCost * over))
	return true
}

// withBody returns the response with its body.
func (r *Reader) withBody(head *http.Response) (*Response, error) {
	response := &Response{Status: head.StatusCode, Header: head.Header, Length: head.ContentLength, Close: head.Close}
	chunked := len(head.TransferEncoding) > 0
	switch {
	case chunked && r.hasLength():
		return nil, errors.Wrap(ErrMalformed, "a length beside chunks")
	case r.request.Method == http.MethodHead || head.StatusCode == http.StatusNoContent || head.StatusCode == http.StatusNotModified:
		response.Body, response.Framed, response.Length = http.NoBody, true, 0
	case chunked:
		response.Body, response.Framed = newChunkedBody(r.in), true
	case head.ContentLength >= 0:
		response.Body, response.Framed = &sizedBody{in: r.in, left: head.ContentLength}, true
	default:
		response.Body, response.Close = r.in, true
	}
	return response, nil
}

// hasLength reports whether the head has a length. net/http drops that of a chunked response.
func (r *Reader) hasLength() bool {
	for line := range bytes.Lines(r.head) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		if bytes.EqualFold(name, []byte("Content-Length")) {
			return true
		}
	}
	return false
}

// unexpectedEnd turns io.EOF into io.ErrUnexpectedEOF if something was read before.
func unexpectedEnd(err error, begun bool) error {
	if begun && errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
