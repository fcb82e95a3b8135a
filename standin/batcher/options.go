package batcher

import (
	"time"

	"github.com/currantwood/currantwood"
)

// Options are the sizes and costs of one engine.
type Options struct {
	// MemoryTokens is the memory for the prompts and outputs of running
	// streams, in tokens.
	MemoryTokens currantwood.TokenCount
	// CacheTokens is the size of the prefix cache in tokens, in addition to
	// MemoryTokens.
	CacheTokens currantwood.TokenCount
	// MaxRunning is the maximum number of streams in the batch.
	MaxRunning int
	// PrefillChunk is the maximum number of tokens that one step prefills.
	PrefillChunk currantwood.TokenCount
	// StepBase is the fixed part of a step's duration.
	StepBase time.Duration
	// StepPerStream is added for each stream that decodes.
	StepPerStream time.Duration
	// StepPerHeldToken is added for each token held by running streams.
	StepPerHeldToken time.Duration
	// PrefillPerToken is added for each token that the step prefills.
	PrefillPerToken time.Duration
}

// DefaultOptions returns the options of a small engine. About 60 streams of 530
// tokens fill its memory; a step then takes about 15.5 ms without prefill, and
// about 17 ms with the prefill of 60 tokens.
func DefaultOptions() Options {
	return Options{
		MemoryTokens:     32_000,
		CacheTokens:      16_000,
		MaxRunning:       128,
		PrefillChunk:     384,
		StepBase:         10 * time.Millisecond,
		StepPerStream:    60 * time.Microsecond,
		StepPerHeldToken: 60 * time.Nanosecond,
		PrefillPerToken:  25 * time.Microsecond,
	}
}

// Job is one stream to run.
type Job struct {
	Stream       currantwood.EngineStreamID
	Priority     currantwood.Priority
	PromptTokens currantwood.TokenCount
	// Prefix is 0 when the prompt has no prefix to cache.
	Prefix currantwood.PrefixID
	// PrefixTokens is the number of prompt tokens that the prefix covers.
	PrefixTokens currantwood.TokenCount
	// OutputTokens is the length of the output; less than 1 counts as 1. It only
	// ends the stream and doesn't influence scheduling, as a real engine learns
	// the length only at the end.
	OutputTokens currantwood.TokenCount
}

// Emission is one token that a step produced.
type Emission struct {
	Stream currantwood.EngineStreamID
	Index  currantwood.TokenIndex
	// Last reports whether the token completes the stream.
	Last bool
}

// Result is the outcome of one step.
type Result struct {
	// Duration is the step's duration; 0 when there was nothing to run.
	Duration time.Duration
	// Emissions are the tokens produced, to be shown when the step's duration
	// has passed. The next step reuses the slice.
	Emissions []Emission
}

// Counts are totals since the batcher was created.
type Counts struct {
	// Tokens counts output tokens.
	Tokens int64
	// Preemptions counts how often a running stream lost its memory to others.
	Preemptions int64
	// Pauses counts how often a stream was paused on request.
	Pauses int64
	// RepeatedTokens counts the context tokens to prefill at each admission after
	// a preemption, or after a pause that followed the first output token. It
	// counts the whole context without its cached prefix, also if the stream
	// lost its memory before all of that had been computed.
	RepeatedTokens int64
	// CacheHitTokens counts prompt tokens found in the prefix cache, which need
	// no prefill.
	CacheHitTokens int64
}
