package engine

import (
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/standin/batcher"
)

// Options are the settings of one engine stand-in.
type Options struct {
	Batch batcher.Options
	Model currantwood.ModelID
	// Restart is how long the engine is away after a crash.
	Restart time.Duration
	// LetGo is how long a stream runs on without a reader.
	LetGo time.Duration
	// Faults are in force from the start.
	Faults Faults
}

// DefaultOptions returns the options of a healthy engine.
func DefaultOptions() Options {
	return Options{
		Batch:   batcher.DefaultOptions(),
		Model:   "standin",
		Restart: 2 * time.Second,
		LetGo:   30 * time.Second,
		Faults:  Faults{LoadLagMs: 500},
	}
}

// Faults are the fault settings that POST /faults replaces as a whole.
type Faults struct {
	// Freeze stops the batch and every answer until it is taken back.
	Freeze bool `json:"freeze"`
	// Reject answers new streams with 503.
	Reject bool `json:"reject"`
	// CrashOn is a marker: a stream whose body holds it crashes the engine.
	CrashOn string `json:"crash-on"`
	// CutAfterTokens cuts each connection after that many tokens; 0 is never.
	CutAfterTokens int `json:"cut-after-tokens"`
	LoadLagMs      int `json:"load-lag-ms"`
	// DropEvents is the share of cache events that are never shown, 0 to 1.
	DropEvents   float64 `json:"drop-events"`
	CheckFencing bool    `json:"check-fencing"`
	// TokensPerSecond replaces the batch's own speed for each stream; 0 keeps
	// it.
	TokensPerSecond int `json:"tokens-per-second"`
	// RestartMs replaces Options.Restart when it is not 0.
	RestartMs int `json:"restart-ms"`
}

// Counts answer GET /counts.
type Counts struct {
	Streams        int64 `json:"streams"`
	Completed      int64 `json:"completed"`
	Cancelled      int64 `json:"cancelled"`
	LetGo          int64 `json:"let-go"`
	Tokens         int64 `json:"tokens"`
	Preemptions    int64 `json:"preemptions"`
	Pauses         int64 `json:"pauses"`
	RepeatedTokens int64 `json:"repeated-tokens"`
	Crashes        int64 `json:"crashes"`
	Orders         int64 `json:"orders"`
	// StaleOrders were applied although a higher fencing number had been seen.
	StaleOrders int64 `json:"stale-orders"`
}
