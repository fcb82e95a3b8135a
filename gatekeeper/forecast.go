package gatekeeper

import (
	"math"
	"time"

	"github.com/currantwood/currantwood"
)

// horizons are the numbers of future steps at which memory is predicted.
var horizons = [...]float64{
	1, 8, 16, 24, 32, 48, 64, 81, 96, 128, 160, 192, 224, 256, 300, 350, 400, 450,
	512, 600, 700, 850, 1024, 1250, 1500, 2048,
}

// forecast is the predicted memory of the running requests at each horizon, in
// tokens, provided that no more are started.
type forecast struct {
	mean     [len(horizons)]float64
	variance [len(horizons)]float64
}

// add adds the memory of a request.
func (f *forecast) add(r *request) {
	survival := r.curve.Survival(float64(r.produced))
	for i, steps := range horizons {
		alive := r.survivalAfter(survival, steps)
		memory := float64(r.context()) + steps
		f.mean[i] += alive * memory
		f.variance[i] += alive * (1 - alive) * memory * memory
	}
}

// bound returns the upper bound of memory at horizon i, at a number of standard
// deviations above the mean.
func (f *forecast) bound(i int, deviations float64) float64 {
	return f.mean[i] + deviations*math.Sqrt(f.variance[i])
}

// peakBound returns the highest bound over all horizons.
func (f *forecast) peakBound(deviations float64) float64 {
	highest := 0.0
	for i := range horizons {
		highest = max(highest, f.bound(i, deviations))
	}
	return highest
}

// survivalAfter returns the probability that the request runs for the given
// number of further steps. survival is its curve's survival at the tokens
// produced so far.
func (r *request) survivalAfter(survival, steps float64) float64 {
	later := float64(r.produced) + steps
	if r.knownLength > 0 {
		return knownLengthSurvival(later, float64(r.knownLength))
	}
	if r.demand.MaxTokens > 0 && later >= float64(r.demand.MaxTokens) {
		return 0
	}
	if survival <= 0 {
		return math.Exp(-outlivedRate * steps / max(float64(r.produced), 1))
	}
	return min(r.curve.Survival(later)/survival, 1)
}

// knownLengthSurvival returns the survival of a stream of known length.
func knownLengthSurvival(tokens, length float64) float64 {
	if tokens < length {
		return 1
	}
	return 0
}

// outlivedRate is the hazard rate of a stream that is longer than any observed
// one, relative to the tokens produced so far: its mean remaining length is a
// quarter of them.
const outlivedRate = 4

// predictPeak returns the peak over all horizons of the request's mean memory.
func (r *request) predictPeak() float64 {
	var f forecast
	f.add(r)
	return f.peakBound(0)
}

// refreshForecast recomputes the forecast if a request has been removed or if
// the forecast is older than maxForecastAge.
func (g *Gatekeeper) refreshForecast(now time.Time) {
	if !g.forecastStale && now.Sub(g.forecastMadeAt) < maxForecastAge {
		return
	}
	g.forecast = forecast{}
	renew := now.Sub(g.curvesRenewedAt) >= maxCurveAge
	if renew {
		g.curvesRenewedAt = now
	}
	for _, r := range g.running {
		if renew {
			r.curve = g.estimator.Curve(r.demand.Customer, r.demand.Rule)
		}
		g.forecast.add(r)
	}
	g.forecastStale = false
	g.forecastMadeAt = now
}

// maxCurveAge is how often the running requests' curves are renewed, since the
// distribution of lengths may shift while they run.
const maxCurveAge = 250 * time.Millisecond

// maxForecastAge is about one step.
const maxForecastAge = 20 * time.Millisecond

// fits reports whether the request may be started now.
func (g *Gatekeeper) fits(now time.Time, r *request) bool {
	if len(g.running) >= g.options.MaxRunning {
		return false
	}
	if len(g.running) == 0 {
		return true
	}
	if !g.hasRoomNow(r) {
		return false
	}
	if !r.isCheck() && g.prefillTokens+r.context() > g.options.MaxPrefill && g.prefillTokens > 0 {
		return false
	}
	g.refreshForecast(now)
	withRequest := g.forecast
	withRequest.add(r)
	return g.staysBelow(&withRequest, g.memoryLimit(r))
}

