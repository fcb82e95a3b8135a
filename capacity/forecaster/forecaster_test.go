package forecaster

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var start = time.Unix(1_700_000_000, 0)

// full is a group of ten engines whose memory is in use, half of it by this gateway. With a
// stay of 2 s, 50 requests and 50,000 tokens become free a second.
var full = Room{Engines: 10, FreeSlots: 20, Gateways: 4, Total: Work{100, 100_000}, Own: Work{50, 50_000}}

var _ = DescribeTable("Forecast of the time until there is room",
	func(change func(*Room), own, ahead Work, want time.Duration) {
		room := full
		change(&room)
		Expect(New().Forecast("g", room, own, ahead)).To(BeNumerically("~", want, time.Millisecond))
	},
	Entry("one that fits now", func(r *Room) { r.Open = 1 }, Work{1, 1000}, Work{}, time.Duration(0)),
	Entry("until one engine has freed the memory", func(*Room) {}, Work{1, 1000}, Work{}, 200*time.Millisecond),
	Entry("a part of which is free", func(r *Room) { r.RoomiestFree = 500 }, Work{1, 1000}, Work{}, 100*time.Millisecond),
	Entry("after those ahead, from half of what becomes free", func(*Room) {}, Work{1, 1000}, Work{24, 24_000}, time.Second),
	Entry("without free slots", func(r *Room) { r.FreeSlots = 0; r.RoomiestFree = 1000 }, Work{1, 100}, Work{24, 2400}, time.Second),
	Entry("at an even share for a gateway without requests", func(r *Room) { r.Own = Work{}; r.RoomiestFree = 1000 }, Work{1, 1000}, Work{11, 12_500}, time.Second),
	Entry("with a queue of prompts that is too long", func(r *Room) { r.PrefillExcess = 100 * time.Millisecond }, Work{1, 1000}, Work{}, 100*time.Millisecond),
	Entry("nothing runs, so nothing ends", func(r *Room) { r.Total, r.Own = Work{}, Work{} }, Work{1, 1000}, Work{}, maxForecast),
	Entry("no engine", func(r *Room) { r.Engines = 0 }, Work{1, 1000}, Work{}, maxForecast),
)

var _ = Describe("Forecaster", func() {
	It("learns how long generations stay, weighted by their memory", func() {
		f := New()
		f.Ended("g", 4*time.Second, 1000)
		Expect(f.Forecast("g", full, Work{1, 1000}, Work{})).To(BeNumerically("~", 400*time.Millisecond, time.Millisecond))
		f.Ended("other", time.Second, 1000)
		Expect(f.Forecast("g", full, Work{1, 1000}, Work{})).To(BeNumerically("~", 400*time.Millisecond, time.Millisecond))
	})

	It("records a promise until the client retries", func() {
		f := New()
		f.Promise(start, 7, "g", Work{1, 1000}, time.Second)
		Expect(f.Promised(start, "g")).To(Equal(Work{1, 1000}))
		Expect(f.Redeem(start.Add(500*time.Millisecond), 7)).To(BeFalse(), "too early")
		Expect(f.Redeem(start.Add(1200*time.Millisecond), 8)).To(BeFalse(), "another request")
		Expect(f.Redeem(start.Add(1200*time.Millisecond), 7)).To(BeTrue())
		Expect(f.Promised(start.Add(1200*time.Millisecond), "g")).To(Equal(Work{}))
		Expect(f.Redeem(start.Add(1200*time.Millisecond), 7)).To(BeFalse(), "used up")
	})

	It("drops a promise whose client doesn't retry, and counts a request once", func() {
		f := New()
		f.Promise(start, 7, "g", Work{1, 1000}, time.Second)
		f.Promise(start, 7, "g", Work{1, 1000}, 2*time.Second)
		Expect(f.Promised(start, "g")).To(Equal(Work{1, 1000}))
		Expect(f.Promised(start.Add(4*time.Second), "g")).To(Equal(Work{}))
		Expect(f.HasPromises()).To(BeFalse())
	})

	It("bounds the promises", func() {
		f := New()
		for key := range Key(2 * maxPromises) {
			f.Promise(start, key, "g", Work{1, 1}, time.Second)
		}
		Expect(f.Promised(start, "g").Requests).To(Equal(maxPromises))
	})
})

