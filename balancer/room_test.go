package balancer

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/capacity/forecaster"
)

// Guards against a forecast of no wait, and with it a Retry-After that doesn't hold, for a
// request that finds memory at no engine as it must leave some to others.
var _ = DescribeTable("The room for a request of 4,000 tokens at an engine with 5,500 of 10,000 in use",
	func(spare currantwood.Share, open int, free currantwood.TokenCount, waits bool) {
		b := newBalancer("e1@n1")
		b.Started(start, view("e1", "n1"), Load{Requests: 1, MemoryTokens: 5500}, 0)
		q := Query{Group: "g", Zone: "n1", Regions: currantwood.AnyRegion(), RequireCapacity: true, SpareMemory: spare, Load: Load{Requests: 1, MemoryTokens: 4000}}
		room := b.Room(start, q)
		Expect(room.Open).To(Equal(open))
		Expect(room.RoomiestFree).To(Equal(free))
		forecast := forecaster.New().Forecast("g", room, forecaster.Work{Requests: 1, Memory: 4000}, forecaster.Work{})
		Expect(forecast > 0).To(Equal(waits))
	},
	Entry("that may use all memory", currantwood.Share(0), 1, currantwood.TokenCount(4500), false),
	Entry("that must leave a tenth", currantwood.Share(0.1), 0, currantwood.TokenCount(3500), true),
)
