package abandonkeeper

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
)

var start = time.Unix(1_700_000_000, 0)

var _ = Describe("Keeper", func() {
	DescribeTable("returns the runs that an upstream's end may be due to",
		func(incarnation, running int64, after time.Duration, taken int) {
			k := New()
			k.Add("u", Run{Suspects: []currantwood.Suspect{{Fingerprint: 7}}, Incarnation: incarnation, AbandonedAt: start})
			Expect(k.Take(start.Add(after), "u", running)).To(HaveLen(taken))
		},
		Entry("it has restarted", int64(1), int64(2), time.Second, 1),
		Entry("its record was removed", int64(1), int64(0), time.Second, 1),
		Entry("the run was at the incarnation that still runs", int64(2), int64(2), time.Second, 0),
		Entry("the run was abandoned long before", int64(1), int64(2), 7*time.Second, 0),
	)

	// Guards against memory without bound for runs of requests with very many suspects.
	It("bounds the suspects of the runs that it keeps at an upstream, and says how many runs are dropped", func() {
		k := New()
		many := make([]currantwood.Suspect, maxSuspects/2)
		Expect(k.Add("u", Run{Suspects: many, Incarnation: 1})).To(BeZero())
		Expect(k.Add("u", Run{Suspects: many, Incarnation: 2})).To(BeZero())
		Expect(k.Add("u", Run{Suspects: many[:1], Incarnation: 3})).To(Equal(1))
		Expect(k.Add("u", Run{Suspects: make([]currantwood.Suspect, 2*maxSuspects), Incarnation: 4})).To(Equal(2))
		Expect(k.runs["u"]).To(HaveExactElements(HaveField("Incarnation", int64(4))))
	})

	It("returns a run once, and only those of the upstream", func() {
		k := New()
		k.Add("u", Run{Suspects: []currantwood.Suspect{{Fingerprint: 7}}, Incarnation: 1, AbandonedAt: start})
		k.Add("v", Run{Suspects: []currantwood.Suspect{{Fingerprint: 8}}, Incarnation: 1, AbandonedAt: start})
		Expect(k.Take(start, "u", 0)).To(HaveLen(1))
		Expect(k.Take(start, "u", 0)).To(BeEmpty())
		Expect(k.Take(start, "v", 0)).To(HaveLen(1))
	})

	It("keeps the newest runs of an upstream, and none longer than retention", func() {
		k := New()
		for i := range 2 * maxRuns {
			k.Add("u", Run{Incarnation: int64(i), AbandonedAt: start.Add(time.Duration(i) * time.Millisecond)})
		}
		Expect(k.runs["u"]).To(HaveLen(maxRuns))
		Expect(k.runs["u"][0].Incarnation).To(Equal(int64(maxRuns)))
		k.DeleteExpired(start.Add(retention + time.Second))
		Expect(k.runs).To(BeEmpty())
	})
})
