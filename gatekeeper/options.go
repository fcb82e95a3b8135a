package gatekeeper

import (
	"time"

	"github.com/currantwood/currantwood"
)

// Options are the admission limits of one engine.
type Options struct {
	// MemoryTokens is the engine's memory; 0 means that the engine's own report
	// is used.
	MemoryTokens currantwood.TokenCount
	// Confidence is the probability with which the predicted memory must stay
	// within the limit at each horizon; more than 0 and less than 1.
	Confidence currantwood.Share
	// ReservedShare is the share of memory that only requests of ClassCheck may
	// use.
	ReservedShare currantwood.Share
	// MaxRunning is the maximum number of running requests.
	MaxRunning int
	// MaxPrefill is the maximum number of prompt tokens of running requests that
	// have no token yet. It bounds the time from start to first token. Checks
	// are started regardless of it, as is any request while no other is in
	// prefill.
	MaxPrefill currantwood.TokenCount
	// MaxQueue is the maximum number of queued requests.
	MaxQueue int
	// MaxWait is how long a request may wait before it is refused.
	MaxWait time.Duration
	// MaxPromisedWait replaces MaxWait for a promised request (see
	// Demand.Promised) if it is longer.
	MaxPromisedWait time.Duration
	// StepTime is the initial estimate of the time between a stream's tokens.
	StepTime time.Duration
	// KnownLength returns a request's output length in advance, or 0 if it is not
	// known. It is non-nil only in replays that measure the benefit of exact
	// predictions.
	KnownLength func(currantwood.RequestID) currantwood.TokenCount
}

// DefaultOptions returns options for an engine with a step time of about 20 ms.
func DefaultOptions() Options {
	return Options{
		Confidence:      0.95,
		ReservedShare:   0.02,
		MaxRunning:      120,
		MaxPrefill:      3000,
		MaxQueue:        64,
		MaxWait:         300 * time.Millisecond,
		MaxPromisedWait: 900 * time.Millisecond,
		StepTime:        20 * time.Millisecond,
	}
}