// hasRoomNow reports whether the request could be started without an immediate
// pause. It ignores the forecast.
func (g *Gatekeeper) hasRoomNow(r *request) bool {
	growth := currantwood.TokenCount((len(g.running) + 1) * pauseMarginSteps)
	return g.usedTokens+r.context()+growth <= g.availableTokens()
}

// staysBelow reports whether the forecast with a request stays below a limit at
// each horizon at which the request adds memory. An excess after the request's
// end doesn't count.
func (g *Gatekeeper) staysBelow(withRequest *forecast, limit float64) bool {
	for i := range horizons {
		added := withRequest.mean[i] - g.forecast.mean[i]
		if added > negligibleTokens && withRequest.bound(i, g.deviations) > limit {
			return false
		}
	}
	return true
}

// negligibleTokens is the most memory that a request may add at a horizon
// without being checked there.
const negligibleTokens = 20

// memoryLimit returns the memory limit for a request of this class.
func (g *Gatekeeper) memoryLimit(r *request) float64 {
	memory := float64(g.availableTokens()) - float64(pauseMarginSteps*(len(g.running)+1))
	if r.isCheck() {
		return memory
	}
	return memory - float64(g.availableTokens())*float64(g.options.CheckReserve)
}

// predictWait predicts when there is room for the given number of tokens.
func (g *Gatekeeper) predictWait(now time.Time, tokens float64) time.Duration {
	g.refreshForecast(now)
	room := float64(g.availableTokens())*(1-float64(g.options.CheckReserve)) - tokens
	steps := horizons[len(horizons)-1]
	for i := len(horizons) - 1; i >= 0; i-- {
		bound := g.forecast.bound(i, g.deviations)
		if bound > room {
			break
		}
		steps = 0
		if i > 0 {
			steps = interpolateSteps(i, g.forecast.bound(i-1, g.deviations), bound, room)
		}
	}
	return time.Duration(steps * float64(g.stepTime))
}

// interpolateSteps returns the number of steps at which the bound falls to
// room, by linear interpolation between horizons i-1 and i.
func interpolateSteps(i int, before, bound, room float64) float64 {
	if before <= room || before <= bound {
		return horizons[i-1]
	}
	fraction := (before - room) / (before - bound)
	return horizons[i-1] + fraction*(horizons[i]-horizons[i-1])
}

// Headroom returns the memory that is free for new requests, less the predicted
// memory of the queue.
func (g *Gatekeeper) Headroom(now time.Time) currantwood.TokenCount {
	g.refreshForecast(now)
	limit := float64(g.availableTokens()) * (1 - float64(g.options.CheckReserve))
	room := limit - g.forecast.peakBound(g.deviations)
	for _, r := range g.queue {
		room -= r.expectedPeak
	}
	return currantwood.TokenCount(max(room, 0))
}

// PredictedWait predicts the time to first token of a request of average size.
func (g *Gatekeeper) PredictedWait(now time.Time) time.Duration {
	ahead := g.averagePeak
	for _, r := range g.queue {
		ahead += r.expectedPeak
	}
	wait := time.Duration(0)
	if len(g.queue) > 0 || float64(g.Headroom(now)) < g.averagePeak {
		wait = g.predictWait(now, ahead)
	}
	return wait + g.prefillTime() + g.stepTime
}

// prefillTime predicts how long the engine needs to read the prompts of running
// requests that have no token yet.
func (g *Gatekeeper) prefillTime() time.Duration {
	share := float64(g.prefillTokens) / float64(g.options.MaxPrefill)
	return time.Duration(share * float64(maxPrefillTime))
}

// maxPrefillTime is the time that a prefill of MaxPrefill tokens takes.
const maxPrefillTime = 150 * time.Millisecond
