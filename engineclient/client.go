// Package engineclient is an HTTP client for model engines. docs/PROTOCOLS.md
// describes the protocol.
package engineclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"

	"github.com/pkg/errors"

	"github.com/currantwood/currantwood"
)

// errorPrefix begins every error message of the package.
const errorPrefix = "engineclient"

// Client calls one engine. It is safe for concurrent use.
type Client struct {
	httpClient *http.Client
	// baseURL has no trailing slash.
	baseURL string
}

// New returns a client for the engine at baseURL, such as
// "http://10.0.0.7:8000". The HTTP client must not set a timeout, because it
// would end long streams; the context bounds each call.
func New(client *http.Client, baseURL string) *Client {
	return &Client{httpClient: client, baseURL: baseURL}
}

var _ currantwood.Engine = (*Client)(nil)

// Generate starts a stream. The error wraps currantwood.ErrNotDispatched if no
// connection to the engine was established or the engine refused the stream
// with status 503, and currantwood.ErrNoResponse if the connection failed after that.
func (c *Client) Generate(ctx context.Context, g currantwood.GenerationRequest) (currantwood.TokenSource, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+"/v1/streams", bytes.NewReader(g.Prompt))
	if err != nil {
		return nil, c.wrap(err, "build start")
	}
	header := request.Header
	header.Set("Content-Type", "application/json")
	header.Set("X-Stream-Id", string(g.Stream))
	header.Set("X-Model", string(g.Model))
	header.Set("X-Priority", strconv.Itoa(int(g.Priority)))
	header.Set("X-Prompt-Tokens", strconv.FormatInt(int64(g.PromptTokens), 10))
	header.Set("X-Max-Tokens", strconv.FormatInt(int64(g.MaxTokens), 10))
	if g.Prefix != 0 {
		header.Set("X-Prefix", strconv.FormatUint(uint64(g.Prefix), 10))
	}
	return c.openStream(request, "start")
}

// Resume reopens a stream at the token index from.
func (c *Client) Resume(ctx context.Context, stream currantwood.EngineStreamID, from currantwood.TokenIndex) (currantwood.TokenSource, error) {
	target := c.streamURL(stream, "") + "?from=" + strconv.FormatUint(uint64(from), 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, c.wrap(err, "build resume")
	}
	return c.openStream(request, "resume")
}

// Cancel cancels a stream. It returns nil if the engine doesn't know the stream.
func (c *Client) Cancel(ctx context.Context, stream currantwood.EngineStreamID) error {
	err := c.call(ctx, http.MethodDelete, c.streamURL(stream, ""), "cancel", nil, nil)
	if errors.Is(err, currantwood.ErrStreamUnknown) {
		return nil
	}
	return err
}

// Pause frees the engine memory that the stream uses. The engine keeps the tokens
// generated so far.
func (c *Client) Pause(ctx context.Context, stream currantwood.EngineStreamID) error {
	return c.call(ctx, http.MethodPost, c.streamURL(stream, "/pause"), "pause", nil, nil)
}

// Unpause continues a paused stream.
func (c *Client) Unpause(ctx context.Context, stream currantwood.EngineStreamID) error {
	return c.call(ctx, http.MethodPost, c.streamURL(stream, "/unpause"), "unpause", nil, nil)
}

// Load returns the load that the engine reports, which lags behind its actual
// load.
func (c *Client) Load(ctx context.Context) (currantwood.EngineLoad, error) {
	var load currantwood.EngineLoad
	err := c.call(ctx, http.MethodGet, c.baseURL+"/load", "load", nil, &load)
	return load, err
}

// CacheEvents returns the cache events with a sequence number greater than
// after.
func (c *Client) CacheEvents(ctx context.Context, after uint64) ([]currantwood.CacheEvent, error) {
	var events []currantwood.CacheEvent
	target := c.baseURL + "/cache-events?after=" + strconv.FormatUint(after, 10)
	err := c.call(ctx, http.MethodGet, target, "cache events", nil, &events)
	return events, err
}

