package player

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/currantwood/currantwood"
)

const (
	// maxRecordedValue is the largest value that a histogram is sized for. Values
	// that don't fit are not recorded.
	maxRecordedValue = time.Hour
	// significantDigits is the precision of the histograms, in decimal digits.
	significantDigits = 3
)

// Report sums up what the clients of all requests observed. Three counters stay 0,
// because only the upstreams know them: repeated runs, operations wrongly reported as
// not run, and preemptions. The code that calls Play sets them.
type Report struct {
	Requests, Completed, RefusedNotRun, Unknown uint64
	// EndedEarly counts requests that ended with a typed error after they had
	// started to run.
	EndedEarly uint64
	// CutOff counts requests that got neither a complete response nor a typed error.
	CutOff uint64
	// GivenUp counts requests that were still open when the player was stopped.
	GivenUp uint64
	// Tokens counts each token once. LostTokens counts the tokens missing from
	// responses that ended as if they were complete. OutOfOrder counts tokens with a
	// higher index than expected, and DuplicatedTokens those with a lower one, so a
	// token that comes late counts as duplicated and as lost.
	Tokens, DuplicatedTokens, LostTokens, OutOfOrder uint64
	// MixedGenerations counts responses with tokens of more than one generation.
	MixedGenerations uint64
	Reconnects       uint64
	// RepeatedRuns counts the runs of each operation beyond its first, summed
	// over all operations.
	RepeatedRuns uint64
	// NotRunButRan counts operations that ran although every client that sent
	// them was told that they had not run, once per upstream that ran them.
	NotRunButRan uint64
	Preemptions  uint64
	// Stall is the sum over all token gaps of the time above
	// currantwood.StallThreshold.
	Stall time.Duration
	// Elapsed is how long Play took.
	Elapsed time.Duration

	mu            sync.Mutex
	firstToken    *hdrhistogram.Histogram
	betweenTokens *hdrhistogram.Histogram
	stalls        *hdrhistogram.Histogram
	// requestsByError counts requests by the kind or code of the typed error that
	// ended them.
	requestsByError map[string]uint64
	// operations maps each operation key to whether all requests with it were
	// refused as not run.
	operations map[string]bool
}

// NewReport returns an empty report, into which others can be merged.
func NewReport() *Report {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, maxRecordedValue.Microseconds(), significantDigits)
	}
	return &Report{
		firstToken:      histogram(),
		betweenTokens:   histogram(),
		stalls:          histogram(),
		requestsByError: make(map[string]uint64),
		operations:      make(map[string]bool),
	}
}

// Merge adds the counts of another report, which must no longer change. Elapsed
// becomes the longer of both. Operations are not merged: NotRunOperations lists
// only r's own.
func (r *Report) Merge(other *Report) {
	r.Requests += other.Requests
	r.Completed += other.Completed
	r.RefusedNotRun += other.RefusedNotRun
	r.Unknown += other.Unknown
	r.EndedEarly += other.EndedEarly
	r.CutOff += other.CutOff
	r.GivenUp += other.GivenUp
	r.Tokens += other.Tokens
	r.DuplicatedTokens += other.DuplicatedTokens
	r.LostTokens += other.LostTokens
	r.OutOfOrder += other.OutOfOrder
	r.MixedGenerations += other.MixedGenerations
	r.Reconnects += other.Reconnects
	r.RepeatedRuns += other.RepeatedRuns
	r.NotRunButRan += other.NotRunButRan
	r.Preemptions += other.Preemptions
	r.Stall += other.Stall
	r.Elapsed = max(r.Elapsed, other.Elapsed)
	r.firstToken.Merge(other.firstToken)
	r.betweenTokens.Merge(other.betweenTokens)
	r.stalls.Merge(other.stalls)
	for kind, count := range other.requestsByError {
		r.requestsByError[kind] += count
	}
}

// addRequest adds one request that has ended. The caller holds mu.
func (r *Report) addRequest(request Request, o *observation) {
	r.Requests++
	r.Reconnects += uint64(o.reconnects)
	switch o.outcome {
	case outcomeCompleted:
		r.Completed++
		r.LostTokens += missingTokens(request, o)
	case outcomeNotRun:
		r.RefusedNotRun++
	case outcomeUnknown:
		r.Unknown++
	case outcomeEndedEarly:
		r.EndedEarly++
	case outcomeGivenUp:
		r.GivenUp++
	default:
		r.CutOff++
	}
	if o.errorKind != "" {
		r.requestsByError[o.errorKind]++
	}
	if request.OperationKey != "" {
		allNotRun, seen := r.operations[request.OperationKey]
		r.operations[request.OperationKey] = o.outcome == outcomeNotRun && (allNotRun || !seen)
	}
	r.addTokens(request, o)
}

func (r *Report) addTokens(request Request, o *observation) {
	r.Tokens += o.tokens
	r.DuplicatedTokens += o.duplicated
	r.OutOfOrder += o.outOfOrder
	if o.mixed {
		r.MixedGenerations++
	}
	if o.tokens == 0 || !request.Stream {
		return
	}
	_ = r.firstToken.RecordValue(o.firstToken.Microseconds())
	var stall time.Duration
	for _, gap := range o.gaps {
		_ = r.betweenTokens.RecordValue(gap.Microseconds())
		stall += max(0, gap-currantwood.StallThreshold)
	}
	_ = r.stalls.RecordValue(stall.Microseconds())
	r.Stall += stall
}

// missingTokens returns how many of the expected tokens did not arrive.
func missingTokens(request Request, o *observation) uint64 {
	if o.tokens >= request.Tokens {
		return 0
	}
	return request.Tokens - o.tokens
}

