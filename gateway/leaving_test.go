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
)

// Guards against runs that count as leaving for ever, or again after a restart of their
// upstream: the retry budget of moves would be divided among too many.
var _ = Describe("Upstreams that leave", func() {
	It("count from their notice until they have started again or the time is over", func() {
		record := currantwood.UpstreamRecord{ID: "e1", Group: "g", Address: "10.0.0.1:80", Zone: "n1", Slots: 4, Sequence: 1, Incarnation: 7}
		g := New(Options{
			Configuration: configkeeper.New(), Random: rand.New(rand.NewSource(1)), Metrics: metrics.NewRegistry(), Logger: zap.NewNop(), Now: func() time.Time { return start },
			Settings:    currantwood.GatewaySettings{Regions: map[currantwood.ZoneID]currantwood.RegionID{"n1": "north"}},
			Connections: connkeeper.New(func() time.Time { return start }),
			Decode:      func(string, []byte) (currantwood.UpstreamRecord, error) { return record, nil },
		})
		records := []currantwood.KeyedRecord{{Key: "e1", Value: []byte("record")}}
		g.ReplaceUpstreamRecords(start, records)
		Expect(g.leaving).To(BeEmpty())

		record.Leaving, record.Sequence = true, 2
		g.ApplyUpstreamRecords(start, records)
		Expect(g.leaving).To(HaveLen(1))

		record.Leaving, record.Sequence, record.Incarnation = false, 1, 8
		g.ApplyUpstreamRecords(start, records)
		Expect(g.leaving).To(BeEmpty())

		record.Leaving, record.Sequence = true, 2
		g.ApplyUpstreamRecords(start, records)
		g.countLeavingRuns(start.Add(leavingRetention + time.Millisecond))
		Expect(g.leaving).To(BeEmpty())
	})
})
