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
	"github.com/currantwood/currantwood/upstreamkeeper"
)

// Guards against a run that is moved to an engine that was chosen some seconds before.
var _ = DescribeTable("mayBeSent, of an engine that was chosen before,",
	func(change func(g *Gateway, record *currantwood.UpstreamRecord), want bool) {
		record := currantwood.UpstreamRecord{ID: "e1", Group: "g", Address: "10.0.0.1:80", Zone: "n1", Slots: 4, Sequence: 1, Incarnation: 7}
		g := New(Options{
			Configuration: configkeeper.New(), Random: rand.New(rand.NewSource(1)), Metrics: metrics.NewRegistry(), Logger: zap.NewNop(), Now: func() time.Time { return start },
			Settings:    currantwood.GatewaySettings{Regions: map[currantwood.ZoneID]currantwood.RegionID{"n1": "north", "s1": "south"}},
			Connections: connkeeper.New(func() time.Time { return start }, memorykeeper.New(0, MaxResponseBytes, nil)),
			Decode:      func(string, []byte) (currantwood.UpstreamRecord, error) { return record, nil },
		})
		records := []currantwood.KeyedRecord{{Key: "e1", Value: []byte("record")}}
		g.ReplaceUpstreamRecords(start, records)
		chosen := upstreamkeeper.View{UpstreamRecord: record}
		change(g, &record)
		record.Sequence++
		g.ApplyUpstreamRecords(start, records)
		q := &request{g: g, admittedRegions: currantwood.Regions("north")}
		Expect(q.mayBeSent(chosen)).To(Equal(want))
	},
	Entry("that is as it was", func(*Gateway, *currantwood.UpstreamRecord) {}, true),
	Entry("that leaves", func(_ *Gateway, r *currantwood.UpstreamRecord) { r.Leaving = true }, false),
	Entry("that has started again", func(_ *Gateway, r *currantwood.UpstreamRecord) { r.Incarnation++ }, false),
	Entry("whose zone is evacuated", func(g *Gateway, _ *currantwood.UpstreamRecord) {
		g.ReplaceEvacuations(start, evacuationkeeper.Position{}, []currantwood.ZoneID{"n1"})
	}, false),
	Entry("while another zone is evacuated", func(g *Gateway, _ *currantwood.UpstreamRecord) {
		g.ReplaceEvacuations(start, evacuationkeeper.Position{}, []currantwood.ZoneID{"s1"})
	}, true),
	Entry("that has asked for a pause", func(g *Gateway, _ *currantwood.UpstreamRecord) {
		g.notices.Observe(start, "e1", 7, currantwood.UpstreamResponse{DeclaredNotRun: true, Pause: time.Second})
	}, false),
)

// Guards against moves that compete in an order by the events left alone: the run with the long
// prompt, most of which was generated already, costs more if it is lost.
var _ = Describe("The value of a move", func() {
	run := func(prompt, output currantwood.TokenCount, lastEvent int64) *stream {
		s := &stream{request: &request{snapshot: &configkeeper.Snapshot{}}}
		s.client.Size = currantwood.GenerationSize{Prompt: prompt, Output: output}
		s.lastEvent.Store(lastEvent)
		return s
	}

	It("counts what would have to be read and generated again, and what is left", func() {
		Expect(run(30_000, 600, 500).moveValue()).To(BeNumerically(">", run(200, 800, 0).moveValue()))
		Expect(run(200, 800, 400).moveValue()).To(BeNumerically(">", run(200, 500, 0).moveValue()))
	})
})
