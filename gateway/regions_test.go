package gateway

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/balancer"
	"github.com/currantwood/currantwood/configkeeper"
)

// Guards against room that is kept free where nobody is bound, or not kept where a route
// and a customer together bind requests more closely than each.
var _ = DescribeTable("bindingsOf",
	func(ofRoute currantwood.RegionSet, ofCustomers []currantwood.RegionSet, want balancer.GroupBindings) {
		snapshot := &configkeeper.Snapshot{Configuration: currantwood.Configuration{
			Routes: []currantwood.Route{
				{ID: "r1", Regions: ofRoute, Split: []currantwood.WeightedGroup{{Group: "g"}}},
				{ID: "r2", Regions: currantwood.AnyRegion(), Split: []currantwood.WeightedGroup{{Group: "h"}}},
			},
			Keys: map[string]currantwood.KeyHolder{},
		}}
		for i, regions := range ofCustomers {
			snapshot.Keys[string(rune('a'+i))] = currantwood.KeyHolder{Regions: regions}
		}
		Expect(bindingsOf(snapshot)).To(Equal(want))
	},
	Entry("nobody", currantwood.AnyRegion(), []currantwood.RegionSet{currantwood.AnyRegion()}, balancer.GroupBindings{}),
	Entry("a route", currantwood.Regions("north", "south"), nil, balancer.GroupBindings{"g": {"north": 2, "south": 2}}),
	Entry("a customer, in the groups of all routes", currantwood.AnyRegion(), []currantwood.RegionSet{currantwood.Regions("north")},
		balancer.GroupBindings{"g": {"north": 1}, "h": {"north": 1}}),
	Entry("a route and a customer", currantwood.Regions("north", "south"), []currantwood.RegionSet{currantwood.Regions("south", "east")},
		balancer.GroupBindings{"g": {"north": 2, "south": 1}, "h": {"south": 2, "east": 2}}),
	Entry("a route and a customer without a common region", currantwood.Regions("north"), []currantwood.RegionSet{currantwood.Regions("south")},
		balancer.GroupBindings{"g": {"north": 1}, "h": {"south": 1}}),
	Entry("a list that can't be decoded", currantwood.RegionSet{}, []currantwood.RegionSet{{}}, balancer.GroupBindings{}),
)
