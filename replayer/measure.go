package replayer

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/standin/batcher"
)

// measure is what the callers see.
type measure struct {
	// The histograms are in microseconds.
	gaps     *hdrhistogram.Histogram
	firsts   *hdrhistogram.Histogram
	firstAll *hdrhistogram.Histogram
	stalls   *hdrhistogram.Histogram
	checks   *hdrhistogram.Histogram

	arrivals, started, completed, refused, neverServed, lost int
	comeBacks, comeBacksServed, retries                      int
	crossRegionTokens                                        int64
}

// stallGap is the time between two tokens beyond which a reader waits.
const stallGap = 100 * time.Millisecond

func newMeasure() measure {
	histogram := func() *hdrhistogram.Histogram {
		const longest = 10 * time.Minute
		return hdrhistogram.New(1, longest.Microseconds(), 3)
	}
	return measure{gaps: histogram(), firsts: histogram(), firstAll: histogram(), stalls: histogram(), checks: histogram()}
}

func record(h *hdrhistogram.Histogram, d time.Duration) { _ = h.RecordValue(max(d.Microseconds(), 1)) }

func (m *measure) first(f *flight, at time.Time) {
	record(m.firsts, at.Sub(f.attempted))
	record(m.firstAll, at.Sub(f.arrived))
}

func (m *measure) gap(f *flight, gap time.Duration) {
	record(m.gaps, gap)
	if gap > stallGap {
		f.stall += gap - stallGap
	}
}

func (m *measure) complete(f *flight, at time.Time) {
	m.completed++
	if f.request.IsCheck() {
		record(m.checks, at.Sub(f.attempted))
		return
	}
	record(m.stalls, f.stall)
}

// The bytes that a token and a prompt token take on a link between regions.
const (
	bytesPerToken       = 40
	bytesPerPromptToken = 4
)

// result adds everything up.
func (r *Replayer) result() Result {
	m := &r.measure
	span := r.spanEnd().Sub(traceStart).Seconds()
	result := Result{
		Trace:              r.trace.Header.Trace,
		Policy:             r.options.Policy,
		Load:               r.options.Load,
		StallP50Ms:         millis(m.stalls, 50),
		StallP95Ms:         millis(m.stalls, 95),
		StallP99Ms:         millis(m.stalls, 99),
		BetweenTokensP95Ms: millis(m.gaps, 95),
		BetweenTokensP99Ms: millis(m.gaps, 99),
		FirstTokenP95Ms:    millis(m.firsts, 95),
		FirstTokenAllP95Ms: millis(m.firstAll, 95),
		CheckP99Ms:         millis(m.checks, 99),
		CheckIdleP99Ms:     round(r.idleCheck().Seconds() * 1000),
		Requests:           len(r.flights),
		Completed:          m.completed,
		Refused:            m.refused,
		NeverServed:        m.neverServed,
		Lost:               m.lost,
		ComeBacks:          m.comeBacks,
		ComeBacksServed:    share(m.comeBacksServed, m.comeBacks),
		Retries:            share(m.retries, m.arrivals),
		CrossRegionBytes:   m.crossRegionTokens * bytesPerToken,
	}
	var good, pauses int64
	for _, f := range r.flights {
		if f.tokens == int(f.request.OutputTokens) {
			good += int64(f.inSpan)
		}
	}
	for _, e := range r.engines {
		counts := e.batch.Counts()
		result.EnginePreemptions += counts.Preemptions
		pauses += counts.Pauses
		result.RepeatedTokens += counts.RepeatedTokens
		result.CacheHitTokens += counts.CacheHitTokens
	}
	result.Goodput = round(float64(good) / span)
	result.PreemptionsPer1000 = round(1000 * float64(result.EnginePreemptions+pauses) / float64(max(m.started, 1)))
	result.Fairness, result.SmallServedShare = r.fairness()
	return result
}

// fairness compares the part of their tokens that customers got.
func (r *Replayer) fairness() (ratio, small float64) {
	var order []currantwood.CustomerID
	asked := map[currantwood.CustomerID]float64{}
	got := map[currantwood.CustomerID]float64{}
	for _, f := range r.flights {
		id := f.request.Customer
		if asked[id] == 0 {
			order = append(order, id)
		}
		asked[id] += float64(f.request.OutputTokens)
		if f.tokens == int(f.request.OutputTokens) {
			got[id] += float64(f.tokens)
		}
	}
	least, most := math.Inf(1), 0.0
	largest := order[0]
	var sumAsked, sumGot float64
	for _, id := range order {
		least = min(least, got[id]/asked[id])
		most = max(most, got[id]/asked[id])
		sumAsked += asked[id]
		sumGot += got[id]
		if asked[id] > asked[largest] {
			largest = id
		}
	}
	if least > 0 {
		ratio = round(most / least)
	}
	return ratio, round((sumGot - got[largest]) / max(sumAsked-asked[largest], 1))
}

// idleCheck is the 99th percentile of the trace's checks, each alone on an
// engine.
func (r *Replayer) idleCheck() time.Duration {
	alone := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	for i := range r.trace.Requests {
		request := &r.trace.Requests[i]
		if !request.IsCheck() {
			continue
		}
		b := batcher.New(batchOptions(r.trace.Header.Engine))
		b.Add(batcher.Job{Stream: "check", PromptTokens: request.PromptTokens, OutputTokens: request.OutputTokens})
		var took time.Duration
		for step := b.Step(); step.Took > 0; step = b.Step() {
			took += step.Took
		}
		record(alone, took)
	}
	return time.Duration(alone.ValueAtQuantile(99)) * time.Microsecond
}

func millis(h *hdrhistogram.Histogram, percent float64) float64 {
	return round(float64(h.ValueAtQuantile(percent)) / 1000)
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return round(float64(part) / float64(whole))
}

// round keeps three decimals, so that results read well.
func round(x float64) float64 { return math.Round(x*1000) / 1000 }
