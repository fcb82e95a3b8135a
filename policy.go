package currantwood

import "time"

// Demand describes a request to the routing and admission policies.
type Demand struct {
	Request  RequestID
	Customer CustomerID
	Rule     RuleID
	Class    Class
	Priority Priority
	Model    ModelID
	// PromptTokens is estimated from the prompt's length in bytes.
	PromptTokens TokenCount
	Prefix       PrefixID
	// MaxTokens is the client's limit on the output; 0 means no limit.
	MaxTokens TokenCount
	// Deadline is the time by which the final response is due.
	Deadline time.Time
	Region   RegionID
	// Weight is the customer's weight in fair sharing; 0 counts as 1.
	Weight uint32
	// Promised is true if this is a retry made at the time that an earlier
	// refusal stated. At a side, the request goes before others of its class,
	// whatever their priority.
	Promised bool
	// Refused is the number of sides at which this request has been attempted
	// without success so far, whether they refused it or it failed in another way.
	Refused int
}

// Candidate is an upstream as known to an entry. Its values lag behind the
// upstream by the reporting and network delay.
type Candidate struct {
	Upstream UpstreamID
	Region   RegionID
	Zone     ZoneID
	// Headroom is the engine memory that the side last reported as free for new
	// requests.
	Headroom TokenCount
	// QueueLength is the number of requests waiting at the side.
	QueueLength int
	// InFlight is the number of this entry's own requests at the upstream.
	InFlight int
	// ReportedAt is when the side's last report arrived.
	ReportedAt time.Time
	// Latency is the one-way delay to the side.
	Latency time.Duration
	// CachedTokens is the number of tokens of the demand's prefix that the engine
	// is believed to have cached.
	CachedTokens TokenCount
	// PredictedWait is the side's estimate of how long a request of average size
	// waits before its own prefill: in the queue, for the prefill of running
	// requests, and for one step.
	PredictedWait time.Duration
}

// Picker selects an upstream for a request.
type Picker interface {
	// Pick returns the index of the selected candidate, or -1 if none is suitable.
	Pick(now time.Time, demand Demand, candidates []Candidate) int
}

// AdmissionDecision is the admission decision for a demand.
type AdmissionDecision struct {
	// Refusal is nil if the demand is admitted or queued.
	Refusal *Refusal
	// Queued is true if the demand waits in a queue and is to be started or refused
	// later.
	Queued bool
}

// Limiter enforces the fair shares of customers.
type Limiter interface {
	// Admit is called once, before a request is routed. If the decision holds no
	// refusal, Done must be called later.
	Admit(now time.Time, demand Demand) AdmissionDecision
	// Done records the engine memory, integrated over time, that the request used.
	Done(now time.Time, customer CustomerID, request RequestID, used TokenSeconds)
}

// Estimator predicts the output length of streams.
type Estimator interface {
	// Observe records the output length of a finished stream.
	Observe(now time.Time, customer CustomerID, rule RuleID, length TokenCount)
	// Remaining returns the given quantile (0 to 1) of the remaining length of a
	// stream that has produced soFar tokens.
	Remaining(customer CustomerID, rule RuleID, soFar TokenCount, quantile float64) TokenCount
}