// Order sends an administrative command. It fails with
// currantwood.ErrStaleFencing if the engine refuses the order's fencing number as
// outdated. Not every engine checks it.
func (c *Client) Order(ctx context.Context, order currantwood.EngineOrder) error {
	if order.KindText == "" {
		order.KindText = order.Kind.String()
	}
	body, err := json.Marshal(order)
	if err != nil {
		return c.wrap(err, "encode order")
	}
	err = c.call(ctx, http.MethodPost, c.baseURL+"/orders", "order", body, nil)
	if errors.Is(err, errConflict) {
		return c.wrap(currantwood.ErrStaleFencing, "order")
	}
	return err
}

// openStream sends a request whose response is a token stream.
func (c *Client) openStream(request *http.Request, operation string) (currantwood.TokenSource, error) {
	response, err := c.httpClient.Do(request)
	if err != nil {
		return nil, c.wrap(markNoResponse(err), operation)
	}
	if err := statusError(response.StatusCode); err != nil {
		drainAndClose(response.Body)
		return nil, c.wrap(err, operation)
	}
	return newTokenSource(response.Body, c.baseURL), nil
}

// call sends a request and decodes the JSON response into result unless result
// is nil.
func (c *Client) call(ctx context.Context, method, target, operation string, body []byte, result any) error {
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return c.wrap(err, "build "+operation)
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		return c.wrap(markNotDispatched(err), operation)
	}
	defer drainAndClose(response.Body)
	if err := statusError(response.StatusCode); err != nil {
		return c.wrap(err, operation)
	}
	if result == nil {
		return nil
	}
	return c.wrap(json.NewDecoder(response.Body).Decode(result), "decode "+operation)
}

func (c *Client) streamURL(stream currantwood.EngineStreamID, suffix string) string {
	return c.baseURL + "/v1/streams/" + url.PathEscape(string(stream)) + suffix
}

// wrap adds errorPrefix, the operation and the engine's URL to err. It returns nil
// if err is nil.
func (c *Client) wrap(err error, operation string) error {
	return errors.Wrapf(err, "%s: %s at %s", errorPrefix, operation, c.baseURL)
}

// markNoResponse returns ErrNotDispatched as markNotDispatched does, and
// ErrNoResponse with the text of err for any other error.
func markNoResponse(err error) error {
	err = markNotDispatched(err)
	if errors.Is(err, currantwood.ErrNotDispatched) {
		return err
	}
	return &noResponseError{cause: err}
}

// noResponseError is an ErrNoResponse that keeps why there was none.
type noResponseError struct{ cause error }

func (e *noResponseError) Error() string {
	return currantwood.ErrNoResponse.Error() + ": " + e.cause.Error()
}

// Unwrap makes errors.Is find both ErrNoResponse and the cause.
func (e *noResponseError) Unwrap() []error { return []error{currantwood.ErrNoResponse, e.cause} }

// markNotDispatched returns ErrNotDispatched with the text of err if no connection
// to the engine could be established, so that no byte was sent. It returns other
// errors unchanged.
func markNotDispatched(err error) error {
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return errors.Wrap(currantwood.ErrNotDispatched, err.Error())
	}
	return err
}

// errConflict is returned for status 409: an order has an outdated fencing
// number, or a stream to start exists already.
var errConflict = errors.New("engine answered a conflict")

// statusError returns the error for a response status, or nil for 200.
// ErrStreamUnknown is meant for calls on an existing stream and ErrNotDispatched
// for Generate, but other calls return them too if the engine answers 404 or 503.
func statusError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return currantwood.ErrStreamUnknown
	case http.StatusConflict:
		return errConflict
	case http.StatusServiceUnavailable:
		return currantwood.ErrNotDispatched
	default:
		return errors.Errorf("engine answered status %d", status)
	}
}

// maxDrainBytes bounds how much of an unread response body is discarded so that
// its connection can be reused.
const maxDrainBytes = 4096

func drainAndClose(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxDrainBytes)
	_ = body.Close()
}
