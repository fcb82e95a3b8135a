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

var options = Options{Window: 10 * time.Second, Share: 0.2, Reserve: 54}

var _ = Describe("Budgeter", func() {
	It("allows a part of its share of the reserve without any word of others", func() {
		b := New(options)
		Expect(use(b, start, Ordinary, 100)).To(Equal(1))
		Expect(use(b, start, Rescue, 100)).To(Equal(1))
	})

	It("allows more to a gateway that hears how little the others use, a part at a time", func() {
		b := New(options)
		heard := Uses{group: {Requests: 100}}
		b.TakeOthers(start, heard, 4)
		Expect(use(b, start, Rescue, 100)).To(Equal(13))
		b.TakeOthers(start, heard, 4)
		Expect(use(b, start, Rescue, 100)).To(Equal(10))
		b.TakeOthers(start, Uses{group: {Requests: 100, Repeats: 60}}, 4)
		Expect(b.Allows(start, group, Rescue)).To(BeFalse())
	})

	It("keeps a part for runs that have to leave their engine", func() {
		b := New(options)
		heard := Uses{group: {Requests: 100, Repeats: 35}}
		b.TakeOthers(start, heard, 4)
		Expect(b.Allows(start, group, Ordinary)).To(BeTrue())
		use(b, start, Rescue, 3)
		Expect(b.Allows(start, group, Ordinary)).To(BeFalse())
		Expect(b.Allows(start, group, Rescue)).To(BeTrue())
	})

	It("goes back to its own share when the others fall silent", func() {
		b := New(options)
		b.TakeOthers(start, Uses{group: {Requests: 400}}, 4)
		later := start.Add(2 * time.Second)
		Expect(use(b, later, Rescue, 100)).To(Equal(2))
	})

	It("forgets what has left the window", func() {
		b := New(options)
		use(b, start, Rescue, 100)
		Expect(b.Allows(start.Add(9*time.Second), group, Rescue)).To(BeFalse())
		Expect(b.Allows(start.Add(11*time.Second), group, Rescue)).To(BeTrue())
	})

	// Load pattern: half of the upstreams fail, all gateways repeat what they
	// can, some die, part from the others and come back.
	It("keeps the sum of all gateways inside the budget while they part and join", func() {
		for seed := range int64(40) {
			play(seed)
		}
	})
})

// use repeats as long as it is allowed, at most count times.
func use(b *Budgeter, now time.Time, urgency Urgency, count int) int {
	for i := range count {
		if !b.Allows(now, group, urgency) {
			return i
		}
		b.Repeated(now, group)
	}
	return count
}

// play lets gateways exchange what they used every 200 ms, with a tenth of the
// exchanges lost and some gateways cut off, and holds the sum of every window
// of 10 s to the budget.
func play(seed int64) {
	const gateways, tick, ticks = 8, 200 * time.Millisecond, 300
	random := rand.New(rand.NewSource(seed))
	all := make([]*Budgeter, gateways)
	for i := range all {
		all[i] = New(options)
	}
	var requests, repeats [ticks]int
	cut := make([]bool, gateways)
	for t := range ticks {
		now := start.Add(time.Duration(t) * tick)
		for i, b := range all {
			if random.Intn(60) == 0 {
				cut[i] = !cut[i]
			}
			if !cut[i] && random.Intn(10) > 0 {
				b.TakeOthers(now, others(all, cut, i, now), heard(cut))
			}
			for range random.Intn(4) {
				b.Requested(now, group)
				requests[t]++
				for random.Intn(2) == 0 && b.Allows(now, group, Rescue) {
					b.Repeated(now, group)
					repeats[t]++
				}
			}
		}
		first := max(0, t-49)
		sumRequests, sumRepeats := sum(requests[first:t+1]), sum(repeats[first:t+1])
		budget := float64(options.Share)*float64(sumRequests) + options.Reserve
		ExpectWithOffset(1, float64(sumRepeats)).To(BeNumerically("<=", budget), "seed %d, tick %d", seed, t)
	}
}

func heard(cut []bool) int {
	count := 0
	for _, c := range cut {
		if !c {
			count++
		}
	}
	return count
}

func others(all []*Budgeter, cut []bool, self int, now time.Time) Uses {
	var total Use
	for i, b := range all {
		if i != self && !cut[i] {
			used := b.Used(now)[group]
			total.Requests += used.Requests
			total.Repeats += used.Repeats
		}
	}
	return Uses{group: total}
}

func sum(list []int) int {
	total := 0
	for _, n := range list {
		total += n
	}
	return total
}
