// Package serviceclient calls a plain service (an HTTP service other than an LLM
// engine) and reports whether a failed call may have reached it.
//
// net/http resends a request by itself when a reused connection turns out to be
// dead, for idempotent methods and for any request with an Idempotency-Key, and
// http.Client follows redirects. Either could run a call twice. A call that is not
// repeatable therefore gets a connection of its own, on which net/http never
// resends. Redirects are returned as responses for all calls.
package serviceclient

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/currantwood/currantwood"
)

const (
	dialTimeout     = 2 * time.Second
	idleConnTimeout = 30 * time.Second
	maxIdleConns    = 32

	// MaxResponseBytes is the maximum length of a response body.
	MaxResponseBytes = 4 << 20
)

// Client is a client of one service. It implements currantwood.Service and is safe
// for concurrent use.
type Client struct {
	base *url.URL
	// repeatableTransport reuses connections; singleUseTransport, for calls that
	// are not repeatable, opens one for each call.
	repeatableTransport *http.Transport
	singleUseTransport  *http.Transport
}

// New returns a client of the service at the base URL, such as
// "http://127.0.0.1:8080". Only its scheme, host and port are used: the paths of calls
// are absolute.
func New(base string) (*Client, error) {
	parsed, err := url.Parse(base)
	if err != nil {
		return nil, errors.Wrapf(err, "service address %q", base)
	}
	if parsed.Host == "" {
		return nil, errors.Errorf("service address %q: want http://host:port", base)
	}
	singleUse := newTransport()
	singleUse.DisableKeepAlives = true
	return &Client{base: parsed, repeatableTransport: newTransport(), singleUseTransport: singleUse}, nil
}

// newTransport returns a transport that speaks only HTTP/1 and passes bodies on
// unchanged: it neither requests compression nor decompresses.
func newTransport() *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableCompression:  true,
		IdleConnTimeout:     idleConnTimeout,
		MaxIdleConnsPerHost: maxIdleConns,
		Protocols:           protocols,
	}
}

// Call sends a call and returns the complete response. It fails with
// currantwood.ErrNotDispatched only if no byte was sent. After any other error,
// such as a truncated or too long response, the call may have run.
func (c *Client) Call(ctx context.Context, call currantwood.ServiceCall) (currantwood.ServiceResponse, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := c.newRequest(httptrace.WithClientTrace(ctx, trace), call)
	if err != nil {
		return currantwood.ServiceResponse{}, c.notDispatchedError(err)
	}
	response, err := c.transportFor(call).RoundTrip(request)
	if err != nil && !connected.Load() {
		return currantwood.ServiceResponse{}, c.notDispatchedError(err)
	}
	if err != nil {
		return currantwood.ServiceResponse{}, errors.Wrapf(err, "call service, peer %s", c.base.Host)
	}
	defer response.Body.Close()
	body, err := readBody(response.Body)
	if err != nil {
		return currantwood.ServiceResponse{}, errors.Wrapf(err, "read service answer, peer %s", c.base.Host)
	}
	return currantwood.ServiceResponse{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}

// Close closes idle connections.
func (c *Client) Close() {
	c.repeatableTransport.CloseIdleConnections()
	c.singleUseTransport.CloseIdleConnections()
}

func (c *Client) transportFor(call currantwood.ServiceCall) *http.Transport {
	if call.Repeatable {
		return c.repeatableTransport
	}
	return c.singleUseTransport
}

func (c *Client) newRequest(ctx context.Context, call currantwood.ServiceCall) (*http.Request, error) {
	target, err := c.base.Parse(call.Path)
	if err != nil {
		return nil, errors.Wrap(err, "parse path")
	}
	if target.Host != c.base.Host || target.Scheme != c.base.Scheme {
		return nil, errors.Errorf("path %q names another host", call.Path)
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, target.String(), bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	if call.Header != nil {
		request.Header = call.Header.Clone()
	}
	return request, nil
}

func (c *Client) notDispatchedError(err error) error {
	return errors.Wrapf(currantwood.ErrNotDispatched, "call service, peer %s: %v", c.base.Host, err)
}

// readBody reads a response body. It fails if the body is longer than MaxResponseBytes.
func readBody(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, MaxResponseBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > MaxResponseBytes {
		return nil, errors.Errorf("answer is longer than %d bytes", MaxResponseBytes)
	}
	return body, nil
}
