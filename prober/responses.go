package prober

import (
	"math"
	"time"

	"github.com/currantwood/currantwood"
)

const (
	// responseMemory is the time in which the weight of a response falls to 1/e.
	responseMemory = 10 * time.Second
	// priorResponses is the weight of the assumption that no request ends in an error.
	priorResponses = 20
	// commonShare is the share of errors of the others from which on errors say nothing of an
	// upstream.
	commonShare = 0.5
	// maxChance is the greatest chance that as many requests in a row as eject an upstream
	// end in errors by the errors of the others alone: with 9% errors these are 5.
	maxChance = 1e-5
	// maxChanceAfterEjection is the same for an upstream that returns from an ejection, at
	// which otherwise a single failure ejects again.
	maxChanceAfterEjection = 1e-2
)

// responses counts responses, weighted by their age.
type responses struct {
	at            time.Time
	total, errors float64
}

// age lowers the weights to those at a time.
func (r *responses) age(now time.Time) {
	if elapsed := now.Sub(r.at); elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / responseMemory.Seconds())
		r.total, r.errors = r.total*factor, r.errors*factor
		r.at = now
	}
}

func (r *responses) add(now time.Time, isError bool) {
	r.age(now)
	r.total++
	if isError {
		r.errors++
	}
}

// minus returns the responses without some of them, as of the same time.
func (r responses) minus(part responses) responses {
	return responses{at: r.at, total: max(0, r.total-part.total), errors: max(0, r.errors-part.errors)}
}

// errorShare returns the share of errors, which begins at 0.
func (r responses) errorShare() float64 { return r.errors / (r.total + priorResponses) }

// errorsInARow returns how many errors in a row have at most a chance to occur if a share of
// all requests ends in errors.
func errorsInARow(share, chance float64) int {
	if share <= 0 {
		return 1
	}
	if share >= commonShare {
		return math.MaxInt
	}
	return int(math.Ceil(math.Log(chance) / math.Log(share)))
}

// EndedInError records a request that the upstream has answered with an error of its
// application. If the other upstreams of the group answer with errors as well, the cause is
// in the requests or in the application, and more of them in a row are needed to eject one.
func (p *Prober) EndedInError(now time.Time, id currantwood.UpstreamID) {
	u := p.upstreams[id]
	if u == nil {
		return
	}
	u.inFlight = max(0, u.inFlight-1)
	p.addResponse(now, u, true)
	u.failures++
	others := p.responses.minus(u.responses).errorShare()
	if u.failures >= max(p.options.EjectAfterFailures, errorsInARow(others, maxChance)) ||
		u.maxInFlight > 0 && u.failures >= errorsInARow(others, maxChanceAfterEjection) {
		p.eject(now, u)
	}
}

func (p *Prober) addResponse(now time.Time, u *upstream, isError bool) {
	u.responses.add(now, isError)
	p.responses.add(now, isError)
	// As of the same moment, so that they can be subtracted.
	u.responses.age(now)
	p.responses.age(now)
}
