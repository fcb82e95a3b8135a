// Package logclient speaks to the platform's log service over HTTP.
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

// maxAnswerBytes bounds the answer to one read.
const maxAnswerBytes = 64 << 20

// Options sets how a client calls the service. Address is required.
type Options struct {
	// Address is the base URL of the service, without a trailing slash.
	Address string
	// Timeout bounds one call; 0 leaves it to the caller's context.
	Timeout time.Duration
	// Wait is how long a read waits at the service for a record at the given
	// offset; 0 returns at once. Keep it below Timeout.
	Wait time.Duration
	// HTTP is the client to use; nil means one with its own connections.
	HTTP *http.Client
}

// Client is a currantwood.Log.
type Client struct {
	options Options
}

var _ currantwood.Log = (*Client)(nil)

// New returns a client.
func New(options Options) *Client {
	if options.HTTP == nil {
		options.HTTP = &http.Client{Transport: http.DefaultTransport.(*http.Transport).Clone()}
	}
	return &Client{options: options}
}

// Append adds one record. Only a 503 and a failure before any connection was
// had count as ErrLogDown; after every other failure the record may be in the
// log and the error is ErrAppendUnknown.
func (c *Client) Append(ctx context.Context, stream currantwood.StreamName, data []byte) (currantwood.Offset, error) {
	ctx, cancel := c.bound(ctx)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(stream), bytes.NewReader(data))
	if err != nil {
		return 0, c.failed(currantwood.ErrLogDown, "append", err)
	}
	response, err := c.options.HTTP.Do(request)
	if err != nil {
		if !connected.Load() {
			return 0, c.failed(currantwood.ErrLogDown, "append", err)
		}
		return 0, c.failed(currantwood.ErrAppendUnknown, "append", err)
	}
	defer response.Body.Close()
	return c.appended(response)
}

func (c *Client) appended(response *http.Response) (currantwood.Offset, error) {
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable:
		return 0, c.failed(currantwood.ErrLogDown, "append", statusError(response))
	default:
		return 0, c.failed(currantwood.ErrAppendUnknown, "append", statusError(response))
	}
	var answer struct {
		Offset *currantwood.Offset `json:"offset"`
	}
	err := json.NewDecoder(response.Body).Decode(&answer)
	if err == nil && answer.Offset == nil {
		err = errors.New("answer has no offset")
	}
	if err != nil {
		return 0, c.failed(currantwood.ErrAppendUnknown, "append", err)
	}
	return *answer.Offset, nil
}

// Read returns at most limit records from the given offset on.
func (c *Client) Read(ctx context.Context, stream currantwood.StreamName, from currantwood.Offset, limit int) (currantwood.RecordBatch, error) {
	ctx, cancel := c.bound(ctx)
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
	window, err := decodeWindow(response.Body)
	return window, c.wrap(err, "read")
}

// decodeWindow reads the answer to a read and checks what a Window promises.
func decodeWindow(body io.Reader) (currantwood.RecordBatch, error) {
	var answer struct {
		First   currantwood.Offset `json:"first"`
		Next    currantwood.Offset `json:"next"`
		Records []struct {
			Offset currantwood.Offset `json:"offset"`
			Data   []byte             `json:"data"`
		} `json:"records"`
	}
	if err := json.NewDecoder(io.LimitReader(body, maxAnswerBytes)).Decode(&answer); err != nil {
		return currantwood.RecordBatch{}, errors.Wrap(err, "decode window")
	}
	window := currantwood.RecordBatch{First: answer.First, End: answer.Next}
	for i, r := range answer.Records {
		if r.Offset != answer.Records[0].Offset+currantwood.Offset(i) {
			return currantwood.RecordBatch{}, errors.Errorf("record %d has offset %d out of order", i, r.Offset)
		}
		window.Records = append(window.Records, currantwood.Record{Offset: r.Offset, Data: r.Data})
	}
	return window, nil
}

func (c *Client) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	if c.options.Timeout <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, c.options.Timeout)
}

func (c *Client) url(stream currantwood.StreamName) string {
	return c.options.Address + "/streams/" + url.PathEscape(string(stream))
}

// failed keeps the kind for errors.Is and names step, peer and cause.
func (c *Client) failed(kind error, step string, cause error) error {
	return errors.WithMessagef(kind, "%s at log service %s: %v", step, c.options.Address, cause)
}

func (c *Client) wrap(err error, step string) error {
	return errors.WithMessagef(err, "%s at log service %s", step, c.options.Address)
}

func statusError(response *http.Response) error {
	return errors.Errorf("status %s", response.Status)
}
