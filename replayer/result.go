package replayer

// Result is what one policy did with one trace at one load. Its JSON form is
// one line of `currantwood replay --json`.
type Result struct {
	Trace  string  `json:"trace"`
	Policy string  `json:"policy"`
	Load   float64 `json:"load"`
	// Goodput counts the tokens of answers that ended whole by their deadline,
	// as far as they came before the last arrival.
	Goodput            float64 `json:"goodput-tokens-per-s"`
	PreemptionsPer1000 float64 `json:"preemptions-per-1000"`
	// EnginePreemptions are the engines' own; the rest are the side's pauses.
	EnginePreemptions int64 `json:"engine-preemptions"`
	// Stall is the time beyond stallGap between two tokens, summed over a
	// stream.
	StallP50Ms         float64 `json:"stall-p50-ms"`
	StallP95Ms         float64 `json:"stall-p95-ms"`
	StallP99Ms         float64 `json:"stall-p99-ms"`
	BetweenTokensP95Ms float64 `json:"between-tokens-p95-ms"`
	BetweenTokensP99Ms float64 `json:"between-tokens-p99-ms"`
	// FirstTokenP95Ms counts from the arrival of the attempt that was served;
	// FirstTokenAllP95Ms from the caller's first.
	FirstTokenP95Ms    float64 `json:"first-token-p95-ms"`
	FirstTokenAllP95Ms float64 `json:"first-token-with-come-backs-p95-ms"`
	CheckP99Ms         float64 `json:"check-p99-ms"`
	// CheckIdleP99Ms is the same on an engine without other work.
	CheckIdleP99Ms float64 `json:"check-idle-p99-ms"`
	Requests       int     `json:"requests"`
	Completed      int     `json:"completed"`
	// Refused counts refusals that reached a caller; one caller may get many.
	Refused int `json:"refused"`
	// NeverServed counts requests whose caller gave up refused or unserved.
	NeverServed int `json:"never-served"`
	// Lost counts answers cut by an engine's end.
	Lost int `json:"lost"`
	// ComeBacksServed is the share of come-backs that were served.
	ComeBacksServed float64 `json:"come-backs-served"`
	ComeBacks       int     `json:"come-backs"`
	// Retries is the number of starts sent to a further side after a refusal,
	// over the number of arrivals.
	Retries float64 `json:"retries-per-arrival"`
	// Fairness is the largest customer's served share over the smallest's.
	Fairness       float64 `json:"fairness"`
	RepeatedTokens int64   `json:"repeated-tokens"`
	// CacheHitTokens are prompt tokens that an engine's cache spared.
	CacheHitTokens   int64 `json:"cache-hit-tokens"`
	CrossRegionBytes int64 `json:"cross-region-bytes"`
	// SmallServedShare is the part of their tokens that all customers but the
	// largest got.
	SmallServedShare float64 `json:"small-served-share"`
}
