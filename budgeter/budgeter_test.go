package budgeter

import (
	"math/rand"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
)

var start = time.Unix(1_700_000_000, 0)

const group currantwood.GroupID = "g"

var options = Options{Window: 10 * time.Second, RetryShare: 0.2, Reserve: 54, FirstStart: true}

var _ = Describe("Budgeter", func() {
	It("allows a part of its own budget without any report of its peers", func() {
		b := New(options, start)
		Expect(retryWhileAllowed(b, start, FailedRequest, 100)).To(Equal(1))
		Expect(retryWhileAllowed(b, start, MovedRun, 100)).To(Equal(1))
	})

	It("allows more when its peers report few retries, and after each report a part of what is left", func() {
		b := New(options, start)
		reported := GroupUsage{group: {Requests: 100}}
		b.SetPeers(start, Peers{Usage: reported, Gateways: 4, Established: 4})
		Expect(retryWhileAllowed(b, start, MovedRun, 100)).To(Equal(14))
		b.SetPeers(start, Peers{Usage: reported, Gateways: 4, Established: 4})
		Expect(b.Allows(start, group, MovedRun)).To(BeFalse(), "the others haven't heard of the first ones")
		later := start.Add(reportDelay)
		b.SetPeers(later, Peers{Usage: reported, Gateways: 4, Established: 4})
		Expect(retryWhileAllowed(b, later, MovedRun, 100)).To(Equal(11))
		b.SetPeers(start, Peers{Usage: GroupUsage{group: {Requests: 100, Retries: 60}}, Gateways: 4, Established: 4})
		Expect(b.Allows(start, group, MovedRun)).To(BeFalse())
	})

	// Guards against a gateway that took itself for the only one, as the settings named no other
	// when it started.
	It("gives up what is the others' when the settings name more gateways", func() {
		alone := options
		alone.MinGateways, alone.NamedGateways = 1, 1
		b := New(alone, start)
		before := retryWhileAllowed(b, start, MovedRun, 100)
		b = New(alone, start)
		b.SetNamedGateways(4, 3)
		Expect(retryWhileAllowed(b, start, MovedRun, 100)).To(BeNumerically("<", before))
	})

	It("keeps a part for runs that are moved", func() {
		b := New(options, start)
		reported := GroupUsage{group: {Requests: 100, Retries: 35}}
		b.SetPeers(start, Peers{Usage: reported, Gateways: 4, Established: 4})
		Expect(b.Allows(start, group, FailedRequest)).To(BeTrue())
		retryWhileAllowed(b, start, MovedRun, 3)
		Expect(b.Allows(start, group, FailedRequest)).To(BeFalse())
		Expect(b.Allows(start, group, MovedRun)).To(BeTrue())
	})

	It("returns to its guaranteed part when the reports of its peers stop", func() {
		b := New(options, start)
		b.SetPeers(start, Peers{Usage: GroupUsage{group: {Requests: 400}}, Gateways: 4, Established: 4})
		later := start.Add(2 * time.Second)
		Expect(retryWhileAllowed(b, later, MovedRun, 100)).To(Equal(2))
	})

	It("has no part of the reserve until a window after a start that isn't the first", func() {
		restarted := options
		restarted.FirstStart = false
		b := New(restarted, start)
		Expect(b.Allows(start.Add(9*time.Second), group, MovedRun)).To(BeFalse())
		b.SetPeers(start.Add(9*time.Second), Peers{Gateways: 4})
		Expect(b.Allows(start.Add(9*time.Second), group, MovedRun)).To(BeFalse())
		b.SetPeers(start.Add(9*time.Second), Peers{Gateways: 4, Established: 3})
		Expect(b.Allows(start.Add(9*time.Second), group, MovedRun)).To(BeTrue())
		Expect(b.Allows(start.Add(11*time.Second), group, MovedRun)).To(BeTrue())
	})

	It("doesn't count retries that have left the window", func() {
		b := New(options, start)
		retryWhileAllowed(b, start, MovedRun, 100)
		Expect(b.Allows(start.Add(9*time.Second), group, MovedRun)).To(BeFalse())
		Expect(b.Allows(start.Add(11*time.Second), group, MovedRun)).To(BeTrue())
	})

	// All gateways retry as often as they may, as they do when half of the
	// upstreams fail, while some are partitioned from the others and come back.
	It("keeps the retries of all gateways together within the budget while some are partitioned", func() {
		for seed := range int64(40) {
			checkBudgetHolds(seed, false)
		}
	})

	// Guards against retries that are forgotten when all processes are replaced.
	// Answers the load pattern of a service that fails one request in twenty, behind so
	// many gateways that each serves a request now and then.
	It("lets nearly all of few failures be retried, however many gateways there are", func() {
		for _, gateways := range []int{4, 68, 300, 2200} {
			failed, retried := retriesOfMany(int64(gateways), gateways, func(time.Duration) float64 { return 0.05 })
			Expect(float64(retried)).To(BeNumerically(">=", 0.9*float64(failed)), "%d gateways", gateways)
		}
	})

	It("keeps the retries of many gateways within the budget while all requests fail, at once and in bursts", func() {
		for seed := range int64(10) {
			for _, gateways := range []int{4, 30, 68, 300} {
				retriesOfMany(seed, gateways, func(time.Duration) float64 { return 1 })
				retriesOfMany(seed, gateways, func(t time.Duration) float64 { return float64(t / (3 * time.Second) % 2) })
			}
		}
	})

	It("keeps the retries within the budget while all gateways are replaced at once, again and again", func() {
		for seed := range int64(40) {
			checkBudgetHolds(seed, true)
		}
	})
})

