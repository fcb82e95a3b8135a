// Package routematcher finds the route of a request: of the routes for its host,
// the one with the longest prefix that matches its path.
package routematcher

import (
	"net"
	"strings"

	"github.com/currantwood/currantwood"
)

// Matcher is an index of the routes of one configuration. It is safe for
// concurrent use.
type Matcher struct {
	// byHost holds the routes by host (in lower case), then by path prefix.
	byHost map[string]map[string]*currantwood.Route
}

// New builds the index of routes. It points into routes, which must not be
// modified afterwards. Their prefixes must begin and end with a slash. Of routes
// with the same host and prefix, the last one wins.
func New(routes []currantwood.Route) *Matcher {
	m := &Matcher{byHost: make(map[string]map[string]*currantwood.Route)}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		if m.byHost[host] == nil {
			m.byHost[host] = make(map[string]*currantwood.Route)
		}
		m.byHost[host][routes[i].Prefix] = &routes[i]
	}
	return m
}

// Match returns the route for a host and a path, or nil if there is none. The
// host may have a port and is matched regardless of case; the path must be
// escaped and have no query.
func (m *Matcher) Match(host, path string) *currantwood.Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	prefixes := m.byHost[strings.ToLower(host)]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route := prefixes[path[:end+1]]; route != nil {
			return route
		}
	}
	return nil
}
