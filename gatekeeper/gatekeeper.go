package gatekeeper

import (
	"cmp"
	"math"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/estimator"
)

// pipelineStep is the Step of this package's refusals.
const pipelineStep = "gatekeeper"

// state is the scheduling state of a request.
type state uint8

const (
	stateQueued state = iota
	stateRunning
	statePaused
)

// request is the state of one queued, running or paused request.
type request struct {
	demand currantwood.Demand
	curve  *estimator.Curve
	state  state
	// arrivalNumber increases with each request.
	arrivalNumber uint64
	arrivedAt     time.Time
	// produced is the number of output tokens so far; it never decreases.
	produced currantwood.TokenCount
	// observedTokens is the value of produced that the estimator was last told;
	// it is told again at observeAgainAt.
	observedTokens, observeAgainAt currantwood.TokenCount
	// lastTokenAt is when the last token since the start or unpause was
	// produced; zero if there is none.
	lastTokenAt time.Time
	// knownLength is the output length if it is known in advance, or else 0.
	knownLength currantwood.TokenCount
	// pauseCount is how often the request was paused.
	pauseCount int
	// expectedPeak is the peak of the request's mean memory in tokens, as
	// predicted when it arrived.
	expectedPeak float64
}

// context returns the memory that the request uses while it runs.
func (r *request) context() currantwood.TokenCount {
	return r.demand.PromptTokens + r.produced
}

func (r *request) isCheck() bool { return r.demand.Class == currantwood.ClassCheck }

// Gatekeeper controls the admission of requests to one engine.
type Gatekeeper struct {
	options   Options
	estimator *estimator.Estimator
	requests  map[currantwood.RequestID]*request
	// Each request is in exactly one of queue, running and paused. queue is in
	// order of arrival; running and paused are in order of the last change of
	// state.
	queue   []*request
	running []*request
	paused  []*request
	// usedTokens is the sum of context() over running.
	usedTokens currantwood.TokenCount
	// prefillTokens is the sum of the prompt tokens of running requests that
	// have no token yet.
	prefillTokens currantwood.TokenCount
	// memoryTokens is the engine's memory.
	memoryTokens currantwood.TokenCount
	// untrackedTokens is the memory that the engine reports as used beyond that
	// of the requests started here; see ObserveEngineLoad.
	untrackedTokens currantwood.TokenCount
	// maxUsed has the maximum of usedTokens in the current and the previous
	// window; windowStart is when the current one began.
	maxUsed      [2]currantwood.TokenCount
	windowStart  time.Time
	arrivalCount uint64
	// stepTime is the moving average of the time between a stream's tokens.
	stepTime time.Duration
	// averagePeak is the moving average of the predicted peak memory of
	// requests, in tokens.
	averagePeak float64
	// deviations is Options.Confidence as a number of standard deviations above
	// the mean.
	deviations     float64
	fairQueue      fairQueue
	forecast       forecast
	forecastMadeAt time.Time
	// curvesRenewedAt is when the running requests' curves were last renewed.
	curvesRenewedAt time.Time
	// forecastStale is true if a request was removed from running since the
	// forecast was computed.
	forecastStale bool
}

// defaultMemoryTokens is assumed until the engine first reports its memory.
const defaultMemoryTokens currantwood.TokenCount = 8000

// New returns a gatekeeper without requests. It reports the lengths of their
// streams to the estimator.
func New(options Options, estimator *estimator.Estimator) *Gatekeeper {
	return &Gatekeeper{
		options:       options,
		estimator:     estimator,
		requests:      map[currantwood.RequestID]*request{},
		memoryTokens:  cmp.Or(options.MemoryTokens, defaultMemoryTokens),
		stepTime:      options.StepTime,
		deviations:    deviations(options.Confidence),
		fairQueue:     newFairQueue(),
		forecastStale: true,
	}
}

// deviations converts a one-sided confidence to a number of standard deviations
// above the mean of a normal distribution.
func deviations(confidence currantwood.Share) float64 {
	return math.Sqrt2 * math.Erfinv(2*float64(confidence)-1)
}

// Offer submits a new request. It is ignored if its ID is already known.
func (g *Gatekeeper) Offer(now time.Time, demand currantwood.Demand) []Action {
	if _, known := g.requests[demand.Request]; known {
		return nil
	}
	r := g.newRequest(now, demand)
	if !demand.Deadline.IsZero() && !now.Before(demand.Deadline) {
		return []Action{refuse(r, currantwood.KindDeadline, "the deadline has passed", 0)}
	}
	if len(g.queue) >= g.options.MaxQueue {
		return []Action{refuse(r, currantwood.KindNoCapacity, "the queue is full", g.predictQueueWait(now, r))}
	}
	g.requests[demand.Request] = r
	g.queue = append(g.queue, r)
	actions := g.dispatch(now)
	if r.state != stateQueued {
		return actions
	}
	wait := g.predictQueueWait(now, r)
	if wait > g.maxWait(r) {
		g.removeRequest(r)
		return append(actions, refuse(r, currantwood.KindNoCapacity, "the engine's memory is spoken for", wait))
	}
	return append(actions, Action{Kind: ActionQueue, Request: demand.Request, Wait: wait})
}

