// Package logclient is an HTTP client for the platform's log service.
package logclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/pkg/errors"
)

// maxResponseBytes bounds the response to one read.
const maxResponseBytes = 64 << 20

// Options configures a Client. Address is required.
type Options struct {
	// Address is the base URL of the service, without a trailing slash.
	Address string
	// Timeout bounds one call; if it is 0, only the context does.
	Timeout time.Duration
	// Wait is how long the service may hold a read until there is a record at
	// the requested offset; 0 means that reads return at once. It must be less
	// than Timeout unless that is 0.
	Wait time.Duration
	// HTTP is the client to use; nil means one with a connection pool of its
	// own.
	HTTP *http.Client
}

// Client implements currantwood.Log. It is safe for concurrent use.
type Client struct {
	options Options
}

var _ currantwood.Log = (*Client)(nil)

// New returns a client for the log service at options.Address.
func New(options Options) *Client {
	if options.HTTP == nil {
		options.HTTP = &http.Client{Transport: http.DefaultTransport.(*http.Transport).Clone()}
	}
	return &Client{options: options}
}

// Append adds one record and returns its offset. The error is ErrLogDown only for
// status 503 or if no connection was established. After any other failure the
// record may be in the log, and the error is ErrAppendUnknown.
func (c *Client) Append(ctx context.Context, stream currantwood.StreamName, data []byte) (currantwood.Offset, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(stream), bytes.NewReader(data))
	if err != nil {
		return 0, c.wrapAs(currantwood.ErrLogDown, "append", err)
	}
	response, err := c.options.HTTP.Do(request)
	if err != nil {
		if !connected.Load() {
			return 0, c.wrapAs(currantwood.ErrLogDown, "append", err)
		}
		return 0, c.wrapAs(currantwood.ErrAppendUnknown, "append", err)
	}
	defer response.Body.Close()
	return c.decodeAppend(response)
}

// decodeAppend returns the offset from the response to an append, or the error
// that its status stands for.
func (c *Client) decodeAppend(response *http.Response) (currantwood.Offset, error) {
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable:
		return 0, c.wrapAs(currantwood.ErrLogDown, "append", statusError(response))
	default:
		return 0, c.wrapAs(currantwood.ErrAppendUnknown, "append", statusError(response))
	}
	var decoded struct {
		Offset *currantwood.Offset `json:"offset"`
	}
	err := json.NewDecoder(response.Body).Decode(&decoded)
	if err == nil && decoded.Offset == nil {
		err = errors.New("response has no offset")
	}
	if err != nil {
		return 0, c.wrapAs(currantwood.ErrAppendUnknown, "append", err)
	}
	return *decoded.Offset, nil
}

// Read returns at most limit records, starting at offset from.
func (c *Client) Read(ctx context.Context, stream currantwood.StreamName, from currantwood.Offset, limit int) (currantwood.RecordBatch, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	address := fmt.Sprintf("%s?from=%d&limit=%d&wait-ms=%d", c.url(stream), from, limit, c.options.Wait.Milliseconds())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return currantwood.RecordBatch{}, c.wrap(err, "read")
	}
	response, err := c.options.HTTP.Do(request)
	if err != nil {
		return currantwood.RecordBatch{}, c.wrap(err, "read")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return currantwood.RecordBatch{}, c.wrap(statusError(response), "read")
	}
	batch, err := decodeBatch(response.Body)
	return batch, c.wrap(err, "read")
}

// decodeBatch decodes the response to a read and checks that the offsets of its
// records are consecutive.
func decodeBatch(body io.Reader) (currantwood.RecordBatch, error) {
	var decoded struct {
		First   currantwood.Offset `json:"first"`
		Next    currantwood.Offset `json:"next"`
		Records []struct {
			Offset currantwood.Offset `json:"offset"`
			Data   []byte             `json:"data"`
		} `json:"records"`
	}
	if err := json.NewDecoder(io.LimitReader(body, maxResponseBytes)).Decode(&decoded); err != nil {
		return currantwood.RecordBatch{}, errors.Wrap(err, "decode record batch")
	}
	batch := currantwood.RecordBatch{First: decoded.First, End: decoded.Next}
	for i, r := range decoded.Records {
		if r.Offset != decoded.Records[0].Offset+currantwood.Offset(i) {
			return currantwood.RecordBatch{}, errors.Errorf("record %d has offset %d, which does not follow the previous one", i, r.Offset)
		}
		batch.Records = append(batch.Records, currantwood.Record{Offset: r.Offset, Data: r.Data})
	}
	return batch, nil
}

// withTimeout applies Options.Timeout to a context.
func (c *Client) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if c.options.Timeout <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, c.options.Timeout)
}

func (c *Client) url(stream currantwood.StreamName) string {
	return c.options.Address + "/streams/" + url.PathEscape(string(stream))
}

// wrapAs returns an error that matches kind for errors.Is and whose message names
// the step, the address of the service and the cause.
func (c *Client) wrapAs(kind error, step string, cause error) error {
	return errors.WithMessagef(kind, "%s at log service %s: %v", step, c.options.Address, cause)
}

func (c *Client) wrap(err error, step string) error {
	return errors.WithMessagef(err, "%s at log service %s", step, c.options.Address)
}

func statusError(response *http.Response) error {
	return errors.Errorf("status %s", response.Status)
}
