package currantwood

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
)

// ErrStaleFencing says that an engine refused an order with an old number.
var ErrStaleFencing = errors.New("engine refused an old fencing number")

// ErrStreamUnknown says that an engine does not know the stream: it died, was
// reclaimed or let the stream go.
var ErrStreamUnknown = errors.New("engine does not know the stream")

// ErrNotDispatched says that the upstream was surely not reached.
var ErrNotDispatched = errors.New("nothing was sent to the upstream")

// Generation is one run to start at an engine.
type Generation struct {
	Stream   EngineStreamID
	Model    ModelID
	Priority Priority
	// Prompt is the body of the caller's request in the engine's form.
	Prompt []byte
	// PromptTokens is the side's estimate of the prompt's length.
	PromptTokens TokenCount
	Prefix       PrefixID
	// MaxTokens bounds the output; 0 means no bound.
	MaxTokens TokenCount
}

// TokenEvent is one event of a token stream.
type TokenEvent struct {
	Kind EventKind
	// Index is set on EventToken; on EventDone it is the count of all tokens.
	Index TokenIndex
	Text  string
	// FinishReason is set on EventDone.
	FinishReason string
}

// TokenSource is an open stream from an engine.
type TokenSource interface {
	// Next waits for the next event. io.EOF without an EventDone before it
	// means that the stream was cut.
	Next() (TokenEvent, error)
	Close() error
}

// EngineLoad is what an engine reports of itself, late.
type EngineLoad struct {
	Running      int        `json:"running"`
	Waiting      int        `json:"waiting"`
	Paused       int        `json:"paused"`
	UsedTokens   TokenCount `json:"used-tokens"`
	MemoryTokens TokenCount `json:"memory-tokens"`
	Preemptions  int64      `json:"preemptions"`
	TokensPerSec float64    `json:"tokens-per-second"`
	Model        ModelID    `json:"model"`
	Version      string     `json:"version"`
	Pool         string     `json:"pool"`
}

// CacheEvent says that an engine took a prefix into its cache or dropped it.
// Events come late and with gaps in Seq.
type CacheEvent struct {
	Seq     uint64     `json:"seq"`
	Prefix  PrefixID   `json:"prefix"`
	Tokens  TokenCount `json:"tokens"`
	Dropped bool       `json:"dropped"`
}

// EngineOrder tells an engine to change what it serves.
type EngineOrder struct {
	Kind    OrderKind     `json:"-"`
	Name    string        `json:"kind"`
	Model   ModelID       `json:"model,omitempty"`
	Adapter string        `json:"adapter,omitempty"`
	Version string        `json:"version,omitempty"`
	Pool    string        `json:"pool,omitempty"`
	Fencing FencingNumber `json:"fencing-number,omitempty"`
}

// Engine is a model engine, as its side speaks to it.
type Engine interface {
	Generate(ctx context.Context, g Generation) (TokenSource, error)
	// Resume opens the stream again from the given index. It fails with
	// ErrStreamUnknown when the engine has lost it.
	Resume(ctx context.Context, stream EngineStreamID, from TokenIndex) (TokenSource, error)
	Cancel(ctx context.Context, stream EngineStreamID) error
	// Pause frees the stream's memory and keeps its tokens; Unpause runs on.
	Pause(ctx context.Context, stream EngineStreamID) error
	Unpause(ctx context.Context, stream EngineStreamID) error
	Load(ctx context.Context) (EngineLoad, error)
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
	Order(ctx context.Context, order EngineOrder) error
}

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	Method string
	// Path includes the query.
	Path   string
	Header http.Header
	Body   []byte
	// Repeatable allows the transport to send the call again by itself.
	Repeatable bool
}

// ServiceAnswer is a whole answer of a plain service.
type ServiceAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Service is a plain service, as its side speaks to it.
type Service interface {
	// Call fails with ErrNotDispatched only when no byte was sent.
	Call(ctx context.Context, call ServiceCall) (ServiceAnswer, error)
}
