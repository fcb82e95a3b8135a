package picker_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/picker"
)

var start = time.Date(2026, 1, 5, 9, 0, 0, 0, time.UTC)

// newCandidate returns a candidate that has just reported.
func newCandidate(region string, headroom int, wait time.Duration) currantwood.Candidate {
	c := currantwood.Candidate{
		Region: currantwood.RegionID(region), Headroom: currantwood.TokenCount(headroom),
		PredictedWait: wait, ReportedAt: start, Latency: time.Millisecond,
	}
	if region != "home" {
		c.Latency = 12 * time.Millisecond
	}
	return c
}

func newPicker() *picker.Picker {
	return picker.New(picker.DefaultOptions("home"), rand.New(rand.NewPCG(1, 1)))
}

var _ = Describe("Picker", func() {
	demand := currantwood.Demand{PromptTokens: 200}

	DescribeTable("picks",
		func(want int, change func(*currantwood.Candidate), candidates ...currantwood.Candidate) {
			for i := range candidates {
				candidates[i].Upstream = currantwood.UpstreamID(fmt.Sprint(i))
			}
			if change != nil {
				change(&candidates[0])
			}
			for range 50 {
				Expect(newPicker().Pick(start, demand, candidates)).To(Equal(want))
			}
		},
		Entry("nothing if there are no candidates", -1, nil),
		Entry("the one with enough headroom", 1, nil, newCandidate("home", 100, 0), newCandidate("home", 9000, 0)),
		Entry("the shorter wait", 1, nil, newCandidate("home", 9000, 200*time.Millisecond), newCandidate("home", 9000, 0)),
		Entry("the one with the prefix cached", 0,
			func(c *currantwood.Candidate) { c.CachedTokens = 190 }, newCandidate("home", 9000, 0), newCandidate("home", 9000, 0)),
		Entry("another one if the one with the prefix cached is full", 1,
			func(c *currantwood.Candidate) { c.CachedTokens = 190 }, newCandidate("home", 400, 0), newCandidate("home", 9000, 0)),
		Entry("the own region even if it has less headroom left and a longer wait", 0, nil, newCandidate("home", 600, 50*time.Millisecond), newCandidate("far", 9000, 0)),
		Entry("the full own region while its wait is short", 0, nil, newCandidate("home", 0, 80*time.Millisecond), newCandidate("far", 9000, 0)),
		Entry("another region if it is faster despite its latency", 1, nil, newCandidate("home", 0, time.Second), newCandidate("far", 9000, 0)),
		Entry("another region if there is no other candidate", 0, nil, newCandidate("far", 0, time.Second)),
		Entry("not one whose report is old", 1,
			func(c *currantwood.Candidate) { c.ReportedAt = start.Add(-20 * time.Second) }, newCandidate("home", 9000, 0), newCandidate("home", 9000, 0)),
	)

	It("keeps a check in its region, since each side reserves memory for checks", func() {
		check := demand
		check.Class = currantwood.ClassCheck
		candidates := []currantwood.Candidate{newCandidate("home", 0, time.Second), newCandidate("far", 9000, 0)}
		Expect(newPicker().Pick(start, check, candidates)).To(Equal(0))
	})

	DescribeTable("decides whether a refused request is sent to a full side",
		func(refusals int, promised bool, want int) {
			refused := demand
			refused.Refused, refused.Promised = refusals, promised
			Expect(newPicker().Pick(start, refused, []currantwood.Candidate{newCandidate("home", 0, time.Second)})).To(Equal(want))
		},
		Entry("no, without a promise", 1, false, -1),
		Entry("yes, if it was promised and refused once", 1, true, 0),
		Entry("no, if it was promised and refused twice", 2, true, -1),
	)

	It("spreads requests evenly over equal candidates", func() {
		p := newPicker()
		candidates := make([]currantwood.Candidate, 10)
		for i := range candidates {
			candidates[i] = newCandidate("home", 100_000, 0)
			candidates[i].Upstream = currantwood.UpstreamID(fmt.Sprint(i))
		}
		counts := make([]int, len(candidates))
		for range 1000 {
			counts[p.Pick(start, demand, candidates)]++
		}
		for _, n := range counts {
			Expect(n).To(BeNumerically("~", 100, 25))
		}
	})

	It("stops picking a candidate once the requests sent there have used its reported headroom", func() {
		p := newPicker()
		candidates := []currantwood.Candidate{newCandidate("home", 5000, 0), newCandidate("home", 1000, 0)}
		candidates[0].Upstream, candidates[1].Upstream = "large", "small"
		small := 0
		for range 11 {
			small += p.Pick(start, demand, candidates)
		}
		Expect(small).To(BeNumerically("<=", 2))
	})
})

// BenchmarkPick measures a pick against the number of candidates.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{15, 60, 250, 1000} {
		b.Run(fmt.Sprintf("candidates=%d", n), func(b *testing.B) {
			p := newPicker()
			candidates := make([]currantwood.Candidate, n)
			for i := range candidates {
				region := "home"
				if i%3 > 0 {
					region = "far"
				}
				candidates[i] = newCandidate(region, 1<<40, time.Duration(i)*time.Millisecond)
				candidates[i].Upstream = currantwood.UpstreamID(fmt.Sprint("engine-", i))
			}
			now := start.Add(time.Second)
			b.ReportAllocs()
			for b.Loop() {
				p.Pick(now, currantwood.Demand{PromptTokens: 200}, candidates)
			}
		})
	}
}
