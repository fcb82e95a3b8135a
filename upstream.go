package currantwood

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
)

// ErrStaleFencing means that an engine refused a command with an outdated fencing
// number.
var ErrStaleFencing = errors.New("engine refused an old fencing number")

// ErrStreamUnknown means that an engine does not know the stream: the engine
// crashed, was reclaimed or has released the stream.
var ErrStreamUnknown = errors.New("engine does not know the stream")

// ErrNotDispatched means that the upstream certainly did not run the request:
// no byte was sent, or an engine refused to start the run.
var ErrNotDispatched = errors.New("nothing was sent to the upstream")

// ErrNoResponse means that a request was sent to an engine, whose connection failed
// before it responded: the engine may have run it, and may have crashed with it.
var ErrNoResponse = errors.New("no response")

// GenerationRequest is a run to start at an engine.
type GenerationRequest struct {
	Stream   EngineStreamID
	Model    ModelID
	Priority Priority
	// Prompt is the body of the client's request in the engine's format.
	Prompt []byte
	// PromptTokens is the side's estimate of the prompt length.
	PromptTokens TokenCount
	Prefix       PrefixID
	// MaxTokens limits the output; 0 means no limit.
	MaxTokens TokenCount
}

// TokenEvent is one event of a token stream.
type TokenEvent struct {
	Kind EventKind
	// Index is the token's index for EventToken and the total number of tokens for
	// EventDone.
	Index TokenIndex
	Text  string
	// FinishReason is set only for EventDone.
	FinishReason string
}

// TokenSource is an open stream from an engine.
type TokenSource interface {
	// Next waits for the next event. io.EOF without a preceding EventDone means
	// that the stream was interrupted.
	Next() (TokenEvent, error)
	Close() error
}

// EngineLoad is the load that an engine reports, which lags behind its actual load.
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

// CacheEvent reports that an engine cached a prefix or evicted it. Events are
// delayed, and Seq may have gaps.
type CacheEvent struct {
	Seq    uint64     `json:"seq"`
	Prefix PrefixID   `json:"prefix"`
	Tokens TokenCount `json:"tokens"`
	// Evicted is true if the prefix was evicted, and false if it was cached.
	Evicted bool `json:"dropped"`
}

// EngineOrder is an administrative command to an engine, such as to load a model.
type EngineOrder struct {
	Kind OrderKind `json:"-"`
	// KindText is the text of Kind, filled in for JSON.
	KindText string        `json:"kind"`
	Model    ModelID       `json:"model,omitempty"`
	Adapter  string        `json:"adapter,omitempty"`
	Version  string        `json:"version,omitempty"`
	Pool     string        `json:"pool,omitempty"`
	Fencing  FencingNumber `json:"fencing-number,omitempty"`
}

// Engine is the interface of a side to its model engine.
type Engine interface {
	// Generate starts a run and opens its stream.
	Generate(ctx context.Context, g GenerationRequest) (TokenSource, error)
	// Resume reopens a stream at the token index from. It fails with
	// ErrStreamUnknown if the engine does not know the stream.
	Resume(ctx context.Context, stream EngineStreamID, from TokenIndex) (TokenSource, error)
	Cancel(ctx context.Context, stream EngineStreamID) error
	// Pause frees the engine memory that the stream uses. The engine keeps the
	// tokens generated so far, and Unpause continues the stream.
	Pause(ctx context.Context, stream EngineStreamID) error
	Unpause(ctx context.Context, stream EngineStreamID) error
	Load(ctx context.Context) (EngineLoad, error)
	// CacheEvents returns the events with a Seq greater than after.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
	Order(ctx context.Context, order EngineOrder) error
}

// ServiceCall is a call to a plain service.
type ServiceCall struct {
	Method string
	// Path includes the query.
	Path   string
	Header http.Header
	Body   []byte
	// Repeatable allows the HTTP transport to resend the call automatically.
	Repeatable bool
}

// ServiceResponse is a complete response of a plain service.
type ServiceResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// Service is the interface of a side to its plain service.
type Service interface {
	// Call fails with ErrNotDispatched only if no byte was sent.
	Call(ctx context.Context, call ServiceCall) (ServiceResponse, error)
}
