package replayer

// Result is the result of one policy on one trace at one load. Its JSON form is one
// line of `currantwood replay --json`.
type Result struct {
	Trace  string  `json:"trace"`
	Policy string  `json:"policy"`
	Load   float64 `json:"load"`
	// Goodput is the number of tokens per second of responses that were complete by
	// their deadline, counting the tokens received by the trace's last arrival.
	Goodput float64 `json:"goodput-tokens-per-s"`
	// PreemptionsPer1000 is the number of engine preemptions and side pauses per
	// 1000 starts.
	PreemptionsPer1000 float64 `json:"preemptions-per-1000"`
	// EnginePreemptions is the number of preemptions by engines, without the pauses
	// by sides.
	EnginePreemptions int64 `json:"engine-preemptions"`
	// The stall of a stream is the sum over its gaps between tokens of the time by
	// which a gap exceeds stallThreshold.
	StallP50Ms float64 `json:"stall-p50-ms"`
	StallP95Ms float64 `json:"stall-p95-ms"`
	StallP99Ms float64 `json:"stall-p99-ms"`
	// BetweenTokensP95Ms and BetweenTokensP99Ms are percentiles of the time between
	// two tokens of a stream.
	BetweenTokensP95Ms float64 `json:"between-tokens-p95-ms"`
	BetweenTokensP99Ms float64 `json:"between-tokens-p99-ms"`
	// FirstTokenP95Ms is measured from the attempt that was served,
	// FirstTokenWithRetriesP95Ms from the client's first attempt.
	FirstTokenP95Ms            float64 `json:"first-token-p95-ms"`
	FirstTokenWithRetriesP95Ms float64 `json:"first-token-with-come-backs-p95-ms"`
	// CheckP99Ms is measured from the attempt that was served to the complete
	// response.
	CheckP99Ms float64 `json:"check-p99-ms"`
	// CheckIdleP99Ms is CheckP99Ms for checks that run alone on an idle engine.
	CheckIdleP99Ms float64 `json:"check-idle-p99-ms"`
	Requests       int     `json:"requests"`
	Completed      int     `json:"completed"`
	// Refused is the number of refusals sent to clients; a request may be refused
	// more than once.
	Refused int `json:"refused"`
	// NeverServed is the number of requests that were refused for good or reached
	// their deadline before they were complete.
	NeverServed int `json:"never-served"`
	// Lost is the number of responses that were cut off when their engine was
	// reclaimed.
	Lost int `json:"lost"`
	// ComeBacksServed is the share of ClientRetries that an engine started.
	ComeBacksServed float64 `json:"come-backs-served"`
	// ClientRetries is the number of retries by refused clients that were started or
	// refused again.
	ClientRetries int `json:"come-backs"`
	// Retries is the number of times that an entry sent an attempt to another side
	// after a refusal, per attempt of a client.
	Retries float64 `json:"retries-per-arrival"`
	// Fairness is the ratio of the highest to the lowest share of requested tokens
	// that a customer got in complete responses; 0 if the lowest is 0.
	Fairness float64 `json:"fairness"`
	// RepeatedTokens is the number of tokens that were recomputed after a preemption
	// or a pause.
	RepeatedTokens int64 `json:"repeated-tokens"`
	// CacheHitTokens is the number of prompt tokens that were in an engine's prefix
	// cache and were not prefilled.
	CacheHitTokens   int64 `json:"cache-hit-tokens"`
	CrossRegionBytes int64 `json:"cross-region-bytes"`
	// SmallServedShare is the share of requested tokens that all customers but the
	// largest got in complete responses.
	SmallServedShare float64 `json:"small-served-share"`
}
