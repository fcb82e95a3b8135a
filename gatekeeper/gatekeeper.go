package gatekeeper

import (
	"cmp"
	"math"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/estimator"
)

// step names this stage in refusals.
const step = "gatekeeper"

// state is where a request stands.
type state uint8

const (
	stateQueued state = iota
	stateRunning
	statePaused
)

// request is one request at the side.
type request struct {
	demand currantwood.Demand
	curve  *estimator.Curve
	state  state
	// order is the order of arrival.
	order   uint64
	arrived time.Time
	// produced never falls.
	produced currantwood.TokenCount
	// counted is what the estimator was told of it; markAt is at how many
	// tokens it is to be told again.
	counted, markAt currantwood.TokenCount
	// seen is when the last token came; zero before the first.
	seen time.Time
	// known is the output length where it is known in advance; else 0.
	known currantwood.TokenCount
	// pauses counts how often it was the victim.
	pauses int
	// expected is the memory that it was expected to add at its arrival.
	expected float64
}

// context is the memory that the request holds while it runs.
func (r *request) context() currantwood.TokenCount {
	return r.demand.PromptTokens + r.produced
}

func (r *request) isCheck() bool { return r.demand.Class == currantwood.ClassCheck }

// Gatekeeper is the admission to one engine.
type Gatekeeper struct {
	options   Options
	estimator *estimator.Estimator
	requests  map[currantwood.RequestID]*request
	// queue is in the order of arrival; running and paused in that of their
	// last change. Each request is in exactly one of them.
	queue   []*request
	running []*request
	paused  []*request
	// used is the sum of context over running.
	used currantwood.TokenCount
	// prefill is the sum of prompt tokens over running without a token yet.
	prefill currantwood.TokenCount
	memory  currantwood.TokenCount
	// foreign is memory that the engine reports beyond what was started here.
	foreign currantwood.TokenCount
	// highs are the most that used was in the present and the last period.
	highs    [2]currantwood.TokenCount
	periodAt time.Time
	arrivals uint64
	// stepTime is the observed time between the tokens of a stream.
	stepTime time.Duration
	// usual is the expected memory of recent requests.
	usual float64
	// deviations is the confidence in standard deviations.
	deviations float64
	// served is the work given to each customer over its weight.
	served     served
	forecast   forecast
	forecastAt time.Time
	// curvesAt is when the running requests' curves were renewed.
	curvesAt time.Time
	// stale says that a request left since the forecast was made.
	stale bool
}

// assumedMemory is the memory of an engine that has not reported its own yet.
const assumedMemory currantwood.TokenCount = 8000

// New returns the gatekeeper of an idle engine. Finished streams are told to
// the estimator.
func New(options Options, estimator *estimator.Estimator) *Gatekeeper {
	return &Gatekeeper{
		options:    options,
		estimator:  estimator,
		requests:   map[currantwood.RequestID]*request{},
		memory:     cmp.Or(options.MemoryTokens, assumedMemory),
		stepTime:   options.StepTime,
		deviations: deviations(options.Confidence),
		served:     newServed(),
		stale:      true,
	}
}

// deviations turns a confidence into standard deviations above the mean.
func deviations(confidence currantwood.Share) float64 {
	return math.Sqrt2 * math.Erfinv(2*float64(confidence)-1)
}

// Offer takes in a new request. A request id that is already known is ignored.
func (g *Gatekeeper) Offer(now time.Time, demand currantwood.Demand) []Action {
	if _, known := g.requests[demand.Request]; known {
		return nil
	}
	r := g.arrive(now, demand)
	if !demand.Deadline.IsZero() && !now.Before(demand.Deadline) {
		return []Action{refuse(r, currantwood.KindDeadline, "the deadline has passed", 0)}
	}
	if len(g.queue) >= g.options.MaxQueue {
		return []Action{refuse(r, currantwood.KindNoCapacity, "the queue is full", g.waitBehind(now, r))}
	}
	g.requests[demand.Request] = r
	g.queue = append(g.queue, r)
	actions := g.dispatch(now)
	if r.state != stateQueued {
		return actions
	}
	wait := g.waitBehind(now, r)
	if wait > g.maxWait(r) {
		g.forget(r)
		return append(actions, refuse(r, currantwood.KindNoCapacity, "the engine's memory is spoken for", wait))
	}
	return append(actions, Action{Kind: ActionQueue, Request: demand.Request, Wait: wait})
}

