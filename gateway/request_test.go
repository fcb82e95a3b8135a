package gateway

import (
	"math/rand"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/configkeeper"
	"github.com/currantwood/currantwood/connkeeper"
	"github.com/currantwood/currantwood/memorykeeper"
	"github.com/currantwood/currantwood/placement/evacuationkeeper"
)

var start = time.Unix(1_700_000_000, 0)

// configuration returns a configuration of the given version that has the given
// keys.
func configuration(version currantwood.ConfigurationVersion, keys ...string) currantwood.Configuration {
	c := currantwood.Configuration{Version: version, RequiresKeys: true, Keys: map[string]currantwood.KeyHolder{}}
	for _, key := range keys {
		c.Keys[key] = currantwood.KeyHolder{Customer: "ada"}
	}
	return c
}

var _ = Describe("Ready", func() {
	It("is false until the configuration and the upstreams are read, and once the configuration is too old for readiness", func() {
		keeper := configkeeper.New()
		g := New(Options{
			Connections:   connkeeper.New(time.Now, memorykeeper.New(0, MaxResponseBytes, nil)),
			Configuration: keeper, Random: rand.New(rand.NewSource(1)), Metrics: metrics.NewRegistry(), Logger: zap.NewNop(), Now: func() time.Time { return start },
			Settings: currantwood.GatewaySettings{Bounds: currantwood.Bounds{FailClosed: true, RevocationTime: 5 * time.Second}},
		})
		Expect(g.Ready(start)).To(BeFalse())
		keeper.SetIfNewer(configuration(1, "k"))
		keeper.Confirm(start)
		Expect(g.Ready(start)).To(BeFalse())
		g.ReplaceUpstreamRecords(start, nil)
		Expect(g.Ready(start)).To(BeFalse(), "the crashes in the store aren't read")
		g.SetCrashesLoaded()
		Expect(g.Ready(start)).To(BeFalse(), "the evacuations aren't read")
		g.ReplaceEvacuations(start, evacuationkeeper.Position{}, nil)
		Expect(g.Ready(start)).To(BeTrue())
		Expect(g.Ready(start.Add(4 * time.Second))).To(BeFalse())
	})
})

var _ = DescribeTable("recheckKey",
	func(anonymous bool, age time.Duration, newKeys []string, want bool) {
		keeper := configkeeper.New()
		keeper.SetIfNewer(configuration(1, "k", "other"))
		keeper.Confirm(start.Add(-age))
		g := &Gateway{Options: Options{Configuration: keeper, Settings: currantwood.GatewaySettings{
			Bounds: currantwood.Bounds{FailClosed: true, RevocationTime: 5 * time.Second},
		}}}
		q := &request{g: g, snapshot: keeper.Current(), route: &currantwood.Route{Anonymous: anonymous}, client: currantwood.ClientRequest{APIKey: "k"}}
		if newKeys != nil {
			keeper.SetIfNewer(configuration(2, newKeys...))
			keeper.Confirm(start)
		}
		Expect(q.recheckKey(start) == nil).To(Equal(want))
	},
	Entry("accepts a key of a fresh configuration", false, time.Second, nil, true),
	Entry("refuses a key if the configuration is too old", false, 4500*time.Millisecond, nil, false),
	Entry("ignores the age on an anonymous route", true, time.Hour, nil, true),
	Entry("accepts a key that a newer version still has", false, 10*time.Second, []string{"k"}, true),
	Entry("refuses a key that a newer version removed after the request was admitted", false, 10*time.Second, []string{"other"}, false),
	Entry("refuses the last key once a newer version removed it", false, time.Second, []string{}, false),
	Entry("refuses a removed key even if the version that had it was fresh", false, time.Second, []string{"other"}, false),
)

