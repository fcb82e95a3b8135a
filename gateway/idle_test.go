package gateway

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
)

// Names the load: each of many gateways keeps connections to each upstream, which
// accepts so many from all together.
var _ = DescribeTable("the idle connections of all gateways leave half of what an upstream accepts",
	func(gateways, want int, accepted ...int) {
		groups := map[currantwood.GroupID]currantwood.Group{}
		for i, n := range accepted {
			groups[currantwood.GroupID(rune('a'+i))] = currantwood.Group{MaxConnections: n}
		}
		Expect(maxIdle(groups, gateways)).To(Equal(want))
	},
	Entry("few gateways", 4, 16, 242, 332),
	Entry("the group that accepts least decides", 4, 12, 242, 100),
	Entry("many gateways", 29, 5, 332),
	Entry("more than an upstream accepts", 2200, 1, 332),
	Entry("no number known", 29, 16, 0),
	Entry("none heard from yet", 0, 16, 332),
)
