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

// newFailure returns a failure that is retried as long as the budget lasts.
func newFailure() Failure {
	return Failure{Attempts: 1, Ran: currantwood.NotRun, Repeatable: true, Deadline: start.Add(time.Minute)}
}

var _ = Describe("Decide", func() {
	DescribeTable("retries what may be retried and gives the reason otherwise",
		func(change func(f *Failure), want Reason) {
			r := New(Options{}, rand.New(rand.NewSource(1)))
			f := newFailure()
			change(&f)
			_, reason := r.Decide(start, f)
			Expect(reason).To(Equal(want))
		},
		Entry("a repeatable request that did not run", func(*Failure) {}, None),
		Entry("a repeatable request that may have run", func(f *Failure) { f.Ran = currantwood.RanUnknown }, None),
		Entry("an unrepeatable request that did not run", func(f *Failure) { f.Repeatable = false }, None),
		Entry("an unrepeatable request that may have run", func(f *Failure) {
			f.Repeatable, f.Ran = false, currantwood.RanUnknown
		}, Unrepeatable),
		Entry("an unrepeatable request that ran", func(f *Failure) {
			f.Repeatable, f.Ran = false, currantwood.RanDone
		}, Unrepeatable),
		Entry("a response that has partly reached the caller", func(f *Failure) { f.Delivered = true }, AlreadyDelivered),
		Entry("the last attempt", func(f *Failure) { f.Attempts = DefaultMaxAttempts }, TooManyAttempts),
		Entry("a deadline that has come", func(f *Failure) { f.Deadline = start }, PastDeadline),
	)

	It("draws the same delays from the same seed, within a bound that doubles", func() {
		a := New(Options{}, rand.New(rand.NewSource(7)))
		b := New(Options{}, rand.New(rand.NewSource(7)))
		for attempts := 1; attempts < DefaultMaxAttempts; attempts++ {
			f := newFailure()
			f.Attempts = attempts
			delay, _ := a.Decide(start, f)
			sameDelay, _ := b.Decide(start, f)
			Expect(delay).To(Equal(sameDelay))
			Expect(delay).To(BeNumerically("<=", 2*DefaultBaseDelay<<(attempts-1)))
		}
	})

	It("makes at most as many retries as the initial budget and a tenth of the first attempts", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			r := New(Options{}, rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed"))))
			firstAttempts, retries := 0, 0
			for range rapid.IntRange(1, 2000).Draw(t, "events") {
				if rapid.Bool().Draw(t, "first") {
					r.RecordFirstAttempt()
					firstAttempts++
					continue
				}
				if _, reason := r.Decide(start, newFailure()); reason == None {
					retries++
				}
				if float64(retries) > DefaultMaxBudget+float64(DefaultShare)*float64(firstAttempts)+1e-6 {
					t.Fatalf("%d retries for %d first attempts", retries, firstAttempts)
				}
			}
		})
	})
})
