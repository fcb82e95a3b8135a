package balancer

import (
	"slices"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/upstreamkeeper"
)

// Query describes a request for which an upstream is chosen.
type Query struct {
	Group currantwood.GroupID
	// Load is what the request adds to its upstream.
	Load Load
	// OutputTokens is the expected number of tokens that are still to be generated; 0 if
	// the request isn't a generation.
	OutputTokens currantwood.TokenCount
	// Zone is the availability zone to which Reach and the distance penalty of
	// upstreams relate; its upstreams are preferred.
	Zone currantwood.ZoneID
	// Regions are those in which the upstream may be. The zero value admits none.
	Regions currantwood.RegionSet
	// Exclude lists the upstreams that must not be chosen.
	Exclude []currantwood.UpstreamID
	// Only is the only upstream that may be chosen; empty if any may.
	Only currantwood.UpstreamID
	// Counted is whether a choice for the request was tried before, so that it is already in
	// the demand at upstreams and in the share of those bound to regions.
	Counted bool
	// RequireCapacity admits an engine only if it has a free slot, and memory for
	// the whole load.
	RequireCapacity bool
	// SpareMemory is the share of an engine's memory that must stay free; only with
	// RequireCapacity.
	SpareMemory currantwood.Share
	// MaxPrefillWait is the longest time that the prompt may wait until the
	// upstream has prefilled those that were sent before it; 0 means no limit.
	MaxPrefillWait time.Duration
	// AvoidPrefill raises the weight of queued prompts. It is set for a moved run.
	// A run is the generation of a response by an engine. It is moved when its
	// engine shuts down, and pauses until the new engine has prefilled the prompts
	// already queued there.
	AvoidPrefill bool
	// Reach limits how far away the upstream may be.
	Reach Reach
	// SameVersion admits only upstreams whose software has the version Version. It is
	// set for a stream that has begun. An empty Version is an unknown one and admits
	// none.
	SameVersion bool
	Version     currantwood.SoftwareVersion
}

// Covers reports whether any upstream that has room for other has room for q, too: q needs
// no more and may go wherever other may. It may be false although that is so, as only
// differences that are quick to compare are looked at.
func (q Query) Covers(other Query) bool {
	return q.mayGoWherever(other) && q.needsNoMoreThan(other)
}

// mayGoWherever reports whether q admits each upstream that other admits, apart from loads.
func (q Query) mayGoWherever(other Query) bool {
	if q.Group != other.Group || q.Zone != other.Zone || q.Reach != other.Reach || q.Only != other.Only || q.SameVersion {
		return false
	}
	if !q.Regions.IsAny() && (other.Regions.IsAny() || !slices.Equal(q.Regions.IDs(), other.Regions.IDs())) {
		return false
	}
	return !slices.ContainsFunc(q.Exclude, func(id currantwood.UpstreamID) bool { return !slices.Contains(other.Exclude, id) })
}

// needsNoMoreThan reports whether q fits each engine that other fits, by its load.
func (q Query) needsNoMoreThan(other Query) bool {
	if q.RequireCapacity != other.RequireCapacity || q.SpareMemory > other.SpareMemory || q.Load.MemoryTokens > other.Load.MemoryTokens {
		return false
	}
	// A MaxPrefillWait of 0 is no limit.
	return q.MaxPrefillWait >= other.MaxPrefillWait && other.MaxPrefillWait > 0
}

// admitsVersion reports whether an upstream with a version may be chosen.
func (q Query) admitsVersion(version currantwood.SoftwareVersion) bool {
	return !q.SameVersion || version != "" && version == q.Version
}

// longOutputShare returns how much the time of the request depends on its output, from 0
// to 1.
func (q Query) longOutputShare() float64 {
	return min(1, max(0, float64(q.OutputTokens))/longOutputTokens)
}

//go:generate go tool stringer -linecomment -type=Reach,Outcome

// Reach limits a choice to an availability zone or a region.
type Reach uint8

// Limits of a choice.
const (
	Anywhere Reach = iota // anywhere
	InRegion              // region
	InZone                // zone
)

// Choice is a candidate upstream, or the chosen one, and how it was scored.
type Choice struct {
	View upstreamkeeper.View
	// Score is the relative load, with this request, plus penalties; the lowest
	// score wins. Without penalties, queued prompts and noise, an upstream that
	// this request would fill scores 1.
	Score float64
	// Load is what was in flight there before the request.
	Load Load
	// PickedAt is when the upstream was chosen.
	PickedAt time.Time
}

// inReach reports whether an availability zone is within the reach of a query.
func (b *Balancer) inReach(q Query, zone currantwood.ZoneID) bool {
	switch q.Reach {
	case InZone:
		return zone == q.Zone
	case InRegion:
		return b.regions[zone] == b.regions[q.Zone]
	default:
		return true
	}
}

func (b *Balancer) distancePenalty(from, to currantwood.ZoneID) float64 {
	if from == to {
		return 0
	}
	if b.regions[from] == b.regions[to] {
		return zonePenalty
	}
	return regionPenalty
}
