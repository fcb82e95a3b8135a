package linter

import (
	"strings"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/routematcher"
)

// checkRoutes reports the routes that no request matches, and those to missing groups.
func (c *check) checkRoutes() {
	if len(c.document.Routes) == 0 {
		c.add(NoRoutes, at(currantwood.FieldRoutes, 0), "there is no route: every request is refused")
	}
	matcher := routematcher.New(c.document.Routes)
	indexes := make(map[*currantwood.Route]int, len(c.document.Routes))
	for i := range c.document.Routes {
		indexes[&c.document.Routes[i]] = i
	}
	for i := range c.document.Routes {
		c.checkMatch(matcher, indexes, i)
		for part, group := range c.document.Routes[i].Split {
			if _, known := c.document.Configuration.Groups[group.Group]; !known {
				place := currantwood.ConfigurationPlace{Field: currantwood.FieldRouteGroup, Index: i, Part: part}
				c.add(GroupMissing, place, "there is no group %q: it has no upstreams", group.Group)
			}
		}
	}
}

// checkMatch asks the matcher for the shortest path below the route's prefix. If that isn't
// a request of the route, no request is: a longer path matches only longer prefixes before.
func (c *check) checkMatch(matcher *routematcher.Matcher, indexes map[*currantwood.Route]int, i int) {
	route := &c.document.Routes[i]
	if strings.ContainsFunc(route.Prefix, neverInPath) {
		c.add(PrefixNotAPath, at(currantwood.FieldRoutePrefix, i), "the prefix %q has a character that no escaped path has", route.Prefix)
		return
	}
	// The path of a request begins with a slash.
	path := "/" + strings.TrimPrefix(route.Prefix, "/")
	match := matcher.Match(route.Host, path)
	switch {
	case match == route && route.Host != "":
	case !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/"):
		c.add(PrefixWithoutSlash, at(currantwood.FieldRoutePrefix, i), "the prefix %q doesn't begin and end with a slash: no request matches", route.Prefix)
	case match != nil && match != route:
		c.add(RouteShadowed, at(currantwood.FieldRoute, i), "route %q (line %d) has the same host and prefix, %s: it takes all requests of route %q",
			match.ID, c.document.Locate(at(currantwood.FieldRoute, indexes[match])).Line, match.Host+match.Prefix, route.ID)
	default:
		c.add(HostNotMatched, at(currantwood.FieldRouteHost, i), "requests are matched by host name without a port; none has host %q", route.Host)
	}
}

// neverInPath reports whether a character is absent from the path of any request line.
func neverInPath(r rune) bool { return r <= ' ' || r == '?' || r == '#' || r == 0x7f }

// checkGroups reports the groups that a later one of the same name replaces.
func (c *check) checkGroups() {
	last := make(map[currantwood.GroupID]int, len(c.document.GroupList))
	for i, group := range c.document.GroupList {
		last[group.ID] = i
	}
	for i, group := range c.document.GroupList {
		if winner := last[group.ID]; winner != i {
			c.add(GroupRepeated, at(currantwood.FieldGroup, i), "group %q is defined again in line %d: this definition has no effect",
				group.ID, c.document.Locate(at(currantwood.FieldGroup, winner)).Line)
		}
	}
}