// A long stream that arrives 3.5 s after SIGTERM, 4.2 s before the process ends,
// from a client that expects a short one, would be cut off: the gateway must go
// by the maximum length, not by the client's estimate. The pattern is from
// deploy/days/gateways-frozen-and-killed.toml (barge, seed 545422956311).
// Resumable streams and calls that arrived as late were cut off as well.
var _ = DescribeTable("a stopping gateway accepts a stream only if it ends in time at its maximum length or by its deadline",
	func(output, hint currantwood.TokenCount, resumable bool, timeout time.Duration, want bool) {
		q := stoppingRequest(4200 * time.Millisecond)
		q.route = &currantwood.Route{Stream: true, Resumable: resumable, Target: 1800 * time.Millisecond}
		q.client = currantwood.ClientRequest{LengthHint: hint, Size: currantwood.GenerationSize{Output: output}}
		q.deadline = start.Add(timeout)
		Expect(q.checkServable(start) == nil).To(Equal(want))
	},
	Entry("long, with a short estimate", currantwood.TokenCount(2204), currantwood.TokenCount(80), false, 39*time.Second, false),
	Entry("long, without an estimate", currantwood.TokenCount(2204), currantwood.TokenCount(0), false, 39*time.Second, false),
	Entry("short", currantwood.TokenCount(160), currantwood.TokenCount(0), false, 39*time.Second, true),
	Entry("long and resumable", currantwood.TokenCount(2204), currantwood.TokenCount(0), true, 39*time.Second, false),
	Entry("short and resumable", currantwood.TokenCount(160), currantwood.TokenCount(0), true, 39*time.Second, true),
	Entry("long, but with a near deadline", currantwood.TokenCount(2204), currantwood.TokenCount(0), true, 3800*time.Millisecond, true),
	Entry("long, with a deadline right before the process ends", currantwood.TokenCount(2204), currantwood.TokenCount(0), true, 4*time.Second, false),
)

// Guards against streams that are cut off since the gateway knew the pace of engines from a
// quiet time only.
var _ = DescribeTable("a stopping gateway accepts a stream only if it ends in time at the slowest pace that is on time",
	func(output currantwood.TokenCount, want bool) {
		q := stoppingRequest(4200 * time.Millisecond)
		q.route = &currantwood.Route{Stream: true, Target: 1500 * time.Millisecond, GapTarget: 180 * time.Millisecond}
		q.client = currantwood.ClientRequest{Size: currantwood.GenerationSize{Output: output}}
		q.deadline = start.Add(39 * time.Second)
		Expect(q.checkServable(start) == nil).To(Equal(want))
	},
	Entry("13 events", currantwood.TokenCount(52), true),
	Entry("14 events", currantwood.TokenCount(56), false),
	Entry("50 events, which would fit at the pace of a quiet time", currantwood.TokenCount(200), false),
)

var _ = DescribeTable("a stopping gateway accepts a call if it ends by its deadline or, at first, if it usually ends in time",
	func(afterStop, left, timeout time.Duration, want bool) {
		q := stoppingRequest(left)
		q.g.shutdown.Load().began = start.Add(-afterStop)
		q.route = &currantwood.Route{Target: 150 * time.Millisecond}
		q.deadline = start.Add(timeout)
		Expect(q.checkServable(start) == nil).To(Equal(want))
	},
	Entry("at first, with a far deadline", time.Second, 6700*time.Millisecond, 39*time.Second, true),
	Entry("at first, with less time left than calls may take", time.Second, 500*time.Millisecond, 39*time.Second, false),
	Entry("later, with a far deadline", 3100*time.Millisecond, 4600*time.Millisecond, 39*time.Second, false),
	Entry("later, with a near deadline", 3100*time.Millisecond, 4600*time.Millisecond, 2*time.Second, true),
	Entry("at the end, with a near deadline", 7*time.Second, 700*time.Millisecond, 800*time.Millisecond, false),
)

// stoppingRequest returns a request without route and deadline at a gateway that ends after
// left.
func stoppingRequest(left time.Duration) *request {
	g := New(Options{
		Connections:   connkeeper.New(time.Now, memorykeeper.New(0, MaxResponseBytes, nil)),
		Configuration: configkeeper.New(), Random: rand.New(rand.NewSource(1)), Metrics: metrics.NewRegistry(), Logger: zap.NewNop(), Now: func() time.Time { return start },
	})
	g.Stop(start, start.Add(left))
	return &request{g: g, arrived: start, group: "g", snapshot: &configkeeper.Snapshot{Configuration: currantwood.Configuration{
		Groups: map[currantwood.GroupID]currantwood.Group{"g": {ID: "g", Engine: &currantwood.EngineProperties{TokensPerEvent: 4}}},
	}}}
}
