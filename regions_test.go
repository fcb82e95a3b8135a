package currantwood

import (
	"testing"

	. "github.com/onsi/gomega"
)

// TestRegionSet guards against a set that admits more regions than route and customer both
// allow.
func TestRegionSet(t *testing.T) {
	tests := []struct {
		name   string
		set    RegionSet
		text   string
		admits map[RegionID]bool
	}{
		{"zero value", RegionSet{}, "none", map[RegionID]bool{"north": false, "": false}},
		{"all regions", AnyRegion(), "any", map[RegionID]bool{"north": true, "": true}},
		{"two regions", Regions("south", "north", "south"), "north,south", map[RegionID]bool{"north": true, "south": true, "east": false, "": false}},
		{"a region without a name", Regions("", "north"), "north", map[RegionID]bool{"north": true, "": false}},
		{"only a region without a name", Regions(""), "none", map[RegionID]bool{"": false}},
		{"all and one", AnyRegion().Intersect(Regions("north")), "north", map[RegionID]bool{"north": true, "south": false}},
		{"one and all", Regions("north").Intersect(AnyRegion()), "north", map[RegionID]bool{"north": true, "south": false}},
		{"overlap", Regions("north", "east").Intersect(Regions("east", "south")), "east", map[RegionID]bool{"north": false, "east": true, "south": false}},
		{"no overlap", Regions("north").Intersect(Regions("south")), "none", map[RegionID]bool{"north": false, "south": false}},
		{"zero value and all", RegionSet{}.Intersect(AnyRegion()), "none", map[RegionID]bool{"north": false}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(test.set.String()).To(Equal(test.text))
			g.Expect(test.set.IsEmpty()).To(Equal(test.text == "none"))
			for id, admitted := range test.admits {
				g.Expect(test.set.Admits(id)).To(Equal(admitted), "region %q", id)
			}
		})
	}
}
