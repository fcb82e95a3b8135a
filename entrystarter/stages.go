package entrystarter

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/entryserver"
	"github.com/currantwood/currantwood/matcher"
)

// SetRules puts rules in force.
func (e *Entry) SetRules(rules currantwood.Rules) { e.matcher.Store(matcher.New(rules)) }

func (e *Entry) rules() *matcher.Matcher { return e.matcher.Load() }

func (e *Entry) picker() currantwood.Picker { return &leastInFlight{} }

func (e *Entry) limiter() currantwood.Limiter { return noLimit{} }

func (e *Entry) calls() entryserver.CallForwarder { return refuseCalls{} }

// leastInFlight picks the upstream with the fewest of this entry's own requests.
type leastInFlight struct {
	// turn breaks ties in turn.
	turn atomic.Uint64
}

// Pick returns the index of the candidate, or -1 without candidates.
func (p *leastInFlight) Pick(_ time.Time, _ currantwood.Demand, candidates []currantwood.Candidate) int {
	best := -1
	start := int(p.turn.Add(1))
	for i := range candidates {
		at := (start + i) % len(candidates)
		if best < 0 || candidates[at].InFlight < candidates[best].InFlight {
			best = at
		}
	}
	return best
}

// noLimit admits everything.
type noLimit struct{}

func (noLimit) Admit(time.Time, currantwood.Demand) currantwood.Verdict { return currantwood.Verdict{} }

func (noLimit) Done(time.Time, currantwood.CustomerID, currantwood.RequestID, currantwood.TokenSeconds) {
}

// refuseCalls refuses calls of plain services.
type refuseCalls struct{}

func (refuseCalls) Forward(context.Context, entryserver.Call) (*currantwood.ServiceAnswer, *currantwood.Refusal) {
	return nil, currantwood.Refuse(currantwood.KindNoUpstream, "entrystarter", "calls of plain services are not served yet", time.Second)
}
