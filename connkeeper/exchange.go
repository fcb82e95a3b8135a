package connkeeper

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/currantwood/currantwood"
)

const (
	// maxForeign bounds the answers to earlier requests that are read past.
	maxForeign = 2
	// directBody is the longest body that is written before the answer is
	// read. It fits into the smallest window of a connection.
	directBody = 8 << 10
)

// ErrUnsent says that no byte of the request was written.
var ErrUnsent = errors.New("no byte of the request was sent")

// ErrForeign says that the connection delivered something that isn't the
// answer to the request.
var ErrForeign = errors.New("not the answer to this request")

// Call is one request to one upstream.
type Call struct {
	Upstream currantwood.UpstreamID
	Address  string
	Method   string
	// Target is the path and query as the client sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ID is the request that an answer must name.
	ID currantwood.RequestID
}

// Exchange is an answer whose body is still to be read.
type Exchange struct {
	Status int
	Header http.Header
	Answer currantwood.UpstreamAnswer
	// Body ends with io.EOF only if the answer is whole.
	Body io.Reader

	keeper  *Keeper
	conn    *conn
	address string
	close   bool
	written chan error
	stop    func() bool
	closed  atomic.Bool
}

// Start sends a request and reads the head of its answer. An error for which
// errors.Is(err, ErrUnsent) holds means that the upstream has not got it; after
// any other it may run. Cancelling ctx closes the connection, until Finish.
func (k *Keeper) Start(ctx context.Context, call *Call, coder currantwood.HeaderCoder) (*Exchange, error) {
	c, err := k.take(ctx, call.Upstream, call.Address)
	if err != nil {
		return nil, errors.Wrapf(ErrUnsent, "connect to %s: %v", call.Upstream, err)
	}
	x := &Exchange{keeper: k, conn: c, address: call.Address, written: make(chan error, 1)}
	x.stop = context.AfterFunc(ctx, x.drop)
	if err := x.write(call); err != nil {
		x.Abort()
		return nil, errors.Wrapf(err, "send to %s", call.Upstream)
	}
	if err := x.readHead(call, coder); err != nil {
		x.Abort()
		return nil, errors.Wrapf(err, "answer of %s", call.Upstream)
	}
	return x, nil
}

// write sends the request, a long body beside the reading of the answer.
func (x *Exchange) write(call *Call) error {
	var head bytes.Buffer
	head.WriteString(call.Method + " " + call.Target + " HTTP/1.1\r\nHost: " + call.Host + "\r\n")
	header := call.Header
	if len(call.Body) > 0 || call.Method == http.MethodPost || call.Method == http.MethodPut {
		header.Set("Content-Length", strconv.Itoa(len(call.Body)))
	}
	if err := header.Write(&head); err != nil {
		return errors.Wrap(ErrUnsent, err.Error())
	}
	head.WriteString("\r\n")
	if len(call.Body) <= directBody {
		head.Write(call.Body)
		_, err := x.conn.Write(head.Bytes())
		x.written <- nil
		return errors.WithStack(err)
	}
	if _, err := x.conn.Write(head.Bytes()); err != nil {
		return errors.WithStack(err)
	}
	go func() {
		_, err := x.conn.Write(call.Body)
		x.written <- err
	}()
	return nil
}

// readHead reads up to the answer that names the request. Whole answers to
// others, which an upstream may send late, are read past.
func (x *Exchange) readHead(call *Call, coder currantwood.HeaderCoder) error {
	request := &http.Request{Method: call.Method}
	for foreign := 0; foreign <= maxForeign; {
		response, err := http.ReadResponse(x.conn.in, request)
		if err != nil {
			return errors.WithStack(err)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		answer := coder.Answer(response.StatusCode, response.Header)
		if answer.Request == call.ID || (answer.Request == "" && answer.NotRun) {
			x.Status, x.Header, x.Answer = response.StatusCode, response.Header, answer
			x.Body = response.Body
			x.close = response.Close || foreign > 0
			return nil
		}
		foreign++
		x.close = true
		if response.Close || response.ContentLength < 0 {
			return ErrForeign
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return errors.WithStack(err)
		}
	}
	return ErrForeign
}

// Finish keeps the connection for the next exchange if the answer was read to
// its end and nothing speaks against it.
func (x *Exchange) Finish() {
	x.stop()
	if x.closed.Swap(true) {
		return
	}
	select {
	case err := <-x.written:
		if err == nil && !x.close && x.conn.in.Buffered() == 0 {
			x.keeper.put(x.conn, x.address, x.Answer.Idle)
			return
		}
	default:
		// The upstream answered before it had the whole body. The rest would
		// be taken for the next request.
	}
	_ = x.conn.Close()
}

// Abort closes the connection, which also ends the work of the upstream.
func (x *Exchange) Abort() {
	x.stop()
	x.drop()
}

// drop closes the connection unless Finish has kept it.
func (x *Exchange) drop() {
	if !x.closed.Swap(true) {
		_ = x.conn.Close()
	}
}
