package connkeeper

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/memorykeeper"
	"github.com/currantwood/currantwood/responsereader"
)

const (
	// maxUnrelatedBytes bounds the body of a response that is skipped.
	maxUnrelatedBytes = 1 << 20
	// maxUnrelatedResponses bounds the responses to other requests that are
	// skipped.
	maxUnrelatedResponses = 2
	// maxInlineBodyBytes is the longest body that is written before the
	// response is read. Together with a head of usual size, it fits into a
	// socket's initial send buffer, 16 KiB on Linux, so that the write doesn't
	// block.
	maxInlineBodyBytes = 8 << 10
)

// ErrUnsent means that no byte of the request was sent.
var ErrUnsent = errors.New("no byte of the request was sent")

// connectError is an ErrUnsent that keeps why no connection was made.
type connectError struct {
	upstream currantwood.UpstreamID
	cause    error
}

func (e *connectError) Error() string {
	return fmt.Sprintf("connect to %s: %v: %v", e.upstream, e.cause, ErrUnsent)
}

// Unwrap makes errors.Is find both ErrUnsent and the cause.
func (e *connectError) Unwrap() []error { return []error{ErrUnsent, e.cause} }

// ErrUnrelatedResponse means that the connection delivered responses that
// don't belong to the request.
var ErrUnrelatedResponse = errors.New("response does not belong to the request")

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
	// ID is the request that the response must name. A response that names none
	// is accepted if it says that the request was not run and is the first on its
	// connection.
	ID currantwood.RequestID
	// MaySend is asked once there is a connection, right before the request is written. An
	// error withholds the request; Start returns it with ErrUnsent. Nil sends it.
	MaySend func() error
}

// Exchange is a request whose response head was read. The caller reads Body
// and ends the exchange with Finish or Abort.
type Exchange struct {
	Status int
	Header http.Header
	// Answer holds the parameters decoded from Status and Header.
	Answer currantwood.UpstreamResponse
	// Body of a response that has a length or is chunked ends with io.EOF only if
	// it is complete. Any other response ends with the connection, and with io.EOF only if
	// the upstream has ended that in order.
	Body io.Reader
	// Framed is whether Body has a length or is chunked.
	Framed bool
	// Unrelated is the number of responses to other requests, or to none, that were
	// skipped before.
	Unrelated int

	pool    *Pool
	conn    *conn
	address string
	// closeAfter reports whether the connection must not be reused.
	closeAfter bool
	// bodyWritten is closed when the write of the body has ended, with writeErr. For a body of
	// at most maxInlineBodyBytes that is nil, as Start returns the error.
	bodyWritten chan struct{}
	writeErr    error
	// stopCancelHook detaches the exchange from the context of Start.
	stopCancelHook func() bool
	// ended is true once the connection was closed or returned to the pool.
	ended atomic.Bool
}

// Start sends a request and reads the head of its response. If errors.Is(err,
// ErrUnsent), the upstream has not received the request; after any other error
// the upstream may run it. Canceling ctx before Finish closes the connection.
func (p *Pool) Start(ctx context.Context, call *Call, coder currantwood.HeaderCoder) (*Exchange, error) {
	c, err := p.acquire(ctx, call.Upstream, call.Address, call.ID)
	if err != nil {
		return nil, &connectError{upstream: call.Upstream, cause: err}
	}
	x := &Exchange{pool: p, conn: c, address: call.Address, bodyWritten: make(chan struct{})}
	x.stopCancelHook = context.AfterFunc(ctx, x.closeConn)
	if err := x.mayBeSent(call); err != nil {
		x.Abort()
		return nil, err
	}
	if err := x.write(call); err != nil {
		x.Abort()
		return nil, errors.Wrapf(err, "send to %s", call.Upstream)
	}
	if err := x.readHead(call, coder); err != nil {
		x.Abort()
		return nil, errors.Wrapf(err, "response from %s", call.Upstream)
	}
	return x, nil
}

// mayBeSent returns an ErrUnsent if the request is withheld.
func (x *Exchange) mayBeSent(call *Call) error {
	if call.MaySend == nil {
		return nil
	}
	if err := call.MaySend(); err != nil {
		return fmt.Errorf("send to %s: %w: %w", call.Upstream, err, ErrUnsent)
	}
	return nil
}

