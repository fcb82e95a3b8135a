package replayer

// Result is the result of one policy on one trace at one load. Its JSON form is one
// line of `currantwood replay --json`.
type Result struct {
	Trace  string  `json:"trace"`
	Policy string  `json:"policy"`
	Load   float64 `json:"load"`
	// Goodput is the number of tokens per second that clients received from the
	// trace's start to its last arrival. Only responses that the engine completed by
	// the deadline count.
	Goodput float64 `json:"goodput-tokens-per-s"`
	// PreemptionsPer1000 is the number of preemptions by engines and pauses by sides
	// per 1000 starts of requests.
	PreemptionsPer1000 float64 `json:"preemptions-per-1000"`
	// EnginePreemptions is the number of preemptions by engines, without the pauses
	// by sides.
	EnginePreemptions int64 `json:"engine-preemptions"`
	// StallP50Ms, StallP95Ms and StallP99Ms are percentiles over the complete
	// responses, checks excluded. The stall of a response is the sum over its gaps
	// between tokens of the time by which a gap exceeds stallThreshold. It is at least
	// 0.001 ms, the resolution of the histogram.
	StallP50Ms float64 `json:"stall-p50-ms"`
	StallP95Ms float64 `json:"stall-p95-ms"`
	StallP99Ms float64 `json:"stall-p99-ms"`
	// BetweenTokensP95Ms and BetweenTokensP99Ms are percentiles of the time between
	// two tokens of a response, checks included.
	BetweenTokensP95Ms float64 `json:"between-tokens-p95-ms"`
	BetweenTokensP99Ms float64 `json:"between-tokens-p99-ms"`
	// FirstTokenP95Ms is measured from the attempt that produced the first token,
	// FirstTokenWithRetriesP95Ms from the client's first attempt. Checks are included.
	FirstTokenP95Ms            float64 `json:"first-token-p95-ms"`
	FirstTokenWithRetriesP95Ms float64 `json:"first-token-with-come-backs-p95-ms"`
	// CheckP99Ms is measured from the attempt that was completed to the complete
	// response.
	CheckP99Ms float64 `json:"check-p99-ms"`
	// CheckIdleP99Ms is CheckP99Ms for checks that run alone on an idle engine.
	CheckIdleP99Ms float64 `json:"check-idle-p99-ms"`
	// Requests is the number of requests in the trace. Each of them is completed, lost
	// or ends at its deadline.
	Requests  int `json:"requests"`
	Completed int `json:"completed"`
	// Refused is the number of refusals sent to clients; a request may be refused
	// more than once.
	Refused int `json:"refused"`
	// Expired is the number of requests that reached their deadline before they
	// were complete, or were refused so late that no retry was possible before it.
	Expired int `json:"never-served"`
	// Lost is the number of responses that were cut off after at least one token when
	// their engine was reclaimed.
	Lost int `json:"lost"`
	// ClientRetriesStartedShare is the share of ClientRetries that an admission sent to its
	// engine; 0 if there were none. Without a limit on admission, as under round-robin,
	// these include retries that the engine's queue never ran.
	ClientRetriesStartedShare float64 `json:"come-backs-served"`
	// ClientRetries is the number of retries by refused clients that an admission sent
	// to its engine or that were refused again.
	ClientRetries int `json:"come-backs"`
	// SideRetriesPerAttempt is the number of times that an entry sent an attempt to
	// another side after a refusal, per attempt of a client.
	SideRetriesPerAttempt float64 `json:"retries-per-arrival"`
	// MaxMinShareRatio is the ratio of the highest to the lowest share of requested tokens
	// that a customer got in complete responses. 1 is the best value, and higher is
	// worse; 0 is the worst: some customer got no complete response.
	MaxMinShareRatio float64 `json:"fairness"`
	// RecomputedTokens is the number of tokens that were recomputed after a preemption
	// or a pause.
	RecomputedTokens int64 `json:"repeated-tokens"`
	// CacheHitTokens is the number of prompt tokens that were in an engine's prefix
	// cache and were not prefilled.
	CacheHitTokens int64 `json:"cache-hit-tokens"`
	// CrossRegionBytes is the size of the output tokens that engines sent to clients
	// of other regions. Prompts don't count.
	CrossRegionBytes int64 `json:"cross-region-bytes"`
	// CompleteShareWithoutLargest is the share of requested tokens that all customers
	// but the one that requested most got in complete responses.
	CompleteShareWithoutLargest float64 `json:"small-served-share"`
}