// NotRunOperations returns, in no particular order, the operation keys of which
// every request was refused as not run.
func (r *Report) NotRunOperations() []string {
	var keys []string
	for key, notRun := range r.operations {
		if notRun {
			keys = append(keys, key)
		}
	}
	return keys
}

// Violations returns the sum of the counters that are zero in a correct system.
func (r *Report) Violations() uint64 {
	return r.DuplicatedTokens + r.LostTokens + r.OutOfOrder + r.MixedGenerations + r.RepeatedRuns + r.NotRunButRan + r.CutOff
}

// summary is the JSON form of a Report. Fields that end in Ms are in milliseconds.
type summary struct {
	Requests         uint64 `json:"requests"`
	Completed        uint64 `json:"completed"`
	RefusedNotRun    uint64 `json:"refused-not-run"`
	Unknown          uint64 `json:"unknown"`
	EndedEarly       uint64 `json:"ended-early"`
	CutOff           uint64 `json:"cut-off"`
	GivenUp          uint64 `json:"given-up"`
	Reconnects       uint64 `json:"reconnects"`
	Tokens           uint64 `json:"tokens"`
	DuplicatedTokens uint64 `json:"duplicated-tokens"`
	LostTokens       uint64 `json:"lost-tokens"`
	OutOfOrder       uint64 `json:"out-of-order-tokens"`
	MixedGenerations uint64 `json:"mixed-generations"`
	RepeatedRuns     uint64 `json:"repeated-operations"`
	FalseNotRun      uint64 `json:"false-not-run"`
	Preemptions      uint64 `json:"preemptions"`
	// PreemptionsPer1000Streams relates to the streams that got a token.
	PreemptionsPer1000Streams float64 `json:"preemptions-per-1000"`
	// GoodputTokensPerS counts each token once, also of responses that did not
	// complete.
	GoodputTokensPerS  float64 `json:"goodput-tokens-per-s"`
	FirstTokenP95Ms    float64 `json:"first-token-p95-ms"`
	BetweenTokensP95Ms float64 `json:"between-tokens-p95-ms"`
	BetweenTokensP99Ms float64 `json:"between-tokens-p99-ms"`
	StallP95Ms         float64 `json:"stall-p95-ms"`
	StallMs            float64 `json:"stall-ms"`
}

func (r *Report) summary() summary {
	s := summary{
		Requests: r.Requests, Completed: r.Completed, RefusedNotRun: r.RefusedNotRun, Unknown: r.Unknown,
		EndedEarly: r.EndedEarly, CutOff: r.CutOff, GivenUp: r.GivenUp, Reconnects: r.Reconnects,
		Tokens: r.Tokens, DuplicatedTokens: r.DuplicatedTokens, LostTokens: r.LostTokens, OutOfOrder: r.OutOfOrder,
		MixedGenerations: r.MixedGenerations, RepeatedRuns: r.RepeatedRuns, FalseNotRun: r.NotRunButRan, Preemptions: r.Preemptions,
		FirstTokenP95Ms:    quantileMS(r.firstToken, 95),
		BetweenTokensP95Ms: quantileMS(r.betweenTokens, 95),
		BetweenTokensP99Ms: quantileMS(r.betweenTokens, 99),
		StallP95Ms:         quantileMS(r.stalls, 95),
		StallMs:            float64(r.Stall.Microseconds()) / 1e3,
	}
	if streams := r.firstToken.TotalCount(); streams > 0 {
		s.PreemptionsPer1000Streams = 1000 * float64(r.Preemptions) / float64(streams)
	}
	if r.Elapsed > 0 {
		s.GoodputTokensPerS = float64(r.Tokens) / r.Elapsed.Seconds()
	}
	return s
}

// quantileMS returns a percentile of a histogram of microseconds, in milliseconds.
func quantileMS(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / 1e3
}

// WriteJSON writes the report as one line of JSON.
func (r *Report) WriteJSON(w io.Writer) error { return json.NewEncoder(w).Encode(r.summary()) }

// WriteTable writes the report as an aligned plain-text table.
func (r *Report) WriteTable(w io.Writer) error {
	s := r.summary()
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(name string, value any) { _, _ = fmt.Fprintf(t, "%s\t%v\n", name, value) }
	row("requests", s.Requests)
	row("completed", s.Completed)
	row("refused as not run", s.RefusedNotRun)
	row("outcome unknown", s.Unknown)
	row("ended early, typed", s.EndedEarly)
	row("given up by the player", s.GivenUp)
	row("reconnects", s.Reconnects)
	row("tokens", s.Tokens)
	row("must be zero: cut off", s.CutOff)
	row("must be zero: duplicated tokens", s.DuplicatedTokens)
	row("must be zero: lost tokens", s.LostTokens)
	row("must be zero: out of order tokens", s.OutOfOrder)
	row("must be zero: mixed generations", s.MixedGenerations)
	row("must be zero: repeated operations", s.RepeatedRuns)
	row("must be zero: told not run, but ran", s.FalseNotRun)
	row("preemptions", s.Preemptions)
	row("first token p95", fmt.Sprintf("%.1f ms", s.FirstTokenP95Ms))
	row("between tokens p95 / p99", fmt.Sprintf("%.1f / %.1f ms", s.BetweenTokensP95Ms, s.BetweenTokensP99Ms))
	row("stall time, all streams", fmt.Sprintf("%.1f ms", s.StallMs))
	for _, kind := range slices.Sorted(maps.Keys(r.requestsByError)) {
		row("refused: "+kind, r.requestsByError[kind])
	}
	return t.Flush()
}
