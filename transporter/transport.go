// Package transporter sends HTTP requests to the store and to the control endpoints of
// upstreams. Unlike the transport of net/http it accepts only responses that package
// responsereader accepts, and no more than one for each request.
package transporter

import (
	"context"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/connkeeper"
	"github.com/currantwood/currantwood/memorykeeper"
)

// Options are the settings of a Transport.
type Options struct {
	// Now reads the clock by which idle connections are kept.
	Now func() time.Time
	// Coder decodes how long the other end keeps idle connections.
	Coder currantwood.HeaderCoder
	// Memory bounds what is kept of responses that aren't whole.
	Memory *memorykeeper.Keeper
	// MaxIdle bounds the idle connections to one address. With 0, each request has a
	// connection of its own.
	MaxIdle int
}

// Transport implements http.RoundTripper for http URLs. The whole body of a request is held
// until the request ends.
type Transport struct {
	options Options
	pool    *connkeeper.Pool
}

// New returns a Transport without connections.
func New(options Options) *Transport {
	t := &Transport{options: options, pool: connkeeper.New(options.Now, options.Memory)}
	t.pool.SetMaxIdle(options.MaxIdle)
	return t
}

// RoundTrip sends a request. A GET request whose kept connection turns out to be closed is sent
// once more over a new one, any other only once. If errors.Is(err, connkeeper.ErrUnsent), nothing
// was sent.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	call, err := newCall(request)
	if err != nil {
		return nil, err
	}
	if t.options.MaxIdle == 0 {
		call.Header.Set("Connection", "close")
	}
	t.pool.CloseExpired(t.options.Now())
	ctx := request.Context()
	x, err := t.pool.Start(ctx, call, idleCoder{t.options.Coder})
	if err != nil && request.Method == http.MethodGet && isClosed(err) && ctx.Err() == nil {
		t.pool.CloseIdle(call.Address)
		x, err = t.pool.Start(ctx, call, idleCoder{t.options.Coder})
	}
	if err != nil {
		return nil, contextError(ctx, err)
	}
	return &http.Response{
		Status: http.StatusText(x.Status), StatusCode: x.Status, Header: x.Header, ContentLength: -1,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Request: request,
		Body: &body{ctx: ctx, exchange: x, keep: t.options.MaxIdle > 0},
	}, nil
}

// newCall returns the call of a request, whose body it reads.
func newCall(request *http.Request) (*connkeeper.Call, error) {
	if request.URL.Scheme != "http" {
		return nil, errors.Errorf("unsupported scheme %q", request.URL.Scheme)
	}
	call := &connkeeper.Call{
		Upstream: currantwood.UpstreamID(request.URL.Host), Address: request.URL.Host,
		Method: request.Method, Target: request.URL.RequestURI(), Host: request.URL.Host, Header: request.Header.Clone(),
	}
	if call.Header == nil {
		call.Header = make(http.Header)
	}
	if request.Host != "" {
		call.Host = request.Host
	}
	if request.Body == nil {
		return call, nil
	}
	defer func() { _ = request.Body.Close() }()
	data, err := io.ReadAll(request.Body)
	call.Body = data
	return call, errors.Wrap(err, "read request body")
}

// idleCoder decodes only how long an idle connection is kept. Responses name no request.
type idleCoder struct{ currantwood.HeaderCoder }

func (c idleCoder) Answer(status int, h http.Header) currantwood.UpstreamResponse {
	return currantwood.UpstreamResponse{IdleTimeout: c.HeaderCoder.Answer(status, h).IdleTimeout}
}

// isClosed reports whether an exchange failed since the connection was closed before a response
// came.
func isClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// contextError returns the error of ctx if it is done: then the connection was closed for that.
func contextError(ctx context.Context, err error) error {
	if cause := ctx.Err(); cause != nil {
		return errors.Wrap(cause, err.Error())
	}
	return err
}
