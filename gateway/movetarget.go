package gateway

import (
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/balancer"
)

// movePrefillTokens is the nominal number of prompt tokens that a move adds
// to the load of its target until the run continues there. See moveLoad.
const movePrefillTokens = 2000

// errTargetsCold means that all engines to which a run could be moved now are cold, and that
// this gateway has used its share of their rate. It has one again soon.
var errTargetsCold = errors.New("the engines are cold and accept no more requests a second")

// moveScopes are the sets of engines among which the target of a move is looked for, in
// order. requireCapacity leaves out those without room by the estimates.
var moveScopes = []struct {
	reach           balancer.Reach
	requireCapacity bool
}{
	{balancer.InZone, true}, {balancer.InZone, false},
	{balancer.InRegion, true}, {balancer.InRegion, false},
	{balancer.Anywhere, true},
}

// pickMoveTarget picks the engine that a run is moved to; it returns errNoSpare or
// errTargetsCold if there is none. It prefers the availability zone of the current engine
// to the rest of its region, and that to other regions. Within the zone and the region it
// first looks for an engine that has room by the estimates and then for any, as the
// estimates may be wrong.
//
// A copy to another zone takes longer, and one to another region several times
// as long; meanwhile it delays all other copies on both links. So other regions
// are used only if no engine of this one accepts the run.
//
// A run whose engine stays is moved only to one that has room by the estimates.
func (s *stream) pickMoveTarget(from *upstreamStream, exclude []currantwood.UpstreamID) (balancer.Choice, error) {
	version, leaves := s.beganAt(), s.g.leaves(from.view)
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	now, none := s.g.Now(), errNoSpare
	for _, scope := range moveScopes {
		if !leaves && !scope.requireCapacity {
			continue
		}
		query := balancer.Query{
			Group: s.group, Load: s.moveLoad(), OutputTokens: s.outputLeft(), AvoidPrefill: true,
			Zone: from.view.Zone, Regions: s.regions(), Reach: scope.reach, Exclude: exclude,
			RequireCapacity: scope.requireCapacity, SameVersion: true, Version: version,
		}
		choice, err := s.g.balancer.Pick(now, query)
		if err == nil {
			s.g.balancer.Started(now, choice.View, query.Load, s.streamStallTimeout())
			return choice, nil
		}
		if refused := (*balancer.RefusalError)(nil); errors.As(err, &refused) && refused.Cold != "" {
			none = errTargetsCold
		}
	}
	return balancer.Choice{}, none
}

// moveLoad is the load that the stream adds to the engine that it is moved to.
// The target prefills hardly any prompt for it, but the run continues only after
// the prompts already queued there are prefilled. The nominal prompt tokens keep
// new prompts away meanwhile.
func (s *stream) moveLoad() balancer.Load {
	return balancer.Load{Requests: 1, MemoryTokens: s.client.Size.Expected(s.client.LengthHint), PrefillTokens: movePrefillTokens}
}

// moveFields returns the fields of log lines that say where a run is and where it goes.
func moveFields(from *upstreamStream, choice balancer.Choice) []zap.Field {
	return []zap.Field{
		zap.String("from", string(from.view.ID)), zap.String("from-version", string(from.view.Version)),
		zap.String("to", string(choice.View.ID)), zap.String("to-version", string(choice.View.Version)),
	}
}
