package gatekeeper

import (
	"time"

	"github.com/currantwood/currantwood"
)

// Options bound what one engine is given.
type Options struct {
	// MemoryTokens is the engine's memory; 0 takes the engine's word.
	MemoryTokens currantwood.TokenCount
	// Confidence is the probability with which the predicted peak must stay
	// below the limit; more than 0 and less than 1.
	Confidence currantwood.Share
	// CheckReserve is the share of memory that only small checks may use.
	CheckReserve currantwood.Share
	// MaxRunning bounds the streams at the engine.
	MaxRunning int
	// MaxPrefill bounds the prompt tokens that were started and have no first
	// token yet, so that the first token comes soon after the start.
	MaxPrefill currantwood.TokenCount
	// MaxQueue bounds the requests that wait.
	MaxQueue int
	// MaxWait is how long a request may wait before it is refused.
	MaxWait time.Duration
	// MaxPromisedWait is the same for a promised request.
	MaxPromisedWait time.Duration
	// StepTime is the time between tokens until it was observed.
	StepTime time.Duration
	// Known tells a request's output length in advance. It is nil but in a
	// replay that measures what foresight would give.
	Known func(currantwood.RequestID) currantwood.TokenCount
}

// DefaultOptions suit an engine whose step takes about 20 ms.
func DefaultOptions() Options {
	return Options{
		Confidence:      0.95,
		CheckReserve:    0.02,
		MaxRunning:      120,
		MaxPrefill:      3000,
		MaxQueue:        64,
		MaxWait:         300 * time.Millisecond,
		MaxPromisedWait: 900 * time.Millisecond,
		StepTime:        20 * time.Millisecond,
	}
}
