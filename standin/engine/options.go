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
	// Restart is how long the engine is down after a crash.
	Restart time.Duration
	// AbandonAfter is how long a stream without a reader runs before it is canceled.
	AbandonAfter time.Duration
	// Faults are the initial faults.
	Faults Faults
}

// DefaultOptions returns the options of an engine with a load report lag of
// 500 ms that doesn't check fencing numbers.
func DefaultOptions() Options {
	return Options{
		Batch:        batcher.DefaultOptions(),
		Model:        "standin",
		Restart:      2 * time.Second,
		AbandonAfter: 30 * time.Second,
		Faults:       Faults{LoadLagMs: 500},
	}
}

// Faults are the settings that can change while the engine runs, most of them
// faults. POST /faults replaces all of them.
type Faults struct {
	// Freeze starts no step and holds back all new requests, except /faults and
	// /counts, until Freeze is false. Open streams still receive the tokens of
	// the step under way.
	Freeze bool `json:"freeze"`
	// Reject answers new streams with 503.
	Reject bool `json:"reject"`
	// CrashOn is a text that crashes the engine when a new stream's body
	// contains it; empty means never.
	CrashOn string `json:"crash-on"`
	// CutAfterTokens aborts each connection after that many tokens; 0 means
	// never.
	CutAfterTokens int `json:"cut-after-tokens"`
	// LoadLagMs is the minimum age of load reports in milliseconds. When no
	// report that old is kept, the engine reports that it is idle: after its
	// start or a crash, or if the lag exceeds the history.
	LoadLagMs int `json:"load-lag-ms"`
	// DropEvents is the share of cache events that are never returned, 0 to 1.
	DropEvents float64 `json:"drop-events"`
	// CheckFencing answers 409 to orders whose fencing number is lower than one
	// seen before. False is the fault: such orders are applied.
	CheckFencing bool `json:"check-fencing"`
	// TokensPerSecond is the token rate of each running stream; 0 means that
	// Options.Batch determines it.
	TokensPerSecond int `json:"tokens-per-second"`
	// RestartMs replaces Options.Restart when it is not 0, in milliseconds.
	RestartMs int `json:"restart-ms"`
}

// Counts are totals over all incarnations, the body of GET /counts.
type Counts struct {
	// Streams counts streams started, including those that crashed the engine.
	Streams   int64 `json:"streams"`
	Completed int64 `json:"completed"`
	// Canceled counts incomplete streams canceled on request.
	Canceled int64 `json:"cancelled"`
	// Abandoned counts incomplete streams canceled because they had no reader
	// for Options.AbandonAfter.
	Abandoned      int64 `json:"let-go"`
	Tokens         int64 `json:"tokens"`
	Preemptions    int64 `json:"preemptions"`
	Pauses         int64 `json:"pauses"`
	RepeatedTokens int64 `json:"repeated-tokens"`
	Crashes        int64 `json:"crashes"`
	Orders         int64 `json:"orders"`
	// StaleOrders counts orders applied although a higher fencing number had
	// been seen.
	StaleOrders int64 `json:"stale-orders"`
}