// manyOptions is the budget of a fleet with few requests at each gateway.
var manyOptions = Options{Window: 10 * time.Second, RetryShare: 0.2, Reserve: 176, FirstStart: true}

// retriesOfMany lets many gateways serve requests, some of which fail and are retried at
// most once. Each hears what all have used with a delay, and at times not. It checks that
// the retries within each window fit the budget, and returns the failed requests and how
// many of them were retried.
func retriesOfMany(seed int64, gateways int, failing func(t time.Duration) float64) (failed, retried int) {
	const tick, day, delay, perSecond = 50 * time.Millisecond, 30 * time.Second, 8, 100
	random := rand.New(rand.NewSource(seed))
	all := make([]*Budgeter, gateways)
	for i := range all {
		all[i] = New(manyOptions, start)
	}
	var totals []Usage
	var requests, retries []int
	own := make([]Usage, gateways)
	for t := time.Duration(0); t < day; t += tick {
		now := start.Add(t)
		var total Usage
		for i, b := range all {
			own[i] = b.OwnUsage(now)[group]
			total.Requests, total.Retries = total.Requests+own[i].Requests, total.Retries+own[i].Retries
		}
		totals = append(totals, total)
		if len(totals) > delay {
			heard := totals[len(totals)-1-delay]
			for i, b := range all {
				if random.Intn(10) > 0 {
					peers := Usage{max(0, heard.Requests-own[i].Requests), max(0, heard.Retries-own[i].Retries)}
					b.SetPeers(now, Peers{Usage: GroupUsage{group: peers}, Gateways: gateways, Established: gateways})
				}
			}
		}
		requests, retries = append(requests, 0), append(retries, 0)
		last := len(requests) - 1
		for range int(perSecond * tick.Seconds() * (0.5 + 1.5*random.Float64())) {
			b := all[random.Intn(gateways)]
			b.Requested(now, group)
			requests[last]++
			if random.Float64() >= failing(t) {
				continue
			}
			failed++
			if b.Allows(now, group, FailedRequest) {
				b.Retried(now, group)
				retries[last]++
				retried++
			}
		}
		first := max(0, len(requests)-int(manyOptions.Window/tick))
		budget := float64(manyOptions.RetryShare)*float64(sum(requests[first:])) + manyOptions.Reserve
		ExpectWithOffset(1, float64(sum(retries[first:]))).To(BeNumerically("<=", budget), "seed %d, %d gateways, %v", seed, gateways, t)
	}
	return failed, retried
}

// retryWhileAllowed sends retries as long as they are allowed, at most count,
// and returns their number.
func retryWhileAllowed(b *Budgeter, now time.Time, reason RetryReason, count int) int {
	for i := range count {
		if !b.Allows(now, group, reason) {
			return i
		}
		b.Retried(now, group)
	}
	return count
}

// checkBudgetHolds lets gateways exchange their usage every 200 ms, with a tenth
// of the exchanges lost and some gateways partitioned. If replace is true, all are
// replaced at random times. It checks that the sum of
// their retries in every window of 10 s is within the budget.
func checkBudgetHolds(seed int64, replace bool) {
	const gateways, tick, ticks = 8, 200 * time.Millisecond, 300
	random := rand.New(rand.NewSource(seed))
	all := make([]*Budgeter, gateways)
	for i := range all {
		all[i] = New(options, start)
	}
	var requests, retries [ticks]int
	partitioned := make([]bool, gateways)
	for t := range ticks {
		now := start.Add(time.Duration(t) * tick)
		if replace && random.Intn(30) == 0 {
			restarted := options
			restarted.FirstStart = false
			for i := range all {
				all[i] = New(restarted, now)
			}
		}
		for i, b := range all {
			if random.Intn(60) == 0 {
				partitioned[i] = !partitioned[i]
			}
			if !partitioned[i] && random.Intn(10) > 0 {
				b.SetPeers(now, Peers{Usage: peerUsage(all, partitioned, i, now), Gateways: connectedCount(partitioned), Established: establishedCount(all, partitioned, now)})
			}
			for range random.Intn(4) {
				b.Requested(now, group)
				requests[t]++
				for random.Intn(2) == 0 && b.Allows(now, group, MovedRun) {
					b.Retried(now, group)
					retries[t]++
				}
			}
		}
		first := max(0, t-49)
		sumRequests, sumRetries := sum(requests[first:t+1]), sum(retries[first:t+1])
		budget := float64(options.RetryShare)*float64(sumRequests) + options.Reserve
		ExpectWithOffset(1, float64(sumRetries)).To(BeNumerically("<=", budget), "seed %d, tick %d", seed, t)
	}
}

// connectedCount returns the number of gateways that are not partitioned.
func connectedCount(partitioned []bool) int {
	count := 0
	for _, p := range partitioned {
		if !p {
			count++
		}
	}
	return count
}

// establishedCount returns the number of connected gateways that are established.
func establishedCount(all []*Budgeter, partitioned []bool, now time.Time) int {
	count := 0
	for i, b := range all {
		if !partitioned[i] && b.Established(now) {
			count++
		}
	}
	return count
}

// peerUsage returns the usage of all connected gateways but one.
func peerUsage(all []*Budgeter, partitioned []bool, self int, now time.Time) GroupUsage {
	var total Usage
	for i, b := range all {
		if i != self && !partitioned[i] {
			used := b.OwnUsage(now)[group]
			total.Requests += used.Requests
			total.Retries += used.Retries
		}
	}
	return GroupUsage{group: total}
}

func sum(list []int) int {
	total := 0
	for _, n := range list {
		total += n
	}
	return total
}
