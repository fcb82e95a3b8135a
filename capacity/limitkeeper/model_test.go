package limitkeeper

import (
	"math"
	"math/rand"
	"time"
)

const (
	// modelSlots is the number of slots of an upstream of the model, and modelService the
	// usual time of a request.
	modelSlots   = 24
	modelService = 100 * time.Millisecond
	modelStep    = 2 * time.Millisecond
	// slowPeriod, slowShare and slowFactor describe the noise: an upstream is 2.5 times as
	// slow for 600 ms at a time, 15% of the time.
	slowPeriod = 600 * time.Millisecond
	slowShare  = 0.15
	slowFactor = 2.5
)

// modelRequest is a request that runs at the upstream of the model.
type modelRequest struct {
	sentAt time.Time
	// left is the time that it still takes at the usual speed, and whole that of all of it.
	left, whole time.Duration
}

// model is an upstream with a knee: up to some concurrency all requests run at full speed,
// above it they share that speed.
type model struct {
	random *rand.Rand
	// knee is the concurrency beyond which throughput doesn't rise; infinite if there is none.
	knee func(after time.Duration) float64
	// factor is how long work always takes, relative to the usual time.
	factor float64
	// noise is whether it has slow periods.
	noise bool
	// own is whether the observed time is multiplied by the gateway's measurement.
	own bool
	// clients is the number of clients that send one request after the other; arrivals are
	// the further requests per second.
	clients  func(after time.Duration) int
	arrivals func(after time.Duration) float64
	// lengths spreads the lengths of requests: the standard deviation of the logarithm.
	lengths float64

	slowUntil time.Time
	running   []modelRequest
}

// run runs the model and calls observe for each response, and each once in a step.
func (m *model) run(duration time.Duration, observe func(now time.Time, running int, relativeTime float64), each func(now time.Time)) {
	for now := start; now.Sub(start) < duration; now = now.Add(modelStep) {
		after := now.Sub(start)
		m.arrive(now, after)
		if onset := modelStep.Seconds() * slowShare / (1 - slowShare) / slowPeriod.Seconds(); m.noise && now.After(m.slowUntil) && m.random.Float64() < onset {
			m.slowUntil = now.Add(slowPeriod)
		}
		concurrent := len(m.running)
		workTime := m.factor * max(1, float64(concurrent)/m.knee(after))
		if now.Before(m.slowUntil) {
			workTime *= slowFactor
		}
		kept := m.running[:0]
		for _, r := range m.running {
			if r.left -= time.Duration(float64(modelStep) / workTime); r.left > 0 {
				kept = append(kept, r)
				continue
			}
			relativeTime := workTime
			if m.own {
				relativeTime *= min(1.5, max(1/1.5, now.Sub(r.sentAt).Seconds()/modelService.Seconds()))
			}
			observe(now, concurrent, relativeTime)
		}
		m.running = kept
		each(now)
	}
}

// arrive adds the requests that arrive in a step. The upstream takes no more than it has
// slots.
func (m *model) arrive(now time.Time, after time.Duration) {
	count := 0
	if m.clients != nil {
		count = max(0, m.clients(after)-len(m.running))
	}
	if m.arrivals != nil && m.random.Float64() < m.arrivals(after)*modelStep.Seconds() {
		count++
	}
	for range min(count, modelSlots-len(m.running)) {
		whole := time.Duration(float64(modelService) * math.Exp(m.lengths*m.random.NormFloat64()))
		m.running = append(m.running, modelRequest{sentAt: now, left: whole, whole: whole})
	}
}

// fixedKnee is a knee that doesn't move.
func fixedKnee(knee float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return knee }
}

// waves is a demand that swings between two values.
func waves(low, high float64, period time.Duration) func(time.Duration) float64 {
	return func(after time.Duration) float64 {
		phase := 2 * math.Pi * after.Seconds() / period.Seconds()
		return low + (high-low)*(1-math.Cos(phase))/2
	}
}

// clientWaves is the same in whole clients.
func clientWaves(low, high float64, period time.Duration) func(time.Duration) int {
	wave := waves(low, high, period)
	return func(after time.Duration) int { return int(wave(after) + 0.5) }
}
