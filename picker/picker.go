// Package picker selects the upstream of a request from the candidates that an
// entry knows.
//
// A candidate fits if its headroom is large enough for the request. Its headroom
// is what its side last reported, discounted for the report's age. Two of the
// fitting candidates in the entry's own region are drawn at random, and the
// fitting one that has most of the prompt's prefix cached is added. Of these
// three, those are left out whose headroom is too small after what this entry
// has sent there since the report. Of the rest, the one with the lowest score is
// picked: the predicted time to first token plus penalties. The random draw
// keeps entries that have the same reports from all picking the same upstream.
//
// If none is left, the candidate with the lowest score is picked, whether the
// request fits or not. A request that a side has refused is not sent on then:
// another attempt adds load and is refused too. A promised request (see
// Demand.Promised) that was refused once is the exception.
//
// Candidates in other regions are compared in the same way, but only if none is
// left in the own region. The best of them is picked if its score is lower by
// more than Options.CrossRegionPenalty, or if the own region has none to pick.
package picker

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/currantwood/currantwood"
)

// Options configures a Picker.
type Options struct {
	// Region is the entry's own region.
	Region currantwood.RegionID
	// ExpectedOutput is the expected output length of a request whose
	// MaxTokens isn't lower.
	ExpectedOutput currantwood.TokenCount
	// PrefillPerToken is the prefill time of one prompt token that isn't cached.
	PrefillPerToken time.Duration
	// HalfWeightAge is the age at which a report's headroom counts for half.
	HalfWeightAge time.Duration
	// HeadroomPenalty is added to a candidate's score in proportion to the share
	// of its remaining headroom that the request takes: in full if the request
	// takes all of it.
	HeadroomPenalty time.Duration
	// InFlightPenalty is added to a candidate's score for each of this entry's
	// own requests there, so that equal candidates share the load.
	InFlightPenalty time.Duration
	// CrossRegionPenalty is how much higher the score in the own region may be
	// before another region is picked, since traffic between regions costs
	// money.
	CrossRegionPenalty time.Duration
}

// DefaultOptions returns options for engines that prefill about 20,000 tokens
// per second.
func DefaultOptions(region currantwood.RegionID) Options {
	return Options{
		Region:             region,
		ExpectedOutput:     300,
		PrefillPerToken:    50 * time.Microsecond,
		HalfWeightAge:      2 * time.Second,
		HeadroomPenalty:    40 * time.Millisecond,
		InFlightPenalty:    2 * time.Millisecond,
		CrossRegionPenalty: 100 * time.Millisecond,
	}
}

// assignment is the engine memory of the requests that were assigned to an
// upstream since its last report.
type assignment struct {
	// reportedAt identifies the report.
	reportedAt time.Time
	tokens     currantwood.TokenCount
}

// Picker implements currantwood.Picker. It is safe for concurrent use.
type Picker struct {
	options Options

	mu     sync.Mutex
	random *rand.Rand
	// assigned has at most one element for each upstream that was ever picked.
	// It is cleared when it holds maxAssigned elements.
	assigned map[currantwood.UpstreamID]assignment
}

// maxAssigned bounds Picker.assigned, which otherwise grows with each upstream
// that was ever picked.
const maxAssigned = 4096

// New returns a picker that draws candidates with random.
func New(options Options, random *rand.Rand) *Picker {
	return &Picker{options: options, random: random, assigned: map[currantwood.UpstreamID]assignment{}}
}

var _ currantwood.Picker = (*Picker)(nil)

// choice is the best candidate considered so far.
type choice struct {
	// index is -1 if there is none.
	index int
	// score is the candidate's score; lower is better.
	score time.Duration
}

// consider replaces the choice if the candidate has a lower score.
func (c *choice) consider(index int, score time.Duration) {
	if c.index < 0 || score < c.score {
		c.index, c.score = index, score
	}
}

// Pick returns the index of the selected candidate, or -1 if there is none, or if
// a side has refused the request and no candidate that was compared has room.
func (p *Picker) Pick(now time.Time, demand currantwood.Demand, candidates []currantwood.Candidate) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	own := p.sample(now, demand, candidates, true)
	if own.index < 0 {
		fullAllowed := demand.Refused == 0 || demand.Promised && demand.Refused == 1
		if fullAllowed {
			own = p.bestOfAll(now, demand, candidates, true)
		}
		other := p.sample(now, demand, candidates, false)
		if other.index < 0 && fullAllowed {
			other = p.bestOfAll(now, demand, candidates, false)
		}
		if own.index < 0 || other.index >= 0 && other.score+p.options.CrossRegionPenalty < own.score {
			own = other
		}
	}
	if own.index >= 0 {
		p.recordPick(candidates[own.index], p.requiredTokens(demand))
	}
	return own.index
}

