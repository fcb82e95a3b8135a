package peermessenger

import (
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood/noticekeeper"
	"github.com/currantwood/currantwood/peerwire"
)

var _ = Describe("Notices in datagrams", func() {
	// Guards against gateways that don't learn that an upstream is cold, and against one that
	// takes an absent time for the end of a period.
	It("keep the time that is left of a cold period", func() {
		now, later := time.Unix(1000, 0), time.Unix(2000, 0)
		sent := noticekeeper.Notices{
			"cold":    {Incarnation: 3, ColdUntil: now.Add(1500 * time.Millisecond)},
			"leaving": {Incarnation: 4, Leaving: true},
		}
		Expect(decodeNotices(later, encodeNotices(now, sent))).To(Equal(noticekeeper.Notices{
			"cold":    {Incarnation: 3, ColdUntil: later.Add(1500 * time.Millisecond)},
			"leaving": {Incarnation: 4, Leaving: true},
		}))
	})

	It("bound a cold period", func() {
		now := time.Unix(1000, 0)
		Expect(decodeNotices(now, []*peerwire.Notice{{Upstream: "u", ColdMs: 1 << 62}})["u"].ColdUntil).To(Equal(now.Add(time.Hour)))
		Expect(decodeNotices(now, []*peerwire.Notice{{Upstream: "u", ColdMs: -5}})["u"].ColdUntil).To(BeZero())
	})
})

var _ = Describe("Rates in datagrams", func() {
	// Guards against an upstream that is never sent a request again after one malformed
	// datagram.
	DescribeTable("have a limit and a demand only if these are finite", func(figure float64, known bool, want float64) {
		limit := &peerwire.RateLimit{Upstream: "u", Demand: figure, Known: true, Limited: true, PerSecond: figure}
		rate := decodeRates(time.Unix(1000, 0), []*peerwire.RateLimit{limit})["u"]
		Expect(rate.Demand).To(Equal(want))
		Expect(rate.Limit.PerSecond).To(Equal(want))
		Expect(rate.Limit.Known).To(Equal(known))
	},
		Entry("a number", 2.5, true, 2.5),
		Entry("negative", -1.0, true, 0.0),
		Entry("not a number", math.NaN(), false, 0.0),
		Entry("infinite", math.Inf(1), false, 0.0),
	)
})

var _ = Describe("inTurn", func() {
	// Guards against items that are never sent, as there are always others before them.
	It("returns all items within as many turns as they take", func() {
		items := make([]int, 1000)
		for i := range items {
			items[i] = i
		}
		seen := make(map[int]bool)
		for turn := range 4 {
			returned := inTurn(time.Unix(0, 0).Add(time.Duration(turn)*turnTime), items, 256)
			Expect(len(returned)).To(BeNumerically("<=", 256))
			for _, item := range returned {
				seen[item] = true
			}
		}
		Expect(seen).To(HaveLen(1000))
		Expect(inTurn(time.Unix(7, 0), items[:256], 256)).To(HaveLen(256))
	})
})
