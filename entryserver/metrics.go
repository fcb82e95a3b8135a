package entryserver

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/currantwood/currantwood"
)

const (
	// sampleSize and sampleAlpha are the usual parameters of an exponentially decaying
	// sample, which is biased to the last five minutes.
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// requestMetrics holds the metrics of requests. docs/operators/metrics.md describes them.
type requestMetrics struct {
	served   metrics.Counter
	tokens   metrics.Counter
	inFlight metrics.Counter
	// duration holds the nanoseconds from arrival to end of each request.
	duration metrics.Histogram
	// refused holds one counter for each refusal kind, indexed by kind. Index 0, which
	// is no kind, has the counter of the first kind.
	refused []metrics.Counter
}

func newRequestMetrics(registry metrics.Registry) *requestMetrics {
	m := &requestMetrics{
		served:   metrics.GetOrRegisterCounter("requests-served", registry),
		tokens:   metrics.GetOrRegisterCounter("tokens-delivered", registry),
		inFlight: metrics.GetOrRegisterCounter("requests-in-flight", registry),
		duration: metrics.GetOrRegisterHistogram("request-nanoseconds", registry, metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
	}
	for _, kind := range currantwood.Kinds() {
		counter := metrics.GetOrRegisterCounter("requests-refused-"+kind.String(), registry)
		for len(m.refused) <= int(kind) {
			m.refused = append(m.refused, counter)
		}
	}
	return m
}

// countEnd counts the end of a request and records its duration.
func (m *requestMetrics) countEnd(elapsed time.Duration, refusal *currantwood.Refusal) {
	m.duration.Update(int64(elapsed))
	if refusal == nil {
		m.served.Inc(1)
		return
	}
	kind := refusal.Kind
	if int(kind) >= len(m.refused) {
		kind = currantwood.KindInternal // sent by a side of a later version
	}
	m.refused[kind].Inc(1)
}
