package gatekeeper

import (
	"math"
	"time"

	"github.com/currantwood/currantwood"
)

// horizons are the numbers of steps ahead at which memory is predicted.
var horizons = [...]float64{
	1, 8, 16, 24, 32, 48, 64, 81, 96, 128, 160, 192, 224, 256, 300, 350, 400, 450,
	512, 600, 700, 850, 1024, 1250, 1500, 2048,
}

// forecast is the predicted memory at each horizon, were nothing more started.
type forecast struct {
	mean     [len(horizons)]float64
	variance [len(horizons)]float64
}

// add counts a request in.
func (f *forecast) add(r *request) {
	now := r.curve.Survival(float64(r.produced))
	for i, steps := range horizons {
		alive := r.survives(now, steps)
		held := float64(r.context()) + steps
		f.mean[i] += alive * held
		f.variance[i] += alive * (1 - alive) * held * held
	}
}

// at returns the bound that memory stays below at horizon i.
func (f *forecast) at(i int, deviations float64) float64 {
	return f.mean[i] + deviations*math.Sqrt(f.variance[i])
}

// peak returns the highest bound over all horizons.
func (f *forecast) peak(deviations float64) float64 {
	highest := 0.0
	for i := range horizons {
		highest = max(highest, f.at(i, deviations))
	}
	return highest
}

// survives returns the probability that the request runs for the given number
// of steps more, where now is its curve's survival at what it has produced.
func (r *request) survives(now, steps float64) float64 {
	later := float64(r.produced) + steps
	if r.known > 0 {
		return stepFunction(later, float64(r.known))
	}
	if r.demand.MaxTokens > 0 && later >= float64(r.demand.MaxTokens) {
		return 0
	}
	if now <= 0 {
		return math.Exp(-outlivedShare * steps / max(float64(r.produced), 1))
	}
	return min(r.curve.Survival(later)/now, 1)
}

// stepFunction is the survival of a stream of known length.
func stepFunction(tokens, length float64) float64 {
	if tokens < length {
		return 1
	}
	return 0
}

// outlivedShare sets the life of a stream that is longer than any seen: a
// quarter of what it has produced, on average.
const outlivedShare = 4

// need returns the memory that a request is expected to add at most.
func (r *request) need() float64 {
	var f forecast
	f.add(r)
	return f.peak(0)
}

// refresh makes the forecast current: it is made anew when a request has left
// or when it is older than forecastAge.
func (g *Gatekeeper) refresh(now time.Time) {
	if !g.stale && now.Sub(g.forecastAt) < forecastAge {
		return
	}
	g.forecast = forecast{}
	renew := now.Sub(g.curvesAt) >= curveAge
	if renew {
		g.curvesAt = now
	}
	for _, r := range g.running {
		if renew {
			r.curve = g.estimator.Curve(r.demand.Customer, r.demand.Rule)
		}
		g.forecast.add(r)
	}
	g.stale = false
	g.forecastAt = now
}

// curveAge is how often the running requests' curves are renewed, since lengths
// may shift while they run.
const curveAge = 250 * time.Millisecond

// forecastAge bounds how old a forecast may be, about a step.
const forecastAge = 20 * time.Millisecond

// fits reports whether the request may be started now.
func (g *Gatekeeper) fits(now time.Time, r *request) bool {
	if len(g.running) >= g.options.MaxRunning {
		return false
	}
	if len(g.running) == 0 {
		return true
	}
	if !g.hasRoom(r) {
		return false
	}
	if !r.isCheck() && g.prefill+r.context() > g.options.MaxPrefill && g.prefill > 0 {
		return false
	}
	g.refresh(now)
	with := g.forecast
	with.add(r)
	return g.staysBelow(&with, g.limit(r))
}

// hasRoom reports whether the request fits now without a pause being due at
// once, whatever the forecast says of later.
func (g *Gatekeeper) hasRoom(r *request) bool {
	growth := currantwood.TokenCount((len(g.running) + 1) * pauseMargin)
	return g.used+r.context()+growth <= g.available()
}

// staysBelow reports whether the forecast with a request stays below a limit at
// each horizon that the request may live to see. What others fill after its end
// doesn't keep it out.
func (g *Gatekeeper) staysBelow(with *forecast, limit float64) bool {
	for i := range horizons {
		adds := with.mean[i] - g.forecast.mean[i]
		if adds > negligible && with.at(i, g.deviations) > limit {
			return false
		}
	}
	return true
}

// negligible is the memory in tokens that is too little to keep a request out.
const negligible = 20

// limit is the memory that a request of this kind may fill.
func (g *Gatekeeper) limit(r *request) float64 {
	memory := float64(g.available()) - float64(pauseMargin*(len(g.running)+1))
	if r.isCheck() {
		return memory
	}
	return memory - float64(g.available())*float64(g.options.CheckReserve)
}

// waitFor predicts when there is room for that many more tokens.
func (g *Gatekeeper) waitFor(now time.Time, tokens float64) time.Duration {
	g.refresh(now)
	room := float64(g.available())*(1-float64(g.options.CheckReserve)) - tokens
	steps := horizons[len(horizons)-1]
	for i := len(horizons) - 1; i >= 0; i-- {
		bound := g.forecast.at(i, g.deviations)
		if bound > room {
			break
		}
		steps = 0
		if i > 0 {
			steps = crossing(i, g.forecast.at(i-1, g.deviations), bound, room)
		}
	}
	return time.Duration(steps * float64(g.stepTime))
}

// crossing returns the number of steps at which the bound falls to room,
// between the horizons before i and i.
func crossing(i int, before, bound, room float64) float64 {
	if before <= room || before <= bound {
		return horizons[i-1]
	}
	part := (before - room) / (before - bound)
	return horizons[i-1] + part*(horizons[i]-horizons[i-1])
}

// Headroom is the memory that could be given to new streams now.
func (g *Gatekeeper) Headroom(now time.Time) currantwood.TokenCount {
	g.refresh(now)
	limit := float64(g.available()) * (1 - float64(g.options.CheckReserve))
	room := limit - g.forecast.peak(g.deviations)
	for _, r := range g.queue {
		room -= r.expected
	}
	return currantwood.TokenCount(max(room, 0))
}

// PredictedWait is the time that a request of usual size would wait for its
// first token.
func (g *Gatekeeper) PredictedWait(now time.Time) time.Duration {
	ahead := g.usual
	for _, r := range g.queue {
		ahead += r.expected
	}
	wait := time.Duration(0)
	if len(g.queue) > 0 || float64(g.Headroom(now)) < g.usual {
		wait = g.waitFor(now, ahead)
	}
	return wait + g.prefillTime() + g.stepTime
}

// prefillTime is how long the engine needs for the prompts that it has not yet
// computed.
func (g *Gatekeeper) prefillTime() time.Duration {
	share := float64(g.prefill) / float64(g.options.MaxPrefill)
	return time.Duration(share * float64(prefillFull))
}

// prefillFull is how long MaxPrefill tokens take.
const prefillFull = 150 * time.Millisecond
