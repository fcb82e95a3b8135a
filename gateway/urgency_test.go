package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/configkeeper"
)

// Guards against long generations that fill the engines before short ones whose clients wait
// for their first event.
var _ = DescribeTable("objectives.tighter",
	func(route currantwood.Route, want time.Duration) {
		split := []currantwood.WeightedGroup{{Group: "g", Weight: 1}}
		elsewhere := []currantwood.WeightedGroup{{Group: "h", Weight: 1}}
		snapshot := &configkeeper.Snapshot{Configuration: currantwood.Configuration{Routes: []currantwood.Route{
			{ID: "drafts", Stream: true, Priority: 7, Target: 4 * time.Second, Split: split},
			{ID: "answers", Stream: true, Priority: 9, Target: 1500 * time.Millisecond, Split: split},
			{ID: "more-answers", Stream: true, Priority: 9, Target: 2 * time.Second, Split: split},
			{ID: "background", Stream: true, Priority: 1, Target: 500 * time.Millisecond, Split: split},
			{ID: "calls", Priority: 9, Target: 100 * time.Millisecond, Split: split},
			{ID: "others", Stream: true, Priority: 9, Target: 200 * time.Millisecond, Split: elsewhere},
		}}}
		Expect(objectivesOf(snapshot).tighter("g", &route)).To(Equal(want))
	},
	Entry("for less urgent requests with a long target", currantwood.Route{Priority: 7, Target: 4 * time.Second}, 1500*time.Millisecond),
	Entry("for requests with the shortest target", currantwood.Route{Priority: 9, Target: 1500 * time.Millisecond}, time.Duration(0)),
	Entry("for requests of the same priority", currantwood.Route{Priority: 9, Target: 2 * time.Second}, 1500*time.Millisecond),
	Entry("for the least urgent requests", currantwood.Route{Priority: 0, Target: time.Second}, 500*time.Millisecond),
	Entry("for requests without a target", currantwood.Route{Priority: 7}, time.Duration(0)),
)
