package entrystarter

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/entryserver"
	"github.com/currantwood/currantwood/matcher"
	"github.com/currantwood/currantwood/picker"
)

// SetRules puts rules in force.
func (e *Entry) SetRules(rules currantwood.Rules) {
	e.limiter.SetCustomers(rules.Customers)
	e.matcher.Store(matcher.New(rules))
}

func (e *Entry) rules() *matcher.Matcher { return e.matcher.Load() }

func (e *Entry) picker() currantwood.Picker {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return picker.New(picker.DefaultOptions(currantwood.RegionID(e.settings.Region)), random)
}

func (e *Entry) calls() entryserver.CallForwarder { return refuseCalls{} }

// refuseCalls refuses calls of plain services.
type refuseCalls struct{}

func (refuseCalls) Forward(context.Context, entryserver.Call) (*currantwood.ServiceAnswer, *currantwood.Refusal) {
	return nil, currantwood.Refuse(currantwood.KindNoUpstream, "entrystarter", "calls of plain services are not served yet", time.Second)
}
