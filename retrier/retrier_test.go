package retrier

import (
	"math/rand"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/currantwood/currantwood"
)

var start = time.Unix(1_700_000_000, 0)

// failed is a failure that is tried again while the budget lasts.
func failed() Failure {
	return Failure{Tries: 1, Ran: currantwood.NotRun, Repeatable: true, Deadline: start.Add(time.Minute)}
}

var _ = Describe("Again", func() {
	DescribeTable("decides by what may have happened",
		func(change func(f *Failure), want Reason) {
			r := New(Options{}, rand.New(rand.NewSource(1)))
			f := failed()
			change(&f)
			_, reason := r.Again(start, f)
			Expect(reason).To(Equal(want))
		},
		Entry("nothing ran", func(*Failure) {}, None),
		Entry("a lookup that may have run", func(f *Failure) { f.Ran = currantwood.RanUnknown }, None),
		Entry("a booking that did not run", func(f *Failure) { f.Repeatable = false }, None),
		Entry("a booking that may have run", func(f *Failure) {
			f.Repeatable, f.Ran = false, currantwood.RanUnknown
		}, Unrepeatable),
		Entry("a booking that ran", func(f *Failure) {
			f.Repeatable, f.Ran = false, currantwood.RanDone
		}, Unrepeatable),
		Entry("tokens reached the caller", func(f *Failure) { f.Delivered = true }, AlreadyDelivered),
		Entry("the last try", func(f *Failure) { f.Tries = DefaultTries }, TooManyTries),
		Entry("the deadline has come", func(f *Failure) { f.Deadline = start }, PastDeadline),
	)

	It("draws the same delays from the same seed, within bounds that double", func() {
		a := New(Options{}, rand.New(rand.NewSource(7)))
		b := New(Options{}, rand.New(rand.NewSource(7)))
		for tries := 1; tries < DefaultTries; tries++ {
			f := failed()
			f.Tries = tries
			delay, _ := a.Again(start, f)
			again, _ := b.Again(start, f)
			Expect(delay).To(Equal(again))
			Expect(delay).To(BeNumerically("<=", 2*DefaultFirstDelay<<(tries-1)))
		}
	})

	It("never retries more than a tenth of the first tries beyond its reserve", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			r := New(Options{}, rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed"))))
			first, retries := 0, 0
			for range rapid.IntRange(1, 2000).Draw(t, "events") {
				if rapid.Bool().Draw(t, "first") {
					r.First()
					first++
					continue
				}
				if _, reason := r.Again(start, failed()); reason == None {
					retries++
				}
				if float64(retries) > DefaultReserve+float64(DefaultShare)*float64(first)+1e-6 {
					t.Fatalf("%d retries for %d first tries", retries, first)
				}
			}
		})
	})
})
