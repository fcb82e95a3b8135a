// Package picker chooses the upstream of a request among the candidates that an
// entry sees.
//
// A candidate is feasible when its reported headroom, less what this entry has
// sent it since the report and less an allowance for the report's age, holds
// the request. Among the feasible ones of the entry's own region two are drawn
// at random, the best holder of the prompt's prefix joins them, and the one
// with the shortest predicted time to the first token wins. Drawing at random
// keeps entries with the same late view from choosing the same upstream.
// A request that a side has refused goes on only to a feasible candidate: where
// all are full, one more try adds load and ends in one more refusal.
// Another region is chosen only where its predicted wait beats that of the own
// region by more than the link's delay and an allowance for the paid bytes.
package picker

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/currantwood/currantwood"
)

// Options are the weights of the choice.
type Options struct {
	Region currantwood.RegionID
	// UsualOutput is the memory that a request is expected to add to its
	// prompt.
	UsualOutput currantwood.TokenCount
	// PrefillPerToken is the time to compute one prompt token that is not
	// cached.
	PrefillPerToken time.Duration
	// HalfTrust is the age at which a report's headroom counts for half.
	HalfTrust time.Duration
	// CrowdingDelay is added to a candidate's time as its headroom is used up:
	// whole when nothing is left after this request.
	CrowdingDelay time.Duration
	// InFlightDelay is added for each of this entry's own requests at a
	// candidate, so that equal candidates share the work.
	InFlightDelay time.Duration
	// PaidDelay is the wait that is accepted to save the bytes of another
	// region's answer.
	PaidDelay time.Duration
}

// DefaultOptions suit engines that prefill about 20,000 tokens a second.
func DefaultOptions(region currantwood.RegionID) Options {
	return Options{
		Region:          region,
		UsualOutput:     300,
		PrefillPerToken: 50 * time.Microsecond,
		HalfTrust:       2 * time.Second,
		CrowdingDelay:   40 * time.Millisecond,
		InFlightDelay:   2 * time.Millisecond,
		PaidDelay:       100 * time.Millisecond,
	}
}

// sent is what was sent to an upstream since its last report.
type sent struct {
	reportedAt time.Time
	tokens     currantwood.TokenCount
}

// Picker chooses upstreams. It is safe for concurrent use.
type Picker struct {
	options Options

	mu     sync.Mutex
	random *rand.Rand
	// sent has at most one element for each upstream that was ever chosen and
	// is emptied at maxSent.
	sent map[currantwood.UpstreamID]sent
}

// maxSent bounds the upstreams that are remembered.
const maxSent = 4096

// New returns a picker that draws from the given source.
func New(options Options, random *rand.Rand) *Picker {
	return &Picker{options: options, random: random, sent: map[currantwood.UpstreamID]sent{}}
}

var _ currantwood.Picker = (*Picker)(nil)

// choice is the best candidate of a kind so far.
type choice struct {
	// index is -1 when there is none.
	index int
	time  time.Duration
}

func (c *choice) offer(index int, time time.Duration) {
	if c.index < 0 || time < c.time {
		c.index, c.time = index, time
	}
}

// Pick returns the index of the chosen candidate, or -1 when there is none worth
// a try.
func (p *Picker) Pick(now time.Time, demand currantwood.Demand, candidates []currantwood.Candidate) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	own := p.sample(now, demand, candidates, true)
	if own.index < 0 {
		fresh := demand.Refused == 0 || demand.Promised && demand.Refused == 1
		if fresh {
			own = p.shortestWait(now, demand, candidates, true)
		}
		other := p.sample(now, demand, candidates, false)
		if other.index < 0 && fresh {
			other = p.shortestWait(now, demand, candidates, false)
		}
		if own.index < 0 || other.index >= 0 && other.time+p.options.PaidDelay < own.time {
			own = other
		}
	}
	if own.index >= 0 {
		p.remember(candidates[own.index], p.need(demand))
	}
	return own.index
}

