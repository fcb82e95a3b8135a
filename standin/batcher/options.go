package batcher

import (
	"time"

	"github.com/currantwood/currantwood"
)

// Options are the sizes and costs of one engine.
type Options struct {
	// MemoryTokens is the room for the prompts and outputs of running streams.
	MemoryTokens currantwood.TokenCount
	// CacheTokens is the room of the prefix cache, apart from MemoryTokens.
	CacheTokens currantwood.TokenCount
	// MaxRunning bounds the streams in one batch.
	MaxRunning int
	// PrefillChunk bounds the prompt tokens that one step prefills.
	PrefillChunk currantwood.TokenCount
	// StepBase is the duration of a step whatever it does.
	StepBase time.Duration
	// StepPerStream is added for each stream that decodes.
	StepPerStream time.Duration
	// StepPerHeldToken is added for each token held by running streams.
	StepPerHeldToken time.Duration
	// PrefillPerToken is added for each prompt token that the step prefills.
	PrefillPerToken time.Duration
}

// DefaultOptions returns a small engine: about sixty streams of usual length
// fill its memory, at roughly 17 ms a step.
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
	// Prefix is 0 when the prompt has no prefix worth caching.
	Prefix currantwood.PrefixID
	// PrefixTokens is the part of the prompt that the prefix covers.
	PrefixTokens currantwood.TokenCount
	// OutputTokens is the length of the output, hidden from everyone else; at
	// least 1.
	OutputTokens currantwood.TokenCount
}

// Emission is one token that a step produced.
type Emission struct {
	Stream currantwood.EngineStreamID
	Index  currantwood.TokenIndex
	// Last says that the stream is complete with this token.
	Last bool
}

// Result is what one step did.
type Result struct {
	// Took is 0 when there was nothing to run.
	Took time.Duration
	// Emissions become visible when the step is over. The slice is reused by
	// the next step.
	Emissions []Emission
}

// Counts are totals since the batcher was made.
type Counts struct {
	Tokens int64
	// Preemptions counts streams that lost their memory while running.
	Preemptions int64
	// Pauses counts streams that were paused on request.
	Pauses int64
	// RepeatedTokens counts tokens that were computed a second time after a
	// preemption or a pause.
	RepeatedTokens int64
	// CacheHitTokens counts prompt tokens that the prefix cache spared.
	CacheHitTokens int64
}
