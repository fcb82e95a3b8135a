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
	"github.com/currantwood/currantwood/budgeter"
	"github.com/currantwood/currantwood/configkeeper"
	"github.com/currantwood/currantwood/connkeeper"
	"github.com/currantwood/currantwood/memorykeeper"
)

// Guards against runs that count as leaving for ever, or again after a restart of their
// upstream: the retry budget of moves would be divided among too many.
var _ = Describe("Upstreams that leave", func() {
	It("count from their notice until they have started again or the time is over", func() {
		record := currantwood.UpstreamRecord{ID: "e1", Group: "g", Address: "10.0.0.1:80", Zone: "n1", Slots: 4, Sequence: 1, Incarnation: 7}
		g := New(Options{
			Configuration: configkeeper.New(), Random: rand.New(rand.NewSource(1)), Metrics: metrics.NewRegistry(), Logger: zap.NewNop(), Now: func() time.Time { return start },
			Settings:    currantwood.GatewaySettings{Regions: map[currantwood.ZoneID]currantwood.RegionID{"n1": "north"}},
			Connections: connkeeper.New(func() time.Time { return start }, memorykeeper.New(0, MaxResponseBytes, nil)),
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

// Guards against losses that count twice, by the notice and by the removal of the record after
// leavingRetention: the two that are too few for an estimate would count as four.
var _ = Describe("Upstreams whose records are removed long after their notice", func() {
	It("are lost once", func() {
		g := New(Options{
			Configuration: configkeeper.New(), Random: rand.New(rand.NewSource(1)), Metrics: metrics.NewRegistry(), Logger: zap.NewNop(), Now: func() time.Time { return start },
			Settings:    currantwood.GatewaySettings{Regions: map[currantwood.ZoneID]currantwood.RegionID{"n1": "north", "n2": "north"}},
			Connections: connkeeper.New(func() time.Time { return start }, memorykeeper.New(0, MaxResponseBytes, nil)),
			Decode: func(key string, value []byte) (currantwood.UpstreamRecord, error) {
				r := currantwood.UpstreamRecord{ID: currantwood.UpstreamID(key), Group: "g", Address: "10.0.0.1:80", Zone: "n2", Slots: 4, Sequence: 1, Incarnation: 7}
				if key < "d" {
					r.Zone = "n1"
				}
				if string(value) == "leaving" {
					r.Leaving, r.Sequence = true, 2
				}
				return r, nil
			},
		})
		var records []currantwood.KeyedRecord
		for key := 'a'; key <= 'v'; key++ {
			records = append(records, currantwood.KeyedRecord{Key: string(key), Value: []byte("record")})
		}
		g.ReplaceUpstreamRecords(start, records)
		g.ApplyUpstreamRecords(start, []currantwood.KeyedRecord{{Key: "a", Value: []byte("leaving")}, {Key: "b", Value: []byte("leaving")}})
		Expect(g.leaving).To(HaveLen(2))
		Expect(g.balancer.HighLossUpstreams()).To(Equal(1))
		removed := start.Add(leavingRetention + time.Second)
		g.countLeavingRuns(removed)
		Expect(g.leaving).To(BeEmpty())

		g.ReplaceUpstreamRecords(removed, records[2:])
		Expect(g.balancer.HighLossUpstreams()).To(BeZero())
	})
})

// Guards against a count of runs that stays at its last value when the only leaving upstream
// starts again: the next one with as many runs wouldn't be noticed, and moves would be divided
// among all gateways.
var _ = Describe("The count of runs at leaving upstreams, after the only one has started again", func() {
	It("rises again with the next one", func() {
		record := currantwood.UpstreamRecord{ID: "e1", Group: "g", Address: "10.0.0.1:80", Zone: "n1", Slots: 4, Sequence: 1, Incarnation: 7}
		g := New(Options{
			Configuration: configkeeper.New(), Random: rand.New(rand.NewSource(1)), Metrics: metrics.NewRegistry(), Logger: zap.NewNop(), Now: func() time.Time { return start },
			Settings: currantwood.GatewaySettings{
				Regions: map[currantwood.ZoneID]currantwood.RegionID{"n1": "north"}, FirstStart: true,
				Bounds: currantwood.Bounds{RetryWindow: 10 * time.Second, RetryShare: 0.2, RetryReserve: 54},
			},
			Connections: connkeeper.New(func() time.Time { return start }, memorykeeper.New(0, MaxResponseBytes, nil)),
			Decode:      func(string, []byte) (currantwood.UpstreamRecord, error) { return record, nil },
		})
		records := []currantwood.KeyedRecord{{Key: "e1", Value: []byte("record")}}
		loads := balancer.Loads{"e1": {Requests: 5}}
		g.ReplaceUpstreamRecords(start, records)
		g.SetPeerLoads(start, loads)
		record.Leaving, record.Sequence = true, 2
		g.ApplyUpstreamRecords(start, records)
		record.Leaving, record.Sequence, record.Incarnation = false, 1, 8
		g.ApplyUpstreamRecords(start.Add(time.Second), records)

		now := start.Add(10 * time.Second)
		g.SetPeerLoads(now, loads)
		record.Leaving, record.Sequence = true, 2
		g.ApplyUpstreamRecords(now, records)
		now = now.Add(300 * time.Millisecond)
		g.SetPeerLoads(now, loads)
		g.SetBudgetPeers(now, budgeter.Peers{Usage: budgeter.GroupUsage{"g": {Requests: 400}}, Gateways: 68, Established: 68})
		moves := 0
		for g.takeRetryBudget(now, "g", budgeter.MovedRun) {
			moves++
		}
		Expect(moves).To(BeNumerically(">", 5))
	})
})
