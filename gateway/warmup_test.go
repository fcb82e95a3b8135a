package gateway

import (
	"math/rand"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/balancer"
	"github.com/currantwood/currantwood/configkeeper"
	"github.com/currantwood/currantwood/connkeeper"
	"github.com/currantwood/currantwood/memorykeeper"
	"github.com/currantwood/currantwood/noticekeeper"
	"github.com/currantwood/currantwood/placement/warmupkeeper"
	"github.com/currantwood/currantwood/upstreamkeeper"
)

var _ = Describe("A cold upstream", func() {
	var (
		g      *Gateway
		now    time.Time
		record currantwood.UpstreamRecord
	)
	apply := func() { g.ApplyUpstreamRecords(now, []currantwood.KeyedRecord{{Key: "e1", Value: []byte("record")}}) }
	isLimited := func() bool {
		return g.warmUps.IsLimited(now, warmupkeeper.Upstream{ID: "e1", Group: "g", Incarnation: 7})
	}

	BeforeEach(func() {
		now = start
		record = currantwood.UpstreamRecord{ID: "e1", Group: "g", Address: "10.0.0.1:80", Zone: "n1", Slots: 4, Sequence: 1, Incarnation: 7}
		configuration := configkeeper.New()
		configuration.SetIfNewer(currantwood.Configuration{Version: 1, Groups: map[currantwood.GroupID]currantwood.Group{"g": {ID: "g", WarmUpRate: 2}}})
		g = New(Options{
			Configuration: configuration, Random: rand.New(rand.NewSource(1)), Metrics: metrics.NewRegistry(), Logger: zap.NewNop(), Now: func() time.Time { return now },
			Connections: connkeeper.New(func() time.Time { return now }, memorykeeper.New(0, MaxResponseBytes, nil)),
			Decode:      func(string, []byte) (currantwood.UpstreamRecord, error) { return record, nil },
		})
		g.Tick(now)
	})

	// Guards against a source of cold periods that isn't connected, and against an end that is.
	DescribeTable("is known by",
		func(tell func()) {
			g.ReplaceUpstreamRecords(now, []currantwood.KeyedRecord{{Key: "e1", Value: []byte("record")}})
			Expect(isLimited()).To(BeFalse())
			tell()
			Expect(isLimited()).To(BeTrue())
			now = now.Add(3 * time.Second)
			g.Tick(now)
			Expect(isLimited()).To(BeFalse())
		},
		Entry("a newer record", func() {
			record.Sequence, record.WarmUp = 2, 3*time.Second
			apply()
		}),
		Entry("a record of a later incarnation", func() {
			record.Incarnation, record.WarmUp = 8, 3*time.Second
			apply()
		}),
		Entry("another gateway", func() {
			g.LearnNotices(now, "vm-2", noticekeeper.Notices{"e1": {Incarnation: 7, ColdUntil: now.Add(3 * time.Second)}})
		}),
		Entry("its own state", func() {
			g.ApplyUpstreamState(now, "e1", currantwood.UpstreamState{Incarnation: 7, WarmUp: currantwood.WarmUp{Known: true, Left: 3 * time.Second}})
			g.ApplyUpstreamState(now, "e1", currantwood.UpstreamState{Incarnation: 7, WarmUp: currantwood.WarmUp{Known: true}})
		}),
		Entry("a response", func() {
			q := &request{g: g}
			q.noteResponse(upstreamkeeper.View{UpstreamRecord: record}, now, &connkeeper.Exchange{Answer: currantwood.UpstreamResponse{WarmUp: currantwood.WarmUp{Known: true, Left: 3 * time.Second}}})
			Expect(g.HeardNotices(now)).To(HaveKeyWithValue(currantwood.UpstreamID("e1"), noticekeeper.Notice{Incarnation: 7, ColdUntil: now.Add(3 * time.Second)}))
		}),
	)

	// Guards against a gateway that takes a cold upstream in its first read for a warm one.
	It("is known by the first read of the directory", func() {
		record.WarmUp = time.Second
		g.ReplaceUpstreamRecords(now, []currantwood.KeyedRecord{{Key: "e1", Value: []byte("record")}})
		Expect(isLimited()).To(BeTrue())
	})

	// Guards against an ejection of a cold upstream that is slower than the gateway waits.
	It("hasn't failed if a request takes too long there, but has if it breaks the connection", func() {
		record.WarmUp = time.Second
		g.ReplaceUpstreamRecords(now, []currantwood.KeyedRecord{{Key: "e1", Value: []byte("record")}})
		q, view := &request{g: g}, upstreamkeeper.View{UpstreamRecord: record}
		Expect(q.failureOutcome(view, false)).To(Equal(balancer.Neutral))
		Expect(q.failureOutcome(view, true)).To(Equal(balancer.Failed))
		now = now.Add(2 * time.Second)
		Expect(q.failureOutcome(view, false)).To(Equal(balancer.Failed))
	})
})
