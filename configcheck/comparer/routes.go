package comparer

import (
	"fmt"
	"math"
	"strings"

	"github.com/currantwood/currantwood"
)

// compareService tells where requests are served, for how long, and who may send them.
func (c *comparison) compareService(r requestClass, before, after *currantwood.Route) {
	if !sameSplit(before.Split, after.Split) {
		c.add(GroupOfRequests, c.after.routeAt(currantwood.FieldRouteGroup, after), "requests to %s are served by %s (before: %s)", r, groups(after.Split), groups(before.Split))
	}
	c.compareRegions(fmt.Sprintf("requests to %s", r), c.after.routeAt(currantwood.FieldRouteRegions, after), before.Regions, after.Regions)
	switch {
	case after.Timeout < before.Timeout:
		c.add(TimeoutShorter, c.after.routeAt(currantwood.FieldRouteTimeout, after), "requests to %s that run longer than %s are cut off (before: %s)", r, after.Timeout, before.Timeout)
	case after.Timeout > before.Timeout:
		c.add(TimeoutLonger, c.after.routeAt(currantwood.FieldRouteTimeout, after), "requests to %s may run for %s (before: %s)", r, after.Timeout, before.Timeout)
	}
	switch {
	case before.Anonymous && !after.Anonymous && c.after.RequiresKeys:
		c.add(APIKeyRequired, c.after.routeAt(currantwood.FieldRouteAnonymous, after), "requests to %s without a key are refused", r)
	case !before.Anonymous && after.Anonymous && c.before.RequiresKeys:
		c.add(APIKeyNotRequired, c.after.routeAt(currantwood.FieldRouteAnonymous, after), "requests to %s are accepted without a key", r)
	}
}

// compareRegions tells what requests may be served in regions where they weren't, or not
// where they were.
func (c *comparison) compareRegions(requests string, at currantwood.DocumentPosition, before, after currantwood.RegionSet) {
	if after.IsEmpty() && !before.IsEmpty() {
		c.add(RegionsNarrowed, at, "%s are refused: no region is allowed (before: %s)", requests, before)
		return
	}
	if !isWithin(before, after) {
		c.add(RegionsNarrowed, at, "%s are served in fewer regions: %s (before: %s); running ones go on where they are", requests, after, before)
	}
	if !isWithin(after, before) {
		c.add(RegionsWidened, at, "%s may be served in more regions: %s (before: %s)", requests, after, before)
	}
}

// isWithin reports whether a set admits only regions that another admits.
func isWithin(inner, outer currantwood.RegionSet) bool {
	if inner.IsAny() {
		return outer.IsAny()
	}
	for _, id := range inner.IDs() {
		if !outer.Admits(id) {
			return false
		}
	}
	return true
}

// compareHandling tells what else changes in the handling of requests, in one difference.
func (c *comparison) compareHandling(r requestClass, before, after *currantwood.Route) {
	var changes []string
	note := func(changed bool, format string, args ...any) {
		if changed {
			changes = append(changes, fmt.Sprintf(format, args...))
		}
	}
	sameRoute := before.Prefix == after.Prefix
	note(sameRoute && before.ID != after.ID, "the route is named %q (before: %q)", after.ID, before.ID)
	note(before.Stream != after.Stream, "responses as streams: %t", after.Stream)
	note(before.Repeatable != after.Repeatable, "repeated after a failed run: %t", after.Repeatable)
	note(before.Resumable != after.Resumable, "broken streams go on at another upstream: %t", after.Resumable)
	note(before.MaxUpstreams != after.MaxUpstreams, "at most %d attempts (before: %d)", after.MaxUpstreams, before.MaxUpstreams)
	note(before.Priority < after.Priority, "more urgent than before")
	note(before.Priority > after.Priority, "less urgent than before")
	note(before.Target != after.Target, "latency objective %s (before: %s)", after.Target, before.Target)
	note(before.GapTarget != after.GapTarget, "objective for the time between events %s (before: %s)", after.GapTarget, before.GapTarget)
	if len(changes) > 0 {
		c.add(HandlingChanged, c.after.routeAt(currantwood.FieldRoute, after), "requests to %s are handled differently: %s", r, strings.Join(changes, "; "))
	}
}

// compareKeyRequirement tells whether requests to routes that aren't anonymous need a key.
func (c *comparison) compareKeyRequirement() {
	at := c.after.at(currantwood.FieldCustomers, 0)
	switch {
	case !c.before.RequiresKeys && c.after.RequiresKeys:
		c.add(APIKeyRequired, at, "requests without a key are refused, but for those of anonymous routes: customers are listed")
	case c.before.RequiresKeys && !c.after.RequiresKeys:
		c.add(APIKeyNotRequired, at, "requests without a key are accepted: no list of customers")
	}
}

// shareTolerance is the difference between shares that rounding may cause.
const shareTolerance = 1e-9

// sameSplit reports whether two splits send the same share of requests to each group.
func sameSplit(a, b []currantwood.WeightedGroup) bool {
	sharesA, sharesB := shares(a), shares(b)
	for group, share := range sharesA {
		if math.Abs(share-sharesB[group]) > shareTolerance {
			return false
		}
	}
	return len(sharesA) == len(sharesB)
}

// groupShares holds the share of requests of each group, from 0 to 1.
type groupShares map[currantwood.GroupID]float64

func shares(split []currantwood.WeightedGroup) groupShares {
	total := 0.0
	for _, part := range split {
		total += part.Weight
	}
	out := make(groupShares)
	for _, part := range split {
		out[part.Group] += part.Weight / total
	}
	return out
}

// groups names the groups of a split, in its order, with their shares if there are several.
func groups(split []currantwood.WeightedGroup) string {
	byGroup := shares(split)
	if len(byGroup) == 1 {
		return string(split[0].Group)
	}
	var names []string
	for _, part := range split {
		if share, left := byGroup[part.Group]; left {
			names = append(names, fmt.Sprintf("%s (%.4g%%)", part.Group, 100*share))
			delete(byGroup, part.Group)
		}
	}
	return strings.Join(names, ", ")
}
