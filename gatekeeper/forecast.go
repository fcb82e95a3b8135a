package gatekeeper

import (
	"math"
	"time"

	"github.com/currantwood/currantwood"
)

// horizons are the numbers of future steps at which memory is predicted, with
// wider gaps further ahead. Memory after the last one is not predicted.
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

// outlivedRate is the hazard rate of a stream at whose length its curve's
// survival is already 0, relative to the tokens produced so far: its mean
// remaining length is a quarter of them.
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

// maxForecastAge is how long a forecast is used; about one step.
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
	return g.staysWithin(&withRequest, g.memoryLimit(r))
}

// hasRoomNow reports whether the request could be started without an immediate
// pause. It ignores the forecast.
func (g *Gatekeeper) hasRoomNow(r *request) bool {
	growth := currantwood.TokenCount((len(g.running) + 1) * pauseMarginSteps)
	return g.usedTokens+r.context()+growth <= g.availableTokens()
}

// staysWithin reports whether the forecast with a request stays within a limit
// at each horizon at which the request adds memory. An excess after the request's
// end doesn't count.
func (g *Gatekeeper) staysWithin(withRequest *forecast, limit float64) bool {
	for i := range horizons {
		added := withRequest.mean[i] - g.forecast.mean[i]
		if added > negligibleTokens && withRequest.bound(i, g.deviations) > limit {
			return false
		}
	}
	return true
}

// negligibleTokens is the mean memory up to which a request counts as ended at a
// horizon, so that the limit is not compared there. A check with a short prompt
// can stay below it at every horizon; then the forecast doesn't limit it.
const negligibleTokens = 20

// memoryLimit returns the limit of the forecast if r is started: the available
// memory less the pause margin and, unless r is a check, the check reserve.
func (g *Gatekeeper) memoryLimit(r *request) float64 {
	memory := float64(g.availableTokens()) - float64(pauseMarginSteps*(len(g.running)+1))
	if r.isCheck() {
		return memory
	}
	return memory - float64(g.availableTokens())*float64(g.options.ReservedShare)
}

// predictWait predicts how long it takes until the given number of tokens is
// free; at most the last horizon. It considers only memory, not MaxRunning or
// MaxPrefill.
func (g *Gatekeeper) predictWait(now time.Time, tokens float64) time.Duration {
	g.refreshForecast(now)
	limit := float64(g.availableTokens())*(1-float64(g.options.ReservedShare)) - tokens
	steps := horizons[len(horizons)-1]
	for i := len(horizons) - 1; i >= 0; i-- {
		bound := g.forecast.bound(i, g.deviations)
		if bound > limit {
			break
		}
		steps = 0
		if i > 0 {
			steps = interpolateSteps(i, g.forecast.bound(i-1, g.deviations), bound, limit)
		}
	}
	return time.Duration(steps * float64(g.stepTime))
}

// interpolateSteps returns the number of steps at which the bound falls to
// limit, by linear interpolation between horizons i-1 and i.
func interpolateSteps(i int, before, bound, limit float64) float64 {
	if before <= limit || before <= bound {
		return horizons[i-1]
	}
	fraction := (before - limit) / (before - bound)
	return horizons[i-1] + fraction*(horizons[i]-horizons[i-1])
}

// Headroom returns the memory that is free for new requests, less the predicted
// memory of the queue.
func (g *Gatekeeper) Headroom(now time.Time) currantwood.TokenCount {
	g.refreshForecast(now)
	limit := float64(g.availableTokens()) * (1 - float64(g.options.ReservedShare))
	room := limit - g.forecast.peakBound(g.deviations)
	for _, r := range g.queue {
		room -= r.expectedPeak
	}
	return currantwood.TokenCount(max(room, 0))
}

// PredictedWait predicts how long a request of average size waits before its own
// prefill: in the queue, for the prefill of running requests, and for one step.
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
	return time.Duration(share * float64(fullPrefillTime))
}

// fullPrefillTime is the assumed time of a prefill of MaxPrefill tokens: 50 µs
// for each token of the default of 3,000.
const fullPrefillTime = 150 * time.Millisecond