func (g *Gatekeeper) newRequest(now time.Time, demand currantwood.Demand) *request {
	g.arrivalCount++
	demand.Weight = max(demand.Weight, 1)
	r := &request{
		demand:        demand,
		curve:         g.estimator.Curve(demand.Customer, demand.Rule),
		arrivalNumber: g.arrivalCount,
		arrivedAt:     now,
	}
	if g.options.KnownLength != nil {
		r.knownLength = g.options.KnownLength(demand.Request)
	}
	r.expectedPeak = r.predictPeak()
	g.averagePeak += averagePeakGain * (r.expectedPeak - g.averagePeak)
	return r
}

// averagePeakGain is the weight of the newest request in averagePeak.
const averagePeakGain = 0.05

// predictQueueWait predicts the wait of r if all other queued requests except
// checks were started before it.
func (g *Gatekeeper) predictQueueWait(now time.Time, r *request) time.Duration {
	ahead := r.expectedPeak
	for _, other := range g.queue {
		if other != r && !other.isCheck() {
			ahead += other.expectedPeak
		}
	}
	return max(g.predictWait(now, ahead), g.stepTime)
}

// Token records that the engine has produced the token at index.
func (g *Gatekeeper) Token(now time.Time, id currantwood.RequestID, index currantwood.TokenIndex) []Action {
	r, known := g.requests[id]
	produced := currantwood.TokenCount(index) + 1
	if !known || produced <= r.produced {
		return nil
	}
	g.updateStepTime(now, r)
	if r.state == stateRunning {
		g.usedTokens += produced - r.produced
		if r.produced == 0 {
			g.prefillTokens -= r.demand.PromptTokens
		}
	}
	r.produced = produced
	if produced >= r.observeAgainAt {
		r.observeAgainAt = g.estimator.ObserveProgress(now, r.demand.Customer, r.demand.Rule, r.observedTokens, produced)
		r.observedTokens = produced
	}
	if g.isNearlyFull() {
		return g.pauseVictims()
	}
	return nil
}

// updateStepTime updates stepTime with the gap since the last token. A gap of
// maxStepTime or more is due to a pause or a preemption and is ignored.
func (g *Gatekeeper) updateStepTime(now time.Time, r *request) {
	gap := now.Sub(r.lastTokenAt)
	if !r.lastTokenAt.IsZero() && gap < maxStepTime {
		g.stepTime += time.Duration(stepTimeGain * float64(gap-g.stepTime))
	}
	r.lastTokenAt = now
}

const (
	// stepTimeGain is the weight of the newest gap in stepTime.
	stepTimeGain = 0.01
	maxStepTime  = 250 * time.Millisecond
)

// Finished records that a request's stream is complete.
func (g *Gatekeeper) Finished(now time.Time, id currantwood.RequestID) []Action {
	r, known := g.requests[id]
	if !known {
		return nil
	}
	g.estimator.ObserveFinished(now, r.demand.Customer, r.demand.Rule, r.observedTokens, r.produced)
	g.removeRequest(r)
	return g.unpauseAndDispatch(now)
}

// Aborted records that a request has ended before its stream was complete. It
// doesn't stop the stream at the engine.
func (g *Gatekeeper) Aborted(now time.Time, id currantwood.RequestID) []Action {
	r, known := g.requests[id]
	if !known {
		return nil
	}
	g.removeRequest(r)
	return g.unpauseAndDispatch(now)
}

// Tick refuses queued requests that have waited too long or whose deadline has
// passed, pauses streams if memory is nearly full, and otherwise unpauses and
// starts requests that fit. It must be called about once a step.
func (g *Gatekeeper) Tick(now time.Time) []Action {
	g.updateMaxUsed(now)
	var actions []Action
	for _, r := range g.overdue(now) {
		wait := g.predictQueueWait(now, r)
		g.removeRequest(r)
		actions = append(actions, refuse(r, currantwood.KindNoCapacity, "no room came free in time", wait))
	}
	if g.isNearlyFull() {
		return append(actions, g.pauseVictims()...)
	}
	return append(actions, g.unpauseAndDispatch(now)...)
}

// overdue returns the queued requests whose maximum wait or deadline has
// passed.
func (g *Gatekeeper) overdue(now time.Time) (overdue []*request) {
	for _, r := range g.queue {
		waitedTooLong := now.Sub(r.arrivedAt) >= g.maxWait(r)
		expired := !r.demand.Deadline.IsZero() && !now.Before(r.demand.Deadline)
		if waitedTooLong || expired {
			overdue = append(overdue, r)
		}
	}
	return overdue
}

func (g *Gatekeeper) maxWait(r *request) time.Duration {
	if r.demand.Promised {
		return max(g.options.MaxPromisedWait, g.options.MaxWait)
	}
	return g.options.MaxWait
}

// Running returns the number of running requests.
func (g *Gatekeeper) Running() int { return len(g.running) }

// Queued returns the number of requests that wait to be started.
func (g *Gatekeeper) Queued() int { return len(g.queue) }

// Paused returns the number of paused requests.
func (g *Gatekeeper) Paused() int { return len(g.paused) }

func refuse(r *request, kind currantwood.Kind, detail string, wait time.Duration) Action {
	return Action{
		Kind:    ActionRefuse,
		Request: r.demand.Request,
		Refusal: currantwood.NewRefusal(kind, pipelineStep, detail, wait),
	}
}
