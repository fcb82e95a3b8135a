package entryserver

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/currantwood/currantwood"
)

const (
	// sampleSize and sampleAlpha make a decaying sample that favours the last
	// five minutes.
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// meters are the entry's metrics. docs/operators/metrics.md lists them.
type meters struct {
	served   metrics.Counter
	tokens   metrics.Counter
	inFlight metrics.Counter
	// took holds nanoseconds from arrival to the end of each request.
	took metrics.Histogram
	// refused holds one counter for each kind of refusal, at the kind's number.
	refused []metrics.Counter
}

func newMeters(registry metrics.Registry) *meters {
	m := &meters{
		served:   metrics.GetOrRegisterCounter("requests-served", registry),
		tokens:   metrics.GetOrRegisterCounter("tokens-delivered", registry),
		inFlight: metrics.GetOrRegisterCounter("requests-in-flight", registry),
		took:     metrics.GetOrRegisterHistogram("request-nanoseconds", registry, metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
	}
	for _, kind := range currantwood.Kinds() {
		counter := metrics.GetOrRegisterCounter("requests-refused-"+kind.String(), registry)
		for len(m.refused) <= int(kind) {
			m.refused = append(m.refused, counter)
		}
	}
	return m
}

// end counts the end of a request.
func (m *meters) end(took time.Duration, refusal *currantwood.Refusal) {
	m.took.Update(int64(took))
	if refusal == nil {
		m.served.Inc(1)
		return
	}
	kind := refusal.Kind
	if int(kind) >= len(m.refused) {
		kind = currantwood.KindInternal // a side of a later version sent it
	}
	m.refused[kind].Inc(1)
}
