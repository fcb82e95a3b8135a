package gateway

import (
	"time"

	"github.com/currantwood/currantwood/configkeeper"
)

// ConfigurationFresh reports whether the configuration was confirmed to be the
// newest recently enough for the gateway to report that it is ready. Keys are
// still accepted for some time after that.
func (g *Gateway) ConfigurationFresh(now time.Time) bool {
	return g.Configuration.Age(now) < g.maxAgeForReady()
}

// syncGroups passes the groups of a newer configuration to the balancer, with the regions to
// which its routes and customers are bound, and the warm-up rates to their keeper. The
// caller holds mu.
func (g *Gateway) syncGroups(snapshot *configkeeper.Snapshot) {
	if g.groupsVersion < snapshot.Version {
		g.groupsVersion = snapshot.Version
		g.balancer.SetGroups(snapshot.Groups)
		g.balancer.SetBindings(bindingsOf(snapshot))
		g.objectives = objectivesOf(snapshot)
		for id, group := range snapshot.Groups {
			g.warmUps.SetLimit(id, group.WarmUpRate)
		}
	}
}
