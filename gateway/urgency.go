package gateway

import (
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/configkeeper"
)

const (
	// tighterQueueShare is the share of the target time of requests with a tighter target
	// for which prompts queued at an engine may delay them.
	tighterQueueShare = 0.3
	// tighterSpareMemory is the share of an engine's memory that is left to requests with a
	// tighter target. A generation holds its memory for as long as it runs, and they can't
	// wait that long.
	tighterSpareMemory currantwood.Share = 0.1
)

// objective is what the stream routes of a group promise to some of their clients.
type objective struct {
	priority currantwood.Priority
	target   time.Duration
}

// objectives holds the objectives of the stream routes of each group, without duplicates.
type objectives map[currantwood.GroupID][]objective

// objectivesOf returns the objectives in a configuration.
func objectivesOf(snapshot *configkeeper.Snapshot) objectives {
	all := make(objectives)
	seen := make(map[currantwood.GroupID]map[objective]bool)
	for _, route := range snapshot.Routes {
		if !route.Stream || route.Target <= 0 {
			continue
		}
		o := objective{route.Priority, route.Target}
		for _, part := range route.Split {
			if seen[part.Group] == nil {
				seen[part.Group] = make(map[objective]bool)
			}
			if !seen[part.Group][o] {
				seen[part.Group][o] = true
				all[part.Group] = append(all[part.Group], o)
			}
		}
	}
	return all
}

// tighter returns the shortest target of the requests of a group that have a shorter one
// than a route and are at least as urgent; 0 if there are none.
func (o objectives) tighter(id currantwood.GroupID, route *currantwood.Route) time.Duration {
	shortest := time.Duration(0)
	for _, other := range o[id] {
		if other.priority < route.Priority || other.target >= route.Target {
			continue
		}
		if shortest == 0 || other.target < shortest {
			shortest = other.target
		}
	}
	return shortest
}
