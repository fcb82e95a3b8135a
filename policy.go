package currantwood

import "time"

// Demand is what is known of a request when it is routed and admitted.
type Demand struct {
	Request  RequestID
	Customer CustomerID
	Rule     RuleID
	Class    Class
	Priority Priority
	Model    ModelID
	// PromptTokens is an estimate from the prompt's length in bytes.
	PromptTokens TokenCount
	Prefix       PrefixID
	// MaxTokens is the caller's bound on the output; 0 means none.
	MaxTokens TokenCount
	// Deadline is absolute.
	Deadline time.Time
	Region   RegionID
	// Weight is the customer's part in the fair shares; 0 counts as 1.
	Weight uint32
	// Promised says that the caller was refused before, was told when to come
	// back and has come back then. It goes before others of its priority.
	Promised bool
	// Refused is the number of sides that refused this attempt so far.
	Refused int
}

// Candidate is one upstream as an entry sees it: late.
type Candidate struct {
	Upstream UpstreamID
	Region   RegionID
	Zone     ZoneID
	// Headroom is what the side last said it could still admit.
	Headroom TokenCount
	// Queue is the number of requests that wait at the side.
	Queue int
	// InFlight is the number of this entry's own requests at the upstream.
	InFlight int
	// ReportedAt is when the side's last report arrived.
	ReportedAt time.Time
	// Latency is the one-way delay to the side.
	Latency time.Duration
	// CachedTokens is the believed part of the demand's prefix in the cache.
	CachedTokens TokenCount
	// PredictedWait is the side's estimate of the time to the first token.
	PredictedWait time.Duration
}

// Picker chooses an upstream.
type Picker interface {
	// Pick returns the index of the chosen candidate, or -1 when none will do.
	Pick(now time.Time, demand Demand, candidates []Candidate) int
}

// Verdict is what a limiter or gatekeeper says of a demand.
type Verdict struct {
	// Refusal is nil when the demand may go on.
	Refusal *Refusal
	// Queued says that the demand waits and will be started by a later action.
	Queued bool
}

// Limiter holds customers to their shares.
type Limiter interface {
	// Admit is called once before a request is routed. Where the verdict
	// holds no refusal, Done must follow.
	Admit(now time.Time, demand Demand) Verdict
	// Done tells how much engine memory over time the request held.
	Done(now time.Time, customer CustomerID, request RequestID, used TokenSeconds)
}

// Estimator predicts output lengths.
type Estimator interface {
	// Observe takes in a finished stream.
	Observe(now time.Time, customer CustomerID, rule RuleID, length TokenCount)
	// Remaining returns the remaining length at the given quantile of a stream
	// that has produced soFar tokens.
	Remaining(customer CustomerID, rule RuleID, soFar TokenCount, quantile float64) TokenCount
}
