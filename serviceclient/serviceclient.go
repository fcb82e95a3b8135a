// Package serviceclient calls a plain service over HTTP and says truthfully
// whether a call can have reached it.
//
// net/http sends a request again by itself when a kept connection turns out to
// be dead, for idempotent methods and also for any request that carries an
// Idempotency-Key, and its client follows redirects. Either would run a call
// twice. A call that is not repeatable therefore gets a connection of its own,
// which net/http never retries, and redirects are handed back as answers.
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

	// MaxAnswerBytes bounds the body of an answer.
	MaxAnswerBytes = 4 << 20
)

// Client implements currantwood.Service. It is safe for concurrent use.
type Client struct {
	base *url.URL
	// repeatable keeps connections; single opens one for each call.
	repeatable *http.Transport
	single     *http.Transport
}

// New returns a client of the service at the base URL, as in
// "http://127.0.0.1:8080".
func New(base string) (*Client, error) {
	parsed, err := url.Parse(base)
	if err != nil {
		return nil, errors.Wrapf(err, "service address %q", base)
	}
	if parsed.Host == "" {
		return nil, errors.Errorf("service address %q: want http://host:port", base)
	}
	single := newTransport()
	single.DisableKeepAlives = true
	return &Client{base: parsed, repeatable: newTransport(), single: single}, nil
}

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

// Call sends one call and reads its whole answer. It fails with
// currantwood.ErrNotDispatched only where no byte was sent. After any other
// error the call may have run, also when the answer was cut or too long.
func (c *Client) Call(ctx context.Context, call currantwood.ServiceCall) (currantwood.ServiceResponse, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := c.request(httptrace.WithClientTrace(ctx, trace), call)
	if err != nil {
		return currantwood.ServiceResponse{}, c.notDispatched(err)
	}
	response, err := c.transport(call).RoundTrip(request)
	if err != nil && !connected.Load() {
		return currantwood.ServiceResponse{}, c.notDispatched(err)
	}
	if err != nil {
		return currantwood.ServiceResponse{}, errors.Wrapf(err, "call service, peer %s", c.base.Host)
	}
	defer response.Body.Close()
	body, err := readBounded(response.Body)
	if err != nil {
		return currantwood.ServiceResponse{}, errors.Wrapf(err, "read service answer, peer %s", c.base.Host)
	}
	return currantwood.ServiceResponse{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}

// Close drops idle connections.
func (c *Client) Close() {
	c.repeatable.CloseIdleConnections()
	c.single.CloseIdleConnections()
}

func (c *Client) transport(call currantwood.ServiceCall) *http.Transport {
	if call.Repeatable {
		return c.repeatable
	}
	return c.single
}

func (c *Client) request(ctx context.Context, call currantwood.ServiceCall) (*http.Request, error) {
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

func (c *Client) notDispatched(err error) error {
	return errors.Wrapf(currantwood.ErrNotDispatched, "call service, peer %s: %v", c.base.Host, err)
}

func readBounded(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, MaxAnswerBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > MaxAnswerBytes {
		return nil, errors.Errorf("answer is longer than %d bytes", MaxAnswerBytes)
	}
	return body, nil
}