// write sends the request. A body longer than maxInlineBodyBytes is written in
// the background while the response is read, as the upstream may answer early.
func (x *Exchange) write(call *Call) error {
	x.conn.arrivals.restart()
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
	if len(call.Body) <= maxInlineBodyBytes {
		head.Write(call.Body)
		_, err := x.conn.Write(head.Bytes())
		close(x.bodyWritten)
		return errors.WithStack(err)
	}
	if _, err := x.conn.Write(head.Bytes()); err != nil {
		return errors.WithStack(err)
	}
	go func() {
		_, x.writeErr = x.conn.Write(call.Body)
		close(x.bodyWritten)
	}()
	return nil
}

// readHead reads up to the head of the response that belongs to the request, as
// Call.ID says. Other responses, which an upstream may send late, are read to
// their end and skipped if their length is known, at most maxUnrelatedBytes, and the
// connection stays open, at most maxUnrelatedResponses of them.
//
// A refusal that names no request belongs to this one only if nothing was sent on the
// connection before: otherwise it may be additional bytes after an earlier response, and
// the upstream runs the request. The upstream is doubted for a while, see Pool.doubt.
func (x *Exchange) readHead(call *Call, coder currantwood.HeaderCoder) error {
	for x.Unrelated <= maxUnrelatedResponses {
		response, err := x.conn.responses.Next(call.Method)
		if err != nil {
			return err
		}
		answer := coder.Answer(response.Status, response.Header)
		unnamedRefusal := answer.Request == "" && answer.DeclaredNotRun
		if unnamedRefusal {
			x.pool.doubt(call.Upstream)
			x.closeAfter = true
		}
		if answer.Request == call.ID || unnamedRefusal && !x.conn.used && x.Unrelated == 0 {
			x.Status, x.Header, x.Answer = response.Status, response.Header, answer
			x.Body, x.Framed = response.Body, response.Framed
			if !x.Framed {
				x.Body = &unframedBody{Reader: response.Body, checkEnd: x.checkEnd}
			}
			x.closeAfter = x.closeAfter || response.Close
			if answer.DeclaredNotRun {
				x.conn.refused = append(x.conn.refused, call.ID)
				x.closeAfter = x.closeAfter || len(x.conn.refused) >= maxRefusedRequests
			}
			return nil
		}
		x.Unrelated++
		x.closeAfter = true
		if response.Close || response.Length < 0 || response.Length > maxUnrelatedBytes {
			return ErrUnrelatedResponse
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return errors.WithStack(err)
		}
	}
	return ErrUnrelatedResponse
}

// Silence returns how long nothing has arrived from the upstream, and whether a read waits for
// more. If none does, bytes that have arrived may not be read yet.
func (x *Exchange) Silence(now time.Time) (silence time.Duration, awaited bool) {
	return x.conn.arrivals.silence(now), x.conn.arrivals.waiting.Load()
}

// IsTooLong reports whether an exchange failed since upstreams sent more than they may, rather
// than less.
func IsTooLong(err error) bool {
	return errors.Is(err, responsereader.ErrHeadTooLong) || errors.Is(err, memorykeeper.ErrExhausted) || errors.Is(err, ErrUnrelatedResponse)
}

// Finish ends an exchange whose Body was read to its end. It returns the
// connection to the pool if the request was written completely, no bytes follow
// the response and the connection may stay open; otherwise it closes it.
func (x *Exchange) Finish() {
	x.stopCancelHook()
	x.conn.responses.Release()
	if x.ended.Swap(true) {
		return
	}
	select {
	case <-x.bodyWritten:
		if x.writeErr == nil && !x.closeAfter && x.conn.reader.Buffered() == 0 {
			x.pool.release(x.conn, x.address, x.Answer.IdleTimeout)
			return
		}
	default:
		// The upstream responded before the body was written completely. On
		// reuse, the rest of this body and the next request would mix.
	}
	_ = x.conn.Close()
}

// Abort closes the connection, which makes the upstream cancel the request.
func (x *Exchange) Abort() {
	x.stopCancelHook()
	x.conn.responses.Release()
	x.closeConn()
}

// closeConn closes the connection unless Finish or an earlier call has ended
// the exchange.
func (x *Exchange) closeConn() {
	if !x.ended.Swap(true) {
		_ = x.conn.Close()
	}
}
