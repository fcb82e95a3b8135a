package currantwood

import (
	"math"
	"slices"
	"strings"
)

// RegionSet is a set of regions in which a request may be served. The zero value admits no
// region, so that a caller that forgets to state the regions finds no upstream.
type RegionSet struct {
	// any is whether all regions are in the set; regions is nil then.
	any bool
	// regions is sorted and has no duplicates.
	regions []RegionID
}

// AnyRegion returns the set of all regions.
func AnyRegion() RegionSet { return RegionSet{any: true} }

// Regions returns the set of the given regions. A region without a name is left out: the
// region of an unknown availability zone has none either.
func Regions(ids ...RegionID) RegionSet {
	sorted := slices.Sorted(slices.Values(ids))
	named := slices.DeleteFunc(slices.Compact(sorted), func(id RegionID) bool { return id == "" })
	return RegionSet{regions: named}
}

// Admits reports whether a region is in the set.
func (s RegionSet) Admits(id RegionID) bool {
	return s.any || slices.Contains(s.regions, id)
}

// IsEmpty reports whether the set admits no region.
func (s RegionSet) IsEmpty() bool { return !s.any && len(s.regions) == 0 }

// IsAny reports whether the set admits all regions.
func (s RegionSet) IsAny() bool { return s.any }

// Count returns the number of regions in the set; math.MaxInt for all regions.
func (s RegionSet) Count() int {
	if s.any {
		return math.MaxInt
	}
	return len(s.regions)
}

// Intersect returns the regions that are in both sets.
func (s RegionSet) Intersect(other RegionSet) RegionSet {
	switch {
	case s.any:
		return other
	case other.any:
		return s
	}
	var both []RegionID
	for _, id := range s.regions {
		if other.Admits(id) {
			both = append(both, id)
		}
	}
	return RegionSet{regions: both}
}

// String returns "any", "none" or the regions, separated by commas.
func (s RegionSet) String() string {
	if s.any {
		return "any"
	}
	if len(s.regions) == 0 {
		return "none"
	}
	names := make([]string, len(s.regions))
	for i, id := range s.regions {
		names[i] = string(id)
	}
	return strings.Join(names, ",")
}

// MarshalText returns String, for logs and golden files.
func (s RegionSet) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// IDs returns the regions in the set, sorted; none for the set of all regions, which doesn't
// list any.
func (s RegionSet) IDs() []RegionID { return slices.Clone(s.regions) }
