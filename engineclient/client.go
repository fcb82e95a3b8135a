// Package engineclient speaks to a model engine over HTTP, as
// docs/PROTOCOLS.md says.
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

// step names this stage in errors.
const step = "engineclient"

// Client is one engine. It is safe for concurrent use.
type Client struct {
	http *http.Client
	// base has no slash at its end.
	base string
}

// New returns a client of the engine at base, as in "http://10.0.0.7:8000".
// The HTTP client must have no timeout of its own, since streams are long;
// every call is bounded by its context.
func New(client *http.Client, base string) *Client {
	return &Client{http: client, base: base}
}

var _ currantwood.Engine = (*Client)(nil)

// Generate starts a stream. The error wraps currantwood.ErrNotDispatched when
// the engine was surely not reached or refused the stream.
func (c *Client) Generate(ctx context.Context, g currantwood.GenerationRequest) (currantwood.TokenSource, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/streams", bytes.NewReader(g.Prompt))
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
	return c.open(request, "start")
}

// Resume opens a stream again from the given index.
func (c *Client) Resume(ctx context.Context, stream currantwood.EngineStreamID, from currantwood.TokenIndex) (currantwood.TokenSource, error) {
	target := c.streamURL(stream, "") + "?from=" + strconv.FormatUint(uint64(from), 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, c.wrap(err, "build resume")
	}
	return c.open(request, "resume")
}

// Cancel gives a stream up. A stream that the engine doesn't know is no error.
func (c *Client) Cancel(ctx context.Context, stream currantwood.EngineStreamID) error {
	err := c.call(ctx, http.MethodDelete, c.streamURL(stream, ""), "cancel", nil, nil)
	if errors.Is(err, currantwood.ErrStreamUnknown) {
		return nil
	}
	return err
}

// Pause frees the stream's memory and keeps its tokens.
func (c *Client) Pause(ctx context.Context, stream currantwood.EngineStreamID) error {
	return c.call(ctx, http.MethodPost, c.streamURL(stream, "/pause"), "pause", nil, nil)
}

// Unpause lets a paused stream run on.
func (c *Client) Unpause(ctx context.Context, stream currantwood.EngineStreamID) error {
	return c.call(ctx, http.MethodPost, c.streamURL(stream, "/unpause"), "unpause", nil, nil)
}

// Load returns the engine's late report of itself.
func (c *Client) Load(ctx context.Context) (currantwood.EngineLoad, error) {
	var load currantwood.EngineLoad
	err := c.call(ctx, http.MethodGet, c.base+"/load", "load", nil, &load)
	return load, err
}

// CacheEvents returns the cache events after the given sequence number.
func (c *Client) CacheEvents(ctx context.Context, after uint64) ([]currantwood.CacheEvent, error) {
	var events []currantwood.CacheEvent
	target := c.base + "/cache-events?after=" + strconv.FormatUint(after, 10)
	err := c.call(ctx, http.MethodGet, target, "cache events", nil, &events)
	return events, err
}

// Order sends an order. It fails with currantwood.ErrStaleFencing when the
// engine has seen a higher fencing number.
func (c *Client) Order(ctx context.Context, order currantwood.EngineOrder) error {
	if order.KindText == "" {
		order.KindText = order.Kind.String()
	}
	body, err := json.Marshal(order)
	if err != nil {
		return c.wrap(err, "encode order")
	}
	err = c.call(ctx, http.MethodPost, c.base+"/orders", "order", body, nil)
	if errors.Is(err, errConflict) {
		return c.wrap(currantwood.ErrStaleFencing, "order")
	}
	return err
}

// open sends a request that a token stream answers.
func (c *Client) open(request *http.Request, doing string) (currantwood.TokenSource, error) {
	response, err := c.http.Do(request)
	if err != nil {
		return nil, c.wrap(dispatched(err), doing)
	}
	if err := statusError(response.StatusCode); err != nil {
		drain(response.Body)
		return nil, c.wrap(err, doing)
	}
	return newSource(response.Body, c.base), nil
}

// call sends a request and decodes its answer into result unless that is nil.
func (c *Client) call(ctx context.Context, method, target, doing string, body []byte, result any) error {
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return c.wrap(err, "build "+doing)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return c.wrap(dispatched(err), doing)
	}
	defer drain(response.Body)
	if err := statusError(response.StatusCode); err != nil {
		return c.wrap(err, doing)
	}
	if result == nil {
		return nil
	}
	return c.wrap(json.NewDecoder(response.Body).Decode(result), "decode "+doing)
}

func (c *Client) streamURL(stream currantwood.EngineStreamID, suffix string) string {
	return c.base + "/v1/streams/" + url.PathEscape(string(stream)) + suffix
}

// wrap adds the step and the peer; nil stays nil.
func (c *Client) wrap(err error, doing string) error {
	return errors.Wrapf(err, "%s: %s at %s", step, doing, c.base)
}

// dispatched marks an error that arose before a byte was sent.
func dispatched(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return errors.Wrap(currantwood.ErrNotDispatched, err.Error())
	}
	return err
}

// errConflict is the answer to an order with an old fencing number, and to a
// start of a stream that the engine has already.
var errConflict = errors.New("engine answered a conflict")

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

// maxDrain bounds what is read of an answer that nobody wants, so that its
// connection can be used again.
const maxDrain = 4096

func drain(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxDrain)
	_ = body.Close()
}
