package limiter

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/currantwood/currantwood"
)

// peerUsageTimeout is the age at which another entry's report no longer counts, since the
// entry has left or can't be reached.
const peerUsageTimeout = 5 * time.Second

// unboundedDemandPeriod is how long after a refusal a customer's demand counts as
// unbounded: the customer wants more than it holds, by an unknown amount.
const unboundedDemandPeriod = 3 * time.Second

// demandPerUsage is the assumed ratio of a customer's demand to its current usage. The
// part above 1 reserves capacity for requests that it adds until the next Tick.
const demandPerUsage = 1.25

// memoryDemand is the engine memory that one customer demands.
type memoryDemand struct {
	weight float64
	// perWeight is the demand in tokens divided by the weight; +Inf for a customer that
	// was refused less than unboundedDemandPeriod ago.
	perWeight float64
}

// Tick sums up the usage at all entries and sets the level of the fair shares. It
// is called at intervals, not for each request.
func (l *Limiter) Tick(now time.Time) {
	remote, free := l.peerUsageAndFree(now)
	var demands []memoryDemand
	var total float64
	l.forEach(func(c *customer) {
		c.remote = remote[c.id]
		total += c.totalHeld()
		if now.Sub(c.requestedAt) < l.options.InactiveAfter || c.totalHeld() > 0 {
			demands = append(demands, l.estimateDemand(now, c))
		}
	})
	capacity := total + free
	if free > float64(l.options.MinFreeFraction)*capacity {
		l.setLevel(math.Inf(1))
		return
	}
	l.setLevel(maxMinLevel(demands, capacity))
}

func (l *Limiter) estimateDemand(now time.Time, c *customer) memoryDemand {
	// One more request on top gives a customer without usage a demand, too.
	demand := c.totalHeld()*demandPerUsage + c.averageHeld
	if now.Sub(c.refusedAt) < unboundedDemandPeriod {
		demand = math.Inf(1)
	}
	return memoryDemand{weight: c.weight, perWeight: demand / c.weight}
}

// peerUsageAndFree returns the usage at other entries by customer, and the free memory known
// to this entry, in tokens. It drops reports that are too old.
func (l *Limiter) peerUsageAndFree(now time.Time) (remote map[currantwood.CustomerID]Usage, free float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	remote = map[currantwood.CustomerID]Usage{}
	l.peerUsages = slices.DeleteFunc(l.peerUsages, func(report peerUsage) bool { return now.Sub(report.receivedAt) > peerUsageTimeout })
	for _, report := range l.peerUsages {
		for _, usage := range report.usages {
			sum := remote[usage.Customer]
			sum.InFlight += usage.InFlight
			sum.HeldTokens += usage.HeldTokens
			remote[usage.Customer] = sum
		}
	}
	return remote, l.free
}

// maxMinLevel returns the highest level at which the sum of min(demand, weight * level) over
// all customers fits the capacity, or +Inf if all demands fit. It sorts demands.
func maxMinLevel(demands []memoryDemand, capacity float64) float64 {
	sort.Slice(demands, func(i, j int) bool { return demands[i].perWeight < demands[j].perWeight })
	remainingWeight := 0.0
	for _, d := range demands {
		remainingWeight += d.weight
	}
	for _, d := range demands {
		// capacity and remainingWeight are what remains for this and all further demands.
		// If this one doesn't fit into its share of them, neither do the others.
		if d.perWeight*remainingWeight >= capacity {
			return capacity / remainingWeight
		}
		capacity -= d.perWeight * d.weight
		remainingWeight -= d.weight
	}
	return math.Inf(1)
}