// sample returns the best of up to three candidates in the own region or in the
// others. From those with enough discounted headroom, two are drawn at random and
// the one that has most of the prefix cached is added; of these, those without
// enough remaining headroom are left out.
func (p *Picker) sample(now time.Time, demand currantwood.Demand, candidates []currantwood.Candidate, ownRegion bool) choice {
	drawn := [2]int{-1, -1}
	cached, seen := -1, 0
	for i := range candidates {
		c := &candidates[i]
		if (c.Region == p.options.Region) != ownRegion || !p.fits(demand, p.discountedHeadroom(now, c)) {
			continue
		}
		seen++
		p.draw(&drawn, seen, i)
		if c.CachedTokens > 0 && (cached < 0 || c.CachedTokens > candidates[cached].CachedTokens) {
			cached = i
		}
	}
	best := choice{index: -1}
	for _, i := range [...]int{drawn[0], drawn[1], cached} {
		if i >= 0 && p.fits(demand, p.remainingHeadroom(now, &candidates[i])) {
			best.consider(i, p.score(now, demand, &candidates[i]))
		}
	}
	return best
}

// draw is a step of reservoir sampling: drawn holds two of the candidates seen so
// far, each pair equally likely. seen counts the one at index.
func (p *Picker) draw(drawn *[2]int, seen, index int) {
	if seen <= len(drawn) {
		drawn[seen-1] = index
		return
	}
	if slot := p.random.IntN(seen); slot < len(drawn) {
		drawn[slot] = index
	}
}

// bestOfAll returns the candidate with the lowest score, whatever its
// headroom, in the own region or in the others.
func (p *Picker) bestOfAll(now time.Time, demand currantwood.Demand, candidates []currantwood.Candidate, ownRegion bool) choice {
	best := choice{index: -1}
	for i := range candidates {
		c := &candidates[i]
		if (c.Region == p.options.Region) == ownRegion {
			best.consider(i, p.score(now, demand, c))
		}
	}
	return best
}

// score returns the predicted time to first token at a candidate, plus
// HeadroomPenalty and InFlightPenalty.
func (p *Picker) score(now time.Time, demand currantwood.Demand, c *currantwood.Candidate) time.Duration {
	uncached := max(demand.PromptTokens-c.CachedTokens, 0)
	remaining := p.remainingHeadroom(now, c)
	headroomShare := 1.0
	if remaining > 0 {
		headroomShare = min(float64(p.requiredTokens(demand))/float64(remaining), 1)
	}
	wait := c.PredictedWait
	if demand.Class == currantwood.ClassCheck {
		wait = 0
	}
	return wait + 2*c.Latency +
		time.Duration(c.InFlight)*p.options.InFlightPenalty +
		time.Duration(uncached)*p.options.PrefillPerToken +
		time.Duration(headroomShare*float64(p.options.HeadroomPenalty))
}

// requiredTokens returns the engine memory that a demand is expected to take.
func (p *Picker) requiredTokens(demand currantwood.Demand) currantwood.TokenCount {
	output := p.options.ExpectedOutput
	if demand.MaxTokens > 0 {
		output = min(output, demand.MaxTokens)
	}
	return demand.PromptTokens + output
}

// fits reports whether a demand fits into a headroom. A check always does: each
// side reserves memory for checks that isn't part of its headroom.
func (p *Picker) fits(demand currantwood.Demand, headroom currantwood.TokenCount) bool {
	return demand.Class == currantwood.ClassCheck || headroom >= p.requiredTokens(demand)
}

// discountedHeadroom returns the reported headroom, discounted for the report's
// age.
func (p *Picker) discountedHeadroom(now time.Time, c *currantwood.Candidate) currantwood.TokenCount {
	age := now.Sub(c.ReportedAt)
	if age <= 0 {
		return c.Headroom
	}
	halfWeight := p.options.HalfWeightAge
	return currantwood.TokenCount(float64(c.Headroom) * float64(halfWeight) / float64(halfWeight+age))
}

// remainingHeadroom returns the discounted headroom less what was assigned since
// the report. It may be negative.
func (p *Picker) remainingHeadroom(now time.Time, c *currantwood.Candidate) currantwood.TokenCount {
	remaining := p.discountedHeadroom(now, c)
	if s, known := p.assigned[c.Upstream]; known && s.reportedAt.Equal(c.ReportedAt) {
		remaining -= s.tokens
	}
	return remaining
}

// recordPick adds the tokens of a request to what was assigned to the picked
// candidate since its report.
func (p *Picker) recordPick(c currantwood.Candidate, tokens currantwood.TokenCount) {
	s := p.assigned[c.Upstream]
	if !s.reportedAt.Equal(c.ReportedAt) {
		s = assignment{reportedAt: c.ReportedAt}
	}
	s.tokens += tokens
	if len(p.assigned) >= maxAssigned {
		clear(p.assigned)
	}
	p.assigned[c.Upstream] = s
}
