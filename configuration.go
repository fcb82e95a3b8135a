package currantwood

import (
	"time"
)

// ConfigurationVersion is the version number of a configuration; a higher
// version replaces a lower one.
type ConfigurationVersion uint64

// Configuration is one accepted configuration. It is immutable once decoded.
type Configuration struct {
	Version ConfigurationVersion
	Routes  []Route
	// Groups holds the properties that all upstreams of a group share.
	Groups map[GroupID]Group
	// RequiresKeys is whether requests need an API key, but for those of anonymous
	// routes: the configuration lists customers. The list may be empty, and customers may
	// hold no key; then no request has a valid one.
	RequiresKeys bool
	// Keys maps each API key to its holder. No key is empty.
	Keys   map[string]KeyHolder
	Limits ClientLimits
}

// KeyHolder is the customer that an API key belongs to.
type KeyHolder struct {
	Customer CustomerID
	// Priority overrides the route's priority if HasPriority is true.
	Priority    Priority
	HasPriority bool
	// Regions are those in which the customer's requests may be served.
	Regions RegionSet
}

// ClientLimits limits the requests and connections of clients. A field of 0 or less isn't
// set.
type ClientLimits struct {
	HeaderBytes int64
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// DefaultMaxBodyBytes is the longest request body if BodyBytes isn't set.
const DefaultMaxBodyBytes = 4 << 20

// MaxBodyBytes returns the longest request body that gateways read.
func (l ClientLimits) MaxBodyBytes() int64 {
	if l.BodyBytes <= 0 {
		return DefaultMaxBodyBytes
	}
	return l.BodyBytes
}

// Route selects upstream groups for requests to a host below a path prefix, and
// sets how these requests are handled.
type Route struct {
	ID   string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Repeatable is whether a request may be executed again from the start.
	Repeatable bool
	// Stream is whether the response is a stream of events.
	Stream bool
	// Resumable is whether a new run on another upstream may continue a broken
	// stream after the last event that was delivered. It says nothing of requests that
	// aren't streams.
	Resumable bool
	// Timeout limits the time to the final response; > 0.
	Timeout time.Duration
	// Target is the latency objective for the response, or for the first event of
	// a stream.
	Target time.Duration
	// GapTarget is the objective for the time between two events of a stream.
	GapTarget time.Duration
	Priority  Priority
	// MaxUpstreams limits the number of runs of one request, including those that
	// continue a broken stream; at least 1. Moves of a run to another engine and
	// attempts that certainly didn't run aren't counted.
	MaxUpstreams int
	// Anonymous is whether requests without an API key are accepted.
	Anonymous bool
	// Split divides the requests among groups. It is never empty, and all weights
	// are positive.
	Split []WeightedGroup
	// Regions are those in which the route's requests may be served.
	Regions RegionSet
}

// RunsAgain reports whether a request that may have run may be sent to another upstream: from
// the start if it is repeatable, after the last event that was delivered if it is a stream that
// is resumable.
func (r *Route) RunsAgain() bool { return r.Repeatable || r.Stream && r.Resumable }

// WeightedGroup is a group and its relative share of a route's requests.
type WeightedGroup struct {
	Group  GroupID
	Weight float64
}

// Group describes the properties that the upstreams of one group share.
type Group struct {
	ID GroupID
	// MaxConnections is the number of connections that one upstream accepts from
	// all gateways together.
	MaxConnections int
	// WarmUpTime is how long an upstream is cold after its start.
	WarmUpTime time.Duration
	// WarmUpRate is the number of requests per second that a cold upstream accepts from
	// all gateways together; 0 means no limit.
	WarmUpRate float64
	// Engine is nil for a group of plain services.
	Engine *EngineProperties
}

// EngineProperties describes the model engines of a group.
type EngineProperties struct {
	// Slots is the number of requests that one engine runs at a time.
	Slots int
	// MemoryTokens is the key-value cache capacity of one engine, which running
	// requests and cached prefixes share.
	MemoryTokens TokenCount
	// TokenBytes is the size of one token's key-value cache in a transfer between
	// engines, in bytes.
	TokenBytes int64
	// LinkBytes is the bandwidth of one engine's network link, in bytes per second.
	LinkBytes float64
	// Moves is whether the engines can copy a running generation to each other.
	Moves bool
	// Backups is whether an engine can keep a growing copy of another's run.
	Backups bool
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent TokenCount
}
