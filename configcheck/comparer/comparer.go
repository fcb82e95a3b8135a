// Package comparer tells what replacing one configuration by another changes for requests,
// runs and customers.
package comparer

import (
	"fmt"
	"strings"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/routematcher"
)

// Difference is one change. Its position is in the new document, or in the former one if
// the new one doesn't have the entry.
type Difference struct {
	Code Code `json:"code"`
	currantwood.DocumentPosition
	Message string `json:"message"`
}

// Comparer compares configurations.
type Comparer struct{}

// Compare returns the differences between the configuration in force and its replacement:
// those of requests in the order of the routes, then those of customers, groups and limits.
func (Comparer) Compare(before, after currantwood.ConfigurationDocument) []Difference {
	c := &comparison{before: newSide(before), after: newSide(after)}
	c.compareRoutes()
	c.compareKeyRequirement()
	c.compareCustomers()
	c.compareGroups()
	c.compareLimits()
	return c.differences
}

// side is one of the compared configurations. Its matcher points into routes.
type side struct {
	currantwood.ConfigurationDocument
	matcher *routematcher.Matcher
	indexes map[*currantwood.Route]int
}

func newSide(document currantwood.ConfigurationDocument) *side {
	s := &side{ConfigurationDocument: document, matcher: routematcher.New(document.Routes), indexes: make(map[*currantwood.Route]int, len(document.Routes))}
	for i := range document.Routes {
		s.indexes[&document.Routes[i]] = i
	}
	return s
}

// routeAt returns the place of a field of a route, which the side's matcher has returned.
func (s *side) routeAt(field currantwood.ConfigurationField, route *currantwood.Route) currantwood.DocumentPosition {
	return s.at(field, s.indexes[route])
}

func (s *side) at(field currantwood.ConfigurationField, index int) currantwood.DocumentPosition {
	return s.Locate(currantwood.ConfigurationPlace{Field: field, Index: index})
}

// comparison is the comparison of two documents.
type comparison struct {
	before, after *side
	differences   []Difference
}

func (c *comparison) add(code Code, at currantwood.DocumentPosition, format string, args ...any) {
	c.differences = append(c.differences, Difference{Code: code, DocumentPosition: at, Message: fmt.Sprintf(format, args...)})
}

// requestClass is the requests to a host below a prefix. They have the same route, but for
// those below a longer prefix.
type requestClass struct {
	host, prefix string
}

func (r requestClass) String() string { return r.host + r.prefix }

// compareRoutes compares the routes that requests match before and after. As only prefixes
// of routes tell requests apart, it asks both matchers for the prefix of each route.
func (c *comparison) compareRoutes() {
	seen := make(map[requestClass]bool)
	for _, s := range []*side{c.after, c.before} {
		for i := range s.Routes {
			r := requestClass{strings.ToLower(s.Routes[i].Host), s.Routes[i].Prefix}
			if !seen[r] {
				seen[r] = true
				c.compareRequests(r)
			}
		}
	}
}

// isOf reports whether a matched route has exactly the host and the prefix. A host with a
// port matches the routes of the host without it.
func (r requestClass) isOf(route *currantwood.Route) bool {
	return route != nil && strings.ToLower(route.Host) == r.host && route.Prefix == r.prefix
}

func (c *comparison) compareRequests(r requestClass) {
	before, after := c.before.matcher.Match(r.host, r.prefix), c.after.matcher.Match(r.host, r.prefix)
	switch {
	case !strings.HasPrefix(r.prefix, "/") || !r.isOf(before) && !r.isOf(after): // no request matches
		return
	case before == nil:
		c.add(RequestsNew, c.after.routeAt(currantwood.FieldRoute, after), "requests to %s are served by %s through route %q; so far no route matches them", r, groups(after.Split), after.ID)
		return
	case after == nil:
		c.add(RequestsRefused, c.before.routeAt(currantwood.FieldRoute, before), "requests to %s are refused: route %q is gone and no other matches them", r, before.ID)
		return
	}
	switch {
	case !r.isOf(after):
		c.add(RouteRemoved, c.before.routeAt(currantwood.FieldRoute, before), "requests to %s fall to route %q: route %q is gone", r, after.ID, before.ID)
	case !r.isOf(before):
		c.add(RouteNew, c.after.routeAt(currantwood.FieldRoute, after), "requests to %s have a route of their own, %q, in place of route %q", r, after.ID, before.ID)
	}
	c.compareService(r, before, after)
	c.compareHandling(r, before, after)
}
