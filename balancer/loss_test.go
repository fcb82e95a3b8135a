package balancer

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/noticekeeper"
	"github.com/currantwood/currantwood/upstreamkeeper"
)

// newLossBalancer returns a balancer with upstreams in two zones of a region, and their views.
func newLossBalancer(upstreams int) (*Balancer, []upstreamkeeper.View) {
	zones := map[currantwood.ZoneID]currantwood.RegionID{"n1": "north", "n2": "north"}
	b := New(zones, noticekeeper.New(noticekeeper.Options{Rates: newRates(), Regions: zones}), rand.New(rand.NewSource(1)))
	b.SetGroups(map[currantwood.GroupID]currantwood.Group{"g": {ID: "g", Engine: &currantwood.EngineProperties{Slots: 24, MemoryTokens: 30_000}}})
	var views []upstreamkeeper.View
	for i := range upstreams {
		views = append(views, view(fmt.Sprintf("e%05d", i), []string{"n1", "n2"}[i%2]))
	}
	b.SetUpstreams(views)
	return b, views
}

// loseZone lets upstreams of zone n1 leave.
func loseZone(b *Balancer, count int) {
	var left []currantwood.UpstreamRecord
	for range count {
		left = append(left, currantwood.UpstreamRecord{Group: "g", Zone: "n1"})
	}
	b.Left(start, "g", left)
	b.RefreshLosses(start)
}

// picksInZone returns how many of 200 choices are in zone n1.
func picksInZone(b *Balancer, output currantwood.TokenCount) int {
	count := 0
	for range 200 {
		choice, err := b.Pick(start, Query{Group: "g", Zone: "n1", OutputTokens: output, Regions: currantwood.AnyRegion()})
		Expect(err).NotTo(HaveOccurred())
		if choice.View.Zone == "n1" {
			count++
		}
	}
	return count
}

// Guards against long generations at upstreams that are about to be taken away.
var _ = Describe("Upstreams of a zone that loses some", func() {
	It("get fewer long outputs, and short ones as before", func() {
		b, _ := newLossBalancer(20)
		before, short := picksInZone(b, 2000), picksInZone(b, 10)
		loseZone(b, 20)
		Expect(picksInZone(b, 2000)).To(BeNumerically("<", before/2))
		Expect(picksInZone(b, 10)).To(BeNumerically("~", short, 20))
	})

	It("are chosen as before once the losses are long ago", func() {
		b, _ := newLossBalancer(20)
		before := picksInZone(b, 2000)
		loseZone(b, 20)
		b.RefreshLosses(start.Add(5 * time.Minute))
		Expect(picksInZone(b, 2000)).To(BeNumerically("~", before, 20))
	})
})

// Guards against a penalty where there is nothing to choose.
var _ = Describe("Upstreams that are lost in all zones alike", func() {
	It("are chosen as if none was", func() {
		without, _ := newLossBalancer(20)
		with, _ := newLossBalancer(20)
		var left []currantwood.UpstreamRecord
		for i := range 20 {
			left = append(left, currantwood.UpstreamRecord{Group: "g", Zone: []currantwood.ZoneID{"n1", "n2"}[i%2]})
		}
		with.Left(start, "g", left)
		with.RefreshLosses(start)
		Expect(with.HighLossUpstreams()).To(BeZero())
		for range 200 {
			q := Query{Group: "g", Zone: "n1", OutputTokens: 2000, Regions: currantwood.AnyRegion()}
			want, err := without.Pick(start, q)
			Expect(err).NotTo(HaveOccurred())
			got, err := with.Pick(start, q)
			Expect(err).NotTo(HaveOccurred())
			Expect(got).To(Equal(want))
		}
	})
})

// BenchmarkRefreshLosses estimates the losses of 10,000 upstreams.
func BenchmarkRefreshLosses(b *testing.B) {
	balancer, _ := newLossBalancer(10_000)
	loseZone(balancer, 200)
	for b.Loop() {
		balancer.lossesAt = time.Time{}
		balancer.RefreshLosses(start)
	}
}

// BenchmarkPickLosses chooses among 10,000 upstreams, half of which are likely to be taken away.
func BenchmarkPickLosses(b *testing.B) {
	balancer, _ := newLossBalancer(10_000)
	loseZone(balancer, 200)
	balancer.SetGatewayCount(2200)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := balancer.Pick(start, Query{Group: "g", Zone: "n1", OutputTokens: 2000, Regions: currantwood.AnyRegion()}); err != nil {
			b.Fatal(err)
		}
	}
}
