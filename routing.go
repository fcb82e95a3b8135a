package currantwood

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// ConfigurationVersion is the version number of a configuration; a higher
// version replaces a lower one.
type ConfigurationVersion uint64

// Configuration is one accepted configuration. It is immutable once decoded.
type Configuration struct {
	Version ConfigurationVersion
	Routes  []Route
	// Groups holds the properties that all upstreams of a group share.
	Groups map[GroupID]Group
	// RequiresKeys is whether requests need an API key, but for those of anonymous
	// routes: the configuration lists customers. The list may be empty, and customers may
	// hold no key; then no request has a valid one.
	RequiresKeys bool
	// Keys maps each API key to its holder. No key is empty.
	Keys   map[string]KeyHolder
	Limits ClientLimits
}

// KeyHolder is the customer that an API key belongs to.
type KeyHolder struct {
	Customer CustomerID
	// Priority overrides the route's priority if HasPriority is true.
	Priority    Priority
	HasPriority bool
}

// ClientLimits limits the requests and connections of clients. A zero field means
// no limit.
type ClientLimits struct {
	HeaderBytes int64
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Route selects upstream groups for requests to a host below a path prefix, and
// sets how these requests are handled.
type Route struct {
	ID   string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Repeatable is whether a request may be executed again from the start.
	Repeatable bool
	// Stream is whether the response is a stream of events.
	Stream bool
	// Resumable is whether a new run on another upstream may continue a broken
	// stream after the last event that was delivered.
	Resumable bool
	// Timeout limits the time to the final response; > 0.
	Timeout time.Duration
	// Target is the latency objective for the response, or for the first event of
	// a stream.
	Target time.Duration
	// GapTarget is the objective for the time between two events of a stream.
	GapTarget time.Duration
	Priority  Priority
	// MaxUpstreams limits the number of runs of one request, including those that
	// continue a broken stream; at least 1. Moves of a run to another engine and
	// attempts that certainly didn't run aren't counted.
	MaxUpstreams int
	// Anonymous is whether requests without an API key are accepted.
	Anonymous bool
	// Split divides the requests among groups. It is never empty, and all weights
	// are positive.
	Split []WeightedGroup
}

// WeightedGroup is a group and its relative share of a route's requests.
type WeightedGroup struct {
	Group  GroupID
	Weight float64
}

// Group describes the properties that the upstreams of one group share.
type Group struct {
	ID GroupID
	// MaxConnections is the number of connections that one upstream accepts from
	// all gateways together.
	MaxConnections int
	// Engine is nil for a group of plain services.
	Engine *EngineProperties
}

// EngineProperties describes the model engines of a group.
type EngineProperties struct {
	// Slots is the number of requests that one engine runs at a time.
	Slots int
	// MemoryTokens is the key-value cache capacity of one engine, which running
	// requests and cached prefixes share.
	MemoryTokens TokenCount
	// TokenBytes is the size of one token's key-value cache in a transfer between
	// engines, in bytes.
	TokenBytes int64
	// LinkBytes is the bandwidth of one engine's network link, in bytes per second.
	LinkBytes float64
	// Moves is whether the engines can copy a running generation to each other.
	Moves bool
	// Backups is whether an engine can keep a growing copy of another's run.
	Backups bool
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent TokenCount
}

// UpstreamRecord is an upstream's own record in the directory, the store's topic of
// upstreams.
type UpstreamRecord struct {
	ID      UpstreamID
	Group   GroupID
	Address string
	Zone    ZoneID
	Slots   int
	// Version is the version of its software; empty if unknown. What two versions of a
	// group generate doesn't fit together in one stream.
	Version SoftwareVersion
	// Leaving is true once the upstream has announced its shutdown.
	Leaving bool
	// WarmUp is how long the upstream remains slow, counted from the arrival of
	// this record.
	WarmUp time.Duration
	// Incarnation identifies the instance among those that use the same ID one
	// after the other; a later instance has a higher value. It is unrelated to
	// the type Incarnation.
	Incarnation int64
	// Sequence numbers the records of one instance.
	Sequence int64
}

// GenerationSize is the size of a generation in tokens.
type GenerationSize struct {
	// Prompt is the number of prompt tokens.
	Prompt TokenCount
	// Output is the maximum number of generated tokens; 0 if unknown.
	Output TokenCount
}

// Expected returns the engine memory that the generation is expected to need at
// its end. A positive hint is the client's estimate of the output length, capped
// at Output; otherwise half of Output is assumed. An unknown Output counts as 0.
func (s GenerationSize) Expected(hint TokenCount) TokenCount {
	output := s.Output / 2
	if hint > 0 {
		output = min(hint, s.Output)
	}
	return s.Prompt + output
}

// ClientRequest holds the request parameters from a client's headers.
type ClientRequest struct {
	ID     RequestID
	APIKey string
	// Timeout is how long the client waits for the response; 0 if not stated.
	Timeout time.Duration
	Size    GenerationSize
	// LengthHint is the client's estimate of the output length; 0 if there is none.
	LengthHint TokenCount
	// SharedParts lists the parts of the prompt that other prompts may have, too, in
	// order. The last part, which is the request's own, isn't among them.
	SharedParts []PartID
	// LastEvent is the number of the last event that the client received; -1 if
	// it requests the stream from the start.
	LastEvent int64
	// Resumes is the attempt that brought the first event of the stream that this one
	// goes on with; empty if the client doesn't name it.
	Resumes RequestID
}

// UpstreamRequest holds the request parameters that the system sends to an
// upstream in addition to the client's headers.
type UpstreamRequest struct {
	// Upstream is the upstream that must run the request; any other refuses it.
	Upstream UpstreamID
	Customer CustomerID
	// RemainingTime is the remaining time for which the client waits.
	RemainingTime time.Duration
	Priority      Priority
	// ToEngine is whether the upstream supports priorities and run copies.
	ToEngine bool
	// LastEvent is the number of the event after which the stream continues; -1
	// for a stream from the start.
	LastEvent int64
	// ResumeFrom is the copy of a run from which the upstream continues that
	// run; nil for a new run.
	ResumeFrom *RunCopy
	// Backup is the address of the engine that keeps a growing copy of the run;
	// empty for none.
	Backup string
}

// UpstreamResponse holds the parameters from the headers of an upstream's response.
type UpstreamResponse struct {
	// Request is the request that the response belongs to.
	Request RequestID
	// DeclaredNotRun is whether the upstream states that it did not execute the
	// request.
	DeclaredNotRun bool
	// Signed is whether the response carries the upstream's signature.
	Signed bool
	// Running and Waiting are the numbers of running and queued requests at the
	// upstream, Slots the number that it can run. All are 0 if it reports no load.
	Running, Waiting, Slots int
	// IdleTimeout is how long the upstream keeps an idle connection open; 0 if
	// unknown.
	IdleTimeout time.Duration
	// RateLimit is what the response says of the rate of requests that the upstream
	// accepts.
	RateLimit RateLimit
	// Leaving is whether the upstream says that it is about to shut down.
	Leaving bool
	// Pause is how long the upstream wants no further requests; 0 if it doesn't say so.
	Pause time.Duration
	// OtherInstance is whether another instance than the named one answered.
	OtherInstance bool
}

// RateLimit is what one response says of the rate of requests that its upstream
// accepts from all gateways together.
type RateLimit struct {
	// Known is whether the response says anything of it. One of another instance, or
	// one whose value can't be decoded, doesn't.
	Known bool
	// Limited is whether the upstream limits the rate. It is false unless Known is true.
	Limited bool
	// PerSecond is the limit in requests per second; at least 0, and 0 unless Limited is
	// true.
	PerSecond float64
}

// HeaderCoder translates between the platform's HTTP headers and the types above.
type HeaderCoder interface {
	// Client decodes the headers of a client's request.
	Client(h http.Header) ClientRequest
	// Forward returns the headers for the upstream: the client's headers without
	// the hop-by-hop headers and those that must not reach an upstream as the
	// client sent them, plus the system's own.
	Forward(h http.Header, to UpstreamRequest) http.Header
	// Answer decodes the status and headers of an upstream's response.
	Answer(status int, h http.Header) UpstreamResponse
}

// RunCopy identifies the memory of a run that was copied to another engine.
type RunCopy struct {
	// Source is the address of the engine that the run was copied from.
	Source string
	// Handle identifies the copy; it is valid only at Source.
	Handle string
	// SourceLeaving is whether the source said that it is about to shut down.
	SourceLeaving bool
}

// ErrNoRoom means that an engine refused a copy or could not place it, which may be
// temporary.
var ErrNoRoom = errors.New("no room for the copy")

// UpstreamState is the state that an upstream reports about itself.
type UpstreamState struct {
	// Incarnation is the value of UpstreamRecord.Incarnation for this instance.
	Incarnation int64
	// Leaving is whether the upstream is about to shut down.
	Leaving bool
	// Runs are the requests that the upstream works on; empty if it doesn't tell.
	Runs []RequestID
}

// StateReader reads the state that upstreams report about themselves.
type StateReader interface {
	// State requests the state of the upstream at address.
	State(address string, timeout time.Duration) (UpstreamState, error)
}

// CopyOrder asks an engine to copy a run to another engine.
type CopyOrder struct {
	Request RequestID
	// From and To are the addresses, host:port, of the engine that runs the request and
	// of the one that gets the copy.
	From, To string
	// Stop ends the run before the rest of its memory is copied; the source closes the
	// stream without its end. Otherwise the run continues at the source.
	Stop bool
}

// RunMover copies runs between engines. A run is the generation that an engine runs
// for a request; its key-value cache is what is copied.
type RunMover interface {
	// Copy carries out an order and returns when the copy is complete. It fails with
	// ErrNoRoom if another target, or a later attempt, may succeed. SourceLeaving of the
	// copy is valid also if it fails.
	Copy(order CopyOrder, timeout time.Duration) (RunCopy, error)
	// Drop frees an unused copy.
	Drop(copied RunCopy, timeout time.Duration) error
}
