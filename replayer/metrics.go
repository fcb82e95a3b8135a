package replayer

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/standin/batcher"
)

// metrics collects what the clients experience. Unless stated otherwise, it covers all
// requests, checks included.
type metrics struct {
	// The histograms are in microseconds. gaps has the times between two tokens of a
	// response. firstToken is measured from the attempt that produced the token,
	// firstTokenWithRetries from the client's first attempt. stalls has the stall time
	// of each complete response that isn't a check, checkTimes the time from the
	// attempt to the complete response of each complete check.
	gaps                  *hdrhistogram.Histogram
	firstToken            *hdrhistogram.Histogram
	firstTokenWithRetries *hdrhistogram.Histogram
	stalls                *hdrhistogram.Histogram
	checkTimes            *hdrhistogram.Histogram

	// attempts counts first attempts and retries of clients. starts counts how often
	// an admission sent a request to its engine; a request that was started again
	// after a reclaim counts again. expired counts the requests that reached their
	// deadline, or could not be retried before it.
	attempts, starts, completed, refused, expired, lost int
	clientRetries, clientRetriesStarted, sideRetries    int
	crossRegionTokens                                   int64
}

// stallThreshold is the gap between two tokens above which the excess counts as stall
// time. It differs from currantwood.StallThreshold, which the player and observer
// use, so their stall times can't be compared with those of a replay.
const stallThreshold = 100 * time.Millisecond

func newMetrics() metrics {
	histogram := func() *hdrhistogram.Histogram {
		const longest = 10 * time.Minute
		return hdrhistogram.New(1, longest.Microseconds(), 3)
	}
	return metrics{gaps: histogram(), firstToken: histogram(), firstTokenWithRetries: histogram(), stalls: histogram(), checkTimes: histogram()}
}

// record records d, at least as the histogram's lowest value of 1 µs. It drops
// durations above the histogram's range.
func record(h *hdrhistogram.Histogram, d time.Duration) { _ = h.RecordValue(max(d.Microseconds(), 1)) }

func (m *metrics) recordFirstToken(req *clientRequest, at time.Time) {
	record(m.firstToken, at.Sub(req.attempted))
	record(m.firstTokenWithRetries, at.Sub(req.arrived))
}

func (m *metrics) recordGap(req *clientRequest, gap time.Duration) {
	record(m.gaps, gap)
	if gap > stallThreshold {
		req.stall += gap - stallThreshold
	}
}

func (m *metrics) recordCompletion(req *clientRequest, at time.Time) {
	m.completed++
	if req.traced.IsCheck() {
		record(m.checkTimes, at.Sub(req.attempted))
		return
	}
	record(m.stalls, req.stall)
}

// The number of bytes that an output token and a prompt token take on a link
// between regions.
const (
	bytesPerOutputToken = 40
	bytesPerPromptToken = 4
)

// result summarizes the replay.
func (r *Replayer) result() Result {
	m := &r.metrics
	span := r.spanEnd().Sub(traceStart).Seconds()
	result := Result{
		Trace:                      r.trace.Header.Name,
		Policy:                     r.options.Policy,
		Load:                       r.options.Load,
		StallP50Ms:                 millis(m.stalls, 50),
		StallP95Ms:                 millis(m.stalls, 95),
		StallP99Ms:                 millis(m.stalls, 99),
		BetweenTokensP95Ms:         millis(m.gaps, 95),
		BetweenTokensP99Ms:         millis(m.gaps, 99),
		FirstTokenP95Ms:            millis(m.firstToken, 95),
		FirstTokenWithRetriesP95Ms: millis(m.firstTokenWithRetries, 95),
		CheckP99Ms:                 millis(m.checkTimes, 99),
		CheckIdleP99Ms:             round(r.idleCheckP99().Seconds() * 1000),
		Requests:                   len(r.requests),
		Completed:                  m.completed,
		Refused:                    m.refused,
		Expired:                    m.expired,
		Lost:                       m.lost,
		ClientRetries:              m.clientRetries,
		ClientRetriesStartedShare:  ratio(m.clientRetriesStarted, m.clientRetries),
		SideRetriesPerAttempt:      ratio(m.sideRetries, m.attempts),
		CrossRegionBytes:           m.crossRegionTokens * bytesPerOutputToken,
	}
	var goodTokens, pauses int64
	for _, req := range r.requests {
		if req.tokens == int(req.traced.OutputTokens) {
			goodTokens += int64(req.tokensInSpan)
		}
	}
	for _, e := range r.engines {
		counts := e.batch.Counts()
		result.EnginePreemptions += counts.Preemptions
		pauses += counts.Pauses
		result.RecomputedTokens += counts.RepeatedTokens
		result.CacheHitTokens += counts.CacheHitTokens
	}
	result.Goodput = round(float64(goodTokens) / span)
	result.PreemptionsPer1000 = round(1000 * float64(result.EnginePreemptions+pauses) / float64(max(m.starts, 1)))
	result.MaxMinShareRatio, result.CompleteShareWithoutLargest = r.fairness()
	return result
}

// fairness compares the customers' complete shares: the tokens of complete responses
// over the tokens requested. It returns the ratio of the highest share to the
// lowest, or 0 if the lowest is 0, and the share of all customers but the one that
// requested most, taken together.
func (r *Replayer) fairness() (maxMinRatio, shareWithoutLargest float64) {
	// The order of first appearance makes the result deterministic.
	var order []currantwood.CustomerID
	requested := map[currantwood.CustomerID]float64{}
	completed := map[currantwood.CustomerID]float64{}
	for _, req := range r.requests {
		id := req.traced.Customer
		if requested[id] == 0 {
			order = append(order, id)
		}
		requested[id] += float64(req.traced.OutputTokens)
		if req.tokens == int(req.traced.OutputTokens) {
			completed[id] += float64(req.tokens)
		}
	}
	lowest, highest := math.Inf(1), 0.0
	largest := order[0]
	var totalRequested, totalCompleted float64
	for _, id := range order {
		lowest = min(lowest, completed[id]/requested[id])
		highest = max(highest, completed[id]/requested[id])
		totalRequested += requested[id]
		totalCompleted += completed[id]
		if requested[id] > requested[largest] {
			largest = id
		}
	}
	if lowest > 0 {
		maxMinRatio = round(highest / lowest)
	}
	return maxMinRatio, round((totalCompleted - completed[largest]) / max(totalRequested-requested[largest], 1))
}

// idleCheckP99 returns the 99th percentile of the times that the trace's checks take,
// each alone on an idle engine with an empty prefix cache.
func (r *Replayer) idleCheckP99() time.Duration {
	alone := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	for i := range r.trace.Requests {
		request := &r.trace.Requests[i]
		if !request.IsCheck() {
			continue
		}
		b := batcher.New(batchOptions(r.trace.Header.Engine))
		b.Add(batcher.Job{Stream: "check", PromptTokens: request.PromptTokens, OutputTokens: request.OutputTokens})
		var took time.Duration
		for step := b.Step(); step.Duration > 0; step = b.Step() {
			took += step.Duration
		}
		record(alone, took)
	}
	return time.Duration(alone.ValueAtQuantile(99)) * time.Microsecond
}

// millis returns a percentile of a histogram of microseconds, in milliseconds.
func millis(h *hdrhistogram.Histogram, percent float64) float64 {
	return round(float64(h.ValueAtQuantile(percent)) / 1000)
}

// ratio returns part / whole, or 0 if whole is 0.
func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return round(float64(part) / float64(whole))
}

// round rounds to three decimals for readable results.
func round(x float64) float64 { return math.Round(x*1000) / 1000 }