// sample returns the better of two feasible candidates drawn at random and of
// the one that holds most of the prefix.
func (p *Picker) sample(now time.Time, demand currantwood.Demand, candidates []currantwood.Candidate, own bool) choice {
	drawn := [2]int{-1, -1}
	holder, feasible := -1, 0
	for i := range candidates {
		c := &candidates[i]
		if (c.Region == p.options.Region) != own || !p.canTake(demand, p.trusted(now, c)) {
			continue
		}
		feasible++
		p.draw(&drawn, feasible, i)
		if c.CachedTokens > 0 && (holder < 0 || c.CachedTokens > candidates[holder].CachedTokens) {
			holder = i
		}
	}
	best := choice{index: -1}
	for _, i := range [...]int{drawn[0], drawn[1], holder} {
		if i >= 0 && p.canTake(demand, p.left(now, &candidates[i])) {
			best.offer(i, p.timeTo(now, demand, &candidates[i]))
		}
	}
	return best
}

// draw keeps two of the feasible candidates seen so far, each pair equally
// likely.
func (p *Picker) draw(drawn *[2]int, seen, index int) {
	if seen <= len(drawn) {
		drawn[seen-1] = index
		return
	}
	if at := p.random.IntN(seen); at < len(drawn) {
		drawn[at] = index
	}
}

// shortestWait returns the candidate with the shortest predicted time, feasible
// or not.
func (p *Picker) shortestWait(now time.Time, demand currantwood.Demand, candidates []currantwood.Candidate, own bool) choice {
	best := choice{index: -1}
	for i := range candidates {
		c := &candidates[i]
		if (c.Region == p.options.Region) == own {
			best.offer(i, p.timeTo(now, demand, c))
		}
	}
	return best
}

// timeTo predicts the time to the first token at a candidate.
func (p *Picker) timeTo(now time.Time, demand currantwood.Demand, c *currantwood.Candidate) time.Duration {
	uncached := max(demand.PromptTokens-c.CachedTokens, 0)
	left := p.left(now, c)
	crowding := 1.0
	if left > 0 {
		crowding = min(float64(p.need(demand))/float64(left), 1)
	}
	wait := c.PredictedWait
	if demand.Class == currantwood.ClassCheck {
		wait = 0
	}
	return wait + 2*c.Latency +
		time.Duration(c.InFlight)*p.options.InFlightDelay +
		time.Duration(uncached)*p.options.PrefillPerToken +
		time.Duration(crowding*float64(p.options.CrowdingDelay))
}

// need is the memory that a demand is expected to take.
func (p *Picker) need(demand currantwood.Demand) currantwood.TokenCount {
	output := p.options.UsualOutput
	if demand.MaxTokens > 0 {
		output = min(output, demand.MaxTokens)
	}
	return demand.PromptTokens + output
}

// canTake reports whether a candidate may be drawn. A check always fits: each
// side has memory that only checks use, which its headroom doesn't show.
func (p *Picker) canTake(demand currantwood.Demand, headroom currantwood.TokenCount) bool {
	return demand.Class == currantwood.ClassCheck || headroom >= p.need(demand)
}

// trusted is the reported headroom, less for the report's age.
func (p *Picker) trusted(now time.Time, c *currantwood.Candidate) currantwood.TokenCount {
	age := now.Sub(c.ReportedAt)
	if age <= 0 {
		return c.Headroom
	}
	half := p.options.HalfTrust
	return currantwood.TokenCount(float64(c.Headroom) * float64(half) / float64(half+age))
}

// left is what is trusted less what was sent since the report.
func (p *Picker) left(now time.Time, c *currantwood.Candidate) currantwood.TokenCount {
	left := p.trusted(now, c)
	if s, known := p.sent[c.Upstream]; known && s.reportedAt.Equal(c.ReportedAt) {
		left -= s.tokens
	}
	return left
}

func (p *Picker) remember(c currantwood.Candidate, need currantwood.TokenCount) {
	s := p.sent[c.Upstream]
	if !s.reportedAt.Equal(c.ReportedAt) {
		s = sent{reportedAt: c.ReportedAt}
	}
	s.tokens += need
	if len(p.sent) >= maxSent {
		clear(p.sent)
	}
	p.sent[c.Upstream] = s
}
