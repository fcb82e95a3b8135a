// Package routematcher finds the route of a request: among the routes of its
// host, the one with the longest prefix of its path.
package routematcher

import (
	"net"
	"strings"

	"github.com/currantwood/currantwood"
)

// Matcher is an index over the routes of one configuration.
type Matcher struct {
	// hosts finds the routes of a host by their prefix. Prefixes begin and end
	// with a slash.
	hosts map[string]map[string]*currantwood.Route
}

// New builds the index. Of routes with the same host and prefix the last one
// holds.
func New(routes []currantwood.Route) *Matcher {
	m := &Matcher{hosts: make(map[string]map[string]*currantwood.Route)}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		if m.hosts[host] == nil {
			m.hosts[host] = make(map[string]*currantwood.Route)
		}
		m.hosts[host][routes[i].Prefix] = &routes[i]
	}
	return m
}

// Match returns the route of a host, with or without a port, and a path without
// its query; nil if there is none.
func (m *Matcher) Match(host, path string) *currantwood.Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	prefixes := m.hosts[strings.ToLower(host)]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route := prefixes[path[:end+1]]; route != nil {
			return route
		}
	}
	return nil
}
