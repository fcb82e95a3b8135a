package currantwood

import (
	"net/http"
	"time"
)

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
	// TooManyParts is whether the prompt has more parts than are decoded.
	TooManyParts bool
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
	// RelativeTime is how long work takes at the upstream now, relative to usual: 1 is as
	// usual, 2 twice as long. 0 if it doesn't say.
	RelativeTime float64
	// WarmUp is what the response says of the upstream's warm-up.
	WarmUp WarmUp
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

// WarmUp is what one response says of the warm-up of its upstream.
type WarmUp struct {
	// Known is whether the response says anything of it. One of another instance, or
	// one whose value can't be decoded, doesn't.
	Known bool
	// Left is how much longer the upstream is cold; 0 if it is warm.
	Left time.Duration
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
