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
	"github.com/currantwood/currantwood/upstreamkeeper"
)

var _ = Describe("The load levels of an upstream", func() {
	var (
		g    *Gateway
		now  time.Time
		view = upstreamkeeper.View{UpstreamRecord: currantwood.UpstreamRecord{ID: "e1", Group: "g", Slots: 24}}
	)

	BeforeEach(func() {
		now = start
		g = New(Options{
			Configuration: configkeeper.New(), Random: rand.New(rand.NewSource(1)), Metrics: metrics.NewRegistry(), Logger: zap.NewNop(), Now: func() time.Time { return now },
			Connections: connkeeper.New(func() time.Time { return now }, memorykeeper.New(0, MaxResponseBytes, nil)),
		})
	})

	exchange := func(relativeTime float64) *connkeeper.Exchange {
		return &connkeeper.Exchange{Answer: currantwood.UpstreamResponse{Running: 20, Slots: 24, RelativeTime: relativeTime}}
	}

	It("are observed from a call", func() {
		g.observeWork(view, exchange(1.5), 100*time.Millisecond, false)
		sums := g.OwnLoadLevels(now)
		sum := sums["e1"]
		Expect(sum.Weight()).To(Equal(1.5))
	})

	// Guards against observations of another upstream, and against groups that are served
	// differently although they report no time.
	It("aren't observed from a response without the time or of another instance", func() {
		g.observeWork(view, exchange(0), 100*time.Millisecond, false)
		other := exchange(1.5)
		other.Answer.OtherInstance = true
		g.observeWork(view, other, 100*time.Millisecond, false)
		Expect(g.OwnLoadLevels(now)).To(BeEmpty())
	})

	// Guards against processor time and weight for each event of a long stream.
	It("are observed once from the first events of a stream", func() {
		up := &upstreamStream{view: view, exchange: exchange(1.5)}
		for i := range 100 {
			now = start.Add(time.Duration(i) * 20 * time.Millisecond)
			g.recordProgress(up)
			g.observeInterval(up)
			if i < measuredIntervals {
				Expect(g.OwnLoadLevels(now)).To(BeEmpty())
			}
			if i == measuredIntervals {
				sum := g.OwnLoadLevels(now)["e1"]
				Expect(sum.Weight()).To(Equal(1.5))
			}
		}
		sum := g.OwnLoadLevels(now)["e1"]
		Expect(sum.Weight()).To(BeNumerically("<", 1.5))
	})
})