var _ = Describe("Promises of other gateways", func() {
	now := time.Unix(1_700_000_000, 0)

	// Guards against a client that comes back to another gateway and is refused again.
	It("are redeemed once, at their time", func() {
		home, other := New(), New()
		home.Promise(now, 7, "g", Work{Requests: 1}, time.Second)
		Expect(home.Recent(now, 10)).To(HaveLen(1))
		other.Learn(now, home.Recent(now, 10))
		Expect(other.Promised(now, "g")).To(BeZero(), "booked at the other gateway")
		Expect(other.Redeem(now.Add(500*time.Millisecond), 7)).To(BeFalse(), "too early")
		Expect(other.Redeem(now.Add(time.Second), 7)).To(BeTrue())
		other.Learn(now.Add(time.Second), home.Recent(now, 10))
		Expect(other.Redeem(now.Add(time.Second), 7)).To(BeFalse(), "redeemed before a late message")
	})

	// Guards against a second promise to the same client that others ignore, since they hold the
	// first one until it expires.
	It("replace the former one of a client that was refused again", func() {
		home, other := New(), New()
		home.Promise(now, 7, "g", Work{Requests: 1}, time.Second)
		other.Learn(now, home.Recent(now, 10))
		second := now.Add(time.Second)
		Expect(other.Redeem(second, 7)).To(BeTrue())
		other.Promise(second, 7, "g", Work{Requests: 1}, 2*time.Second)
		home.Learn(second, other.Recent(second, 10))
		Expect(home.Promised(second, "g")).To(BeZero(), "the client has come back elsewhere")
		Expect(home.Redeem(second.Add(2*time.Second), 7)).To(BeTrue())
	})

	// Guards against the same request of two clients: the second promise comes before the
	// first client can have returned.
	It("don't replace one whose time hasn't come", func() {
		home := New()
		home.Promise(now, 7, "g", Work{Requests: 1}, time.Second)
		home.Learn(now, []SharedPromise{{Key: 7, At: now.Add(3 * time.Second), Expires: now.Add(5 * time.Second)}})
		Expect(home.Redeem(now.Add(time.Second), 7)).To(BeTrue())
	})

	It("are told for a moment only, the newest if there are many", func() {
		f := New()
		f.Promise(now, 1, "g", Work{}, time.Second)
		f.Promise(now.Add(time.Millisecond), 2, "g", Work{}, time.Second)
		Expect(f.Recent(now.Add(time.Millisecond), 1)).To(HaveExactElements(HaveField("Key", Key(2))))
		Expect(f.Recent(now.Add(shareTime+time.Millisecond), 10)).To(BeEmpty())
	})
})

// Guards against promises of other gateways that take the place of own ones, whose work would
// then not count as ahead of others.
var _ = Describe("A table full of promises of other gateways", func() {
	now := time.Unix(1_700_000_000, 0)

	full := func(f *Forecaster) []SharedPromise {
		var others []SharedPromise
		for i := range 2 * maxPromises {
			others = append(others, SharedPromise{Key: Key(i), At: now.Add(time.Second), Expires: now.Add(2 * time.Second)})
		}
		f.Learn(now, others)
		return others
	}

	It("has room for own promises, and is bounded", func() {
		f := New()
		full(f)
		Expect(f.promises).To(HaveLen(maxPromises))
		f.Promise(now, 1<<40, "g", Work{Requests: 1}, time.Second)
		Expect(f.Promised(now, "g").Requests).To(Equal(1))
		f.Promise(now, 1, "g", Work{Requests: 1}, time.Second)
		Expect(f.Promised(now, "g").Requests).To(Equal(2))
		f.Promised(now.Add(time.Minute), "g")
		Expect(f.promises).To(BeEmpty())
		full(f)
		Expect(f.promises).To(HaveLen(maxPromises))
	})

	// Guards against promises that are taken for known ones, since they aren't searched for
	// expired ones with each message.
	It("takes a promise again once it has expired", func() {
		f := New()
		full(f)
		f.Learn(now.Add(2*time.Second-time.Millisecond), nil)
		again := now.Add(2 * time.Second)
		f.Learn(again, []SharedPromise{{Key: 1, At: again, Expires: again.Add(time.Second)}})
		Expect(f.Redeem(again, 1)).To(BeTrue())
	})
})

// newBenchmarkForecaster returns a forecaster with the largest number of promises of others.
func newBenchmarkForecaster() (*Forecaster, []SharedPromise) {
	f := New()
	var others []SharedPromise
	for i := range maxPromises {
		others = append(others, SharedPromise{Key: Key(i), At: start.Add(time.Second), Expires: start.Add(2 * time.Second)})
	}
	f.Learn(start, others)
	return f, others
}

// BenchmarkLearn notes a message with 128 known promises.
func BenchmarkLearn(b *testing.B) {
	f, others := newBenchmarkForecaster()
	b.ReportAllocs()
	for b.Loop() {
		f.Learn(start, others[:128])
	}
}

// BenchmarkRecent collects 128 promises for a message.
func BenchmarkRecent(b *testing.B) {
	f, _ := newBenchmarkForecaster()
	b.ReportAllocs()
	for b.Loop() {
		f.Recent(start, 128)
	}
}