func (g *Gatekeeper) arrive(now time.Time, demand currantwood.Demand) *request {
	g.arrivals++
	demand.Weight = max(demand.Weight, 1)
	r := &request{
		demand:  demand,
		curve:   g.estimator.Curve(demand.Customer, demand.Rule),
		order:   g.arrivals,
		arrived: now,
	}
	if g.options.Known != nil {
		r.known = g.options.Known(demand.Request)
	}
	r.expected = r.need()
	g.usual += usualGain * (r.expected - g.usual)
	return r
}

// usualGain is the part that the newest request has in what is usual.
const usualGain = 0.05

// waitBehind predicts the wait of a request behind the queue.
func (g *Gatekeeper) waitBehind(now time.Time, r *request) time.Duration {
	ahead := r.expected
	for _, other := range g.queue {
		if other != r && !other.isCheck() {
			ahead += other.expected
		}
	}
	return max(g.waitFor(now, ahead), g.stepTime)
}

// Token takes in that the engine has produced the token at index.
func (g *Gatekeeper) Token(now time.Time, id currantwood.RequestID, index currantwood.TokenIndex) []Action {
	r, known := g.requests[id]
	produced := currantwood.TokenCount(index) + 1
	if !known || produced <= r.produced {
		return nil
	}
	g.observeStep(now, r)
	if r.state == stateRunning {
		g.used += produced - r.produced
		if r.produced == 0 {
			g.prefill -= r.demand.PromptTokens
		}
	}
	r.produced = produced
	if produced >= r.markAt {
		r.markAt = g.estimator.Reached(now, r.demand.Customer, r.demand.Rule, r.counted, produced)
		r.counted = produced
	}
	if g.isFull() {
		return g.relieve()
	}
	return nil
}

// observeStep learns the time between tokens. A long gap is a pause or a
// preemption and not a step.
func (g *Gatekeeper) observeStep(now time.Time, r *request) {
	gap := now.Sub(r.seen)
	if !r.seen.IsZero() && gap < maxGap {
		g.stepTime += time.Duration(stepGain * float64(gap-g.stepTime))
	}
	r.seen = now
}

const (
	// stepGain is the part that the newest token has in the step's time.
	stepGain = 0.01
	// maxGap is the longest time that is taken for a step.
	maxGap = 250 * time.Millisecond
)

// Finished takes in that a request's stream is complete.
func (g *Gatekeeper) Finished(now time.Time, id currantwood.RequestID) []Action {
	r, known := g.requests[id]
	if !known {
		return nil
	}
	g.estimator.Finished(now, r.demand.Customer, r.demand.Rule, r.counted, r.produced)
	g.forget(r)
	return g.resume(now)
}

// Cancel takes in that a request is over without being complete.
func (g *Gatekeeper) Cancel(now time.Time, id currantwood.RequestID) []Action {
	r, known := g.requests[id]
	if !known {
		return nil
	}
	g.forget(r)
	return g.resume(now)
}

// Tick refuses what has waited too long and starts what fits by now. It is to
// be called every step or so.
func (g *Gatekeeper) Tick(now time.Time) []Action {
	g.noteHigh(now)
	var actions []Action
	for _, r := range g.overdue(now) {
		wait := g.waitBehind(now, r)
		g.forget(r)
		actions = append(actions, refuse(r, currantwood.KindNoCapacity, "no room came free in time", wait))
	}
	if g.isFull() {
		return append(actions, g.relieve()...)
	}
	return append(actions, g.resume(now)...)
}

func (g *Gatekeeper) overdue(now time.Time) (late []*request) {
	for _, r := range g.queue {
		waited := now.Sub(r.arrived) >= g.maxWait(r)
		expired := !r.demand.Deadline.IsZero() && !now.Before(r.demand.Deadline)
		if waited || expired {
			late = append(late, r)
		}
	}
	return late
}

func (g *Gatekeeper) maxWait(r *request) time.Duration {
	if r.demand.Promised {
		return max(g.options.MaxPromisedWait, g.options.MaxWait)
	}
	return g.options.MaxWait
}

// Running counts the requests that the engine runs.
func (g *Gatekeeper) Running() int { return len(g.running) }

// Queued counts the requests that wait to be started.
func (g *Gatekeeper) Queued() int { return len(g.queue) }

// Paused counts the requests that were started and wait to run on.
func (g *Gatekeeper) Paused() int { return len(g.paused) }

func refuse(r *request, kind currantwood.Kind, detail string, wait time.Duration) Action {
	return Action{
		Kind:    ActionRefuse,
		Request: r.demand.Request,
		Refusal: currantwood.NewRefusal(kind, step, detail, wait),
	}
}
