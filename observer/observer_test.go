package observer_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood/observer"
	"github.com/currantwood/currantwood/settingsreader"
)

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

func objective(measure string, bound time.Duration) settingsreader.Objective {
	return settingsreader.Objective{
		Name: measure, Measure: measure, Rule: "summaries", Share: 0.95,
		Bound: settingsreader.Duration(bound), Window: settingsreader.Duration(30 * 24 * time.Hour),
	}
}

// windows returns the counts of the first objective for each window.
func windows(o *observer.Observer, now time.Time) []observer.Window {
	snapshot, err := o.Snapshot(now, "e1")
	Expect(err).NotTo(HaveOccurred())
	return snapshot.Objectives[0].Windows
}

var _ = Describe("Observer", func() {
	DescribeTable("counts a value within the bound as good and a larger one as bad",
		func(measure string, bound time.Duration, tokensAt []time.Duration, answered bool, good, bad int) {
			o := observer.New(start, []settingsreader.Objective{objective(measure, bound)})
			r := o.Begin(start, "chambers", "summaries")
			for _, at := range tokensAt {
				r.RecordTokens(start.Add(at))
			}
			r.End(start.Add(time.Minute), answered)
			w := windows(o, start.Add(time.Minute))[0]
			Expect([]uint64{w.Good, w.Bad}).To(Equal([]uint64{uint64(good), uint64(bad)}))
		},
		Entry("first token within the bound", "first-token", 370*time.Millisecond, []time.Duration{370 * time.Millisecond}, true, 1, 0),
		Entry("first token after the bound", "first-token", 370*time.Millisecond, []time.Duration{371 * time.Millisecond}, true, 0, 1),
		Entry("one gap within the bound and one above it", "between-tokens", 30*time.Millisecond, []time.Duration{0, 30 * time.Millisecond, 61 * time.Millisecond}, true, 1, 1),
		Entry("gap equal to the stall threshold", "stall", 0*time.Second, []time.Duration{0, 200 * time.Millisecond}, true, 1, 0),
		Entry("gap above the stall threshold", "stall", 0*time.Second, []time.Duration{0, 201 * time.Millisecond}, true, 0, 1),
		Entry("answered", "answered", 0*time.Second, nil, true, 1, 0),
		Entry("refused", "answered", 0*time.Second, nil, false, 0, 1),
	)

	It("ignores requests of a rule that the objective does not select", func() {
		o := observer.New(start, []settingsreader.Objective{objective("answered", 0)})
		o.Begin(start, "chambers", "payments").End(start, true)
		Expect(windows(o, start)[0]).To(Equal(observer.Window{Seconds: 300}))
	})

	It("drops an event from each window at the latest when it is as old as the window", func() {
		o := observer.New(start, []settingsreader.Objective{objective("answered", 0)})
		o.Begin(start, "chambers", "summaries").End(start, false)
		bad := func(after time.Duration) (counts []uint64) {
			for _, w := range windows(o, start.Add(after)) {
				counts = append(counts, w.Bad)
			}
			return counts
		}
		Expect(bad(0)).To(Equal([]uint64{1, 1, 1, 1, 1}))
		Expect(bad(5 * time.Minute)).To(Equal([]uint64{0, 1, 1, 1, 1}))
		Expect(bad(time.Hour)).To(Equal([]uint64{0, 0, 1, 1, 1}))
		Expect(bad(72 * time.Hour)).To(Equal([]uint64{0, 0, 0, 0, 1}))
		Expect(bad(40 * 24 * time.Hour)).To(Equal([]uint64{0, 0, 0, 0, 0}))
	})
})
