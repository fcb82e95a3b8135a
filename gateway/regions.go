package gateway

import (
	"net/http"
	"strings"

	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/balancer"
	"github.com/currantwood/currantwood/configkeeper"
)

// restrictRegions finds the regions in which the request may be served, and refuses it if
// its route and its customer have none in common.
func (q *request) restrictRegions() *gatewayResponse {
	q.admittedRegions = q.regionsIn(q.snapshot, q.route)
	if !q.admittedRegions.IsEmpty() {
		return nil
	}
	q.log("route and customer have no region in common", zap.String("customer", string(q.customer)),
		zap.Stringer("route-regions", q.route.Regions), zap.Stringer("customer-regions", q.customerRegions(q.snapshot)))
	q.g.instruments.refusedRegions.Inc(1)
	return &gatewayResponse{status: http.StatusServiceUnavailable, reason: "no region is allowed"}
}

// notePlacement counts a refusal for which upstreams were ruled out by the regions of the
// request or by evacuations, and returns the fields of its log line that say so.
func (q *request) notePlacement(refused *balancer.RefusalError) []zap.Field {
	if refused == nil || refused.OutsideRegions+refused.Evacuated == 0 {
		return nil
	}
	if refused.OutsideRegions > 0 {
		q.g.instruments.refusedRegions.Inc(1)
	}
	if refused.Evacuated > 0 {
		q.g.instruments.refusedEvacuated.Inc(1)
	}
	return []zap.Field{
		zap.Stringer("regions", q.regions()), zap.String("group", string(q.group)),
		zap.Int("outside-regions", refused.OutsideRegions), zap.Int("evacuated", refused.Evacuated),
	}
}

// regions returns the regions in which the request may be served by the newest
// configuration, which may be newer than the one that admitted it. A route that the newest
// doesn't hold keeps its former regions.
func (q *request) regions() currantwood.RegionSet {
	newest := q.g.Configuration.Current()
	if newest == q.snapshot {
		return q.admittedRegions
	}
	path, _, _ := strings.Cut(q.requestTarget(), "?")
	route := newest.Matcher.Match(q.r.Host, path)
	if route == nil {
		route = q.route
	}
	return q.regionsIn(newest, route)
}

// regionsIn returns the regions that a route and the customer of the request allow in a
// configuration.
func (q *request) regionsIn(snapshot *configkeeper.Snapshot, route *currantwood.Route) currantwood.RegionSet {
	return route.Regions.Intersect(q.customerRegions(snapshot))
}

// customerRegions returns the regions that the customer of the request allows in a
// configuration. A key that it doesn't hold any more keeps its former regions: a stream
// that has begun may go on.
func (q *request) customerRegions(snapshot *configkeeper.Snapshot) currantwood.RegionSet {
	if holder, known := snapshot.Keys[q.client.APIKey]; known {
		return holder.Regions
	}
	if holder, known := q.snapshot.Keys[q.client.APIKey]; known {
		return holder.Regions
	}
	return currantwood.AnyRegion()
}

// bindingsOf returns the regions to which the routes and customers of a configuration bind
// the requests of each group.
func bindingsOf(snapshot *configkeeper.Snapshot) balancer.GroupBindings {
	// Customers are many, but few differ in their regions.
	ofCustomers := map[string]currantwood.RegionSet{"": currantwood.AnyRegion()}
	for _, holder := range snapshot.Keys {
		if !holder.Regions.IsAny() {
			ofCustomers[holder.Regions.String()] = holder.Regions
		}
	}
	bindings := make(balancer.GroupBindings)
	for _, route := range snapshot.Routes {
		for _, regions := range ofCustomers {
			both := route.Regions.Intersect(regions)
			for _, part := range route.Split {
				bindings.Note(part.Group, both)
			}
		}
	}
	return bindings
}
