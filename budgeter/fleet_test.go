package budgeter

import (
	"math/rand"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	fleetTick = 50 * time.Millisecond
	// takeAwayTicks is the number of ticks after which engines are taken away: 3.3 s.
	takeAwayTicks = 66
)

// fleet is a fleet without a network whose runs are moved when engines are taken away.
type fleet struct {
	gateways int
	options  Options
	// requests arrive each second. Each time engines are taken away, a share of the runs is to
	// be moved, within some ticks.
	requestsPerSecond float64
	movedShare        float64
	spread            int
	// noticeSpread is the number of ticks within which the engines' notices arrive; 0 if they
	// arrive at once.
	noticeSpread int
	// maxBudgetWait is the number of ticks for which a run that is to be moved waits for the
	// budget.
	maxBudgetWait int
	// delay is the number of ticks until the others hear of a retry.
	delay int
	// disturbs restarts gateways and cuts some off.
	disturbs bool
	// replaceEach is the time after which the next gateway is replaced, each of them once, as
	// in a release; 0 means never.
	replaceEach time.Duration
}

// runTicks is how long a run goes on: 5 s.
const runTicks = 100

// run is a generation at a gateway, or one that is to be moved from tick at on; the notice of
// its upstream is known from tick leaving on.
type run struct{ gateway, at, leaving int }

// fleetResult is what became of the runs. used is the highest share of the budget in use.
type fleetResult struct {
	wanted, moved int
	used          float64
}

// newFleetOptions returns the options of gateways that know as many seeds as they are
// given: three at most.
func newFleetOptions(gateways int, reserve float64) Options {
	return Options{Window: 10 * time.Second, RetryShare: 0.2, Reserve: reserve, FirstStart: true, MinGateways: 1 + min(3, gateways-1)}
}

// run plays a minute and checks that the retries of all gateways fit the budget in each
// window.
func (f fleet) run(seed int64) fleetResult {
	random := rand.New(rand.NewSource(seed))
	all, cut := make([]*Budgeter, f.gateways), make([]bool, f.gateways)
	for i := range all {
		all[i] = New(f.options, start)
	}
	var own [][]Usage
	var requests, retries, leaving []int
	var runs, waiting []run
	var result fleetResult
	for tick := range 1200 {
		now := start.Add(time.Duration(tick) * fleetTick)
		if i := f.disturb(random, now, all, cut); i >= 0 {
			// The streams of a gateway end with it.
			ended := func(r run) bool { return r.gateway == i }
			runs, waiting = slices.DeleteFunc(runs, ended), slices.DeleteFunc(waiting, func(r run) bool {
				if !ended(r) {
					return false
				}
				result.wanted--
				return true
			})
		}
		usage, established := make([]Usage, f.gateways), 0
		for i, b := range all {
			usage[i] = b.OwnUsage(now)[group]
			if b.Established(now) {
				established++
			}
		}
		own = append(own, usage)
		if heard := len(own) - 1 - f.delay; heard >= 0 {
			f.report(random, now, all, cut, own[heard], established)
		}
		requests, retries = append(requests, 0), append(retries, 0)
		for wanted := f.requestsPerSecond * fleetTick.Seconds() * 2 * random.Float64(); random.Float64() < wanted; wanted-- {
			gateway := random.Intn(f.gateways)
			all[gateway].Requested(now, group)
			requests[tick]++
			runs = append(runs, run{gateway: gateway, at: tick})
		}
		for len(runs) > 0 && tick-runs[0].at >= runTicks {
			runs = runs[1:]
		}
		if tick%takeAwayTicks == takeAwayTicks-1 {
			for _, i := range random.Perm(len(runs))[:int(f.movedShare*float64(len(runs)))] {
				leaving := tick
				if f.noticeSpread > 0 {
					leaving += random.Intn(f.noticeSpread)
				}
				waiting = append(waiting, run{gateway: runs[i].gateway, at: leaving + random.Intn(f.spread), leaving: leaving})
				result.wanted++
			}
		}
		leaving = append(leaving, countLeaving(waiting, tick))
		for _, b := range all {
			// Sums of loads are 100 to 200 ms old, and some are lost.
			if late := tick - 2 - random.Intn(3); late >= 0 && random.Intn(10) > 0 {
				b.SetLeaving(now, group, leaving[late])
			}
		}
		waiting = slices.DeleteFunc(waiting, func(r run) bool {
			if tick < r.at {
				return false
			}
			if all[r.gateway].Allows(now, group, MovedRun) {
				all[r.gateway].Retried(now, group)
				retries[tick]++
				result.moved++
				return true
			}
			return tick-r.at >= f.maxBudgetWait
		})
		first := max(0, tick-int(f.options.Window/fleetTick)+1)
		budget := float64(f.options.RetryShare)*float64(sum(requests[first:])) + f.options.Reserve
		used := float64(sum(retries[first:])) / budget
		ExpectWithOffset(2, used).To(BeNumerically("<=", 1), "seed %d, %d gateways, tick %d: %d retries", seed, f.gateways, tick, sum(retries[first:]))
		result.used = max(result.used, used)
	}
	return result
}

// countLeaving returns how many of the runs that are to be moved are at engines whose notice
// has arrived.
func countLeaving(waiting []run, tick int) int {
	count := 0
	for _, r := range waiting {
		if tick >= r.leaving {
			count++
		}
	}
	return count
}

// disturb replaces a process now and then, and cuts gateways off and back. It returns the
// gateway that a release replaces, or -1.
func (f fleet) disturb(random *rand.Rand, now time.Time, all []*Budgeter, cut []bool) int {
	replaced := -1
	if ticks := int(f.replaceEach / fleetTick); ticks > 0 {
		if tick := int(now.Sub(start) / fleetTick); tick > 0 && tick%ticks == 0 && tick/ticks <= len(all) {
			restarted := f.options
			restarted.FirstStart = false
			replaced = tick / ticks % len(all)
			all[replaced] = New(restarted, now)
		}
	}
	if !f.disturbs {
		return replaced
	}
	if random.Intn(60) == 0 {
		restarted := f.options
		restarted.FirstStart = false
		all[random.Intn(len(all))] = New(restarted, now)
	}
	if random.Intn(40) == 0 {
		i := random.Intn(len(all))
		cut[i] = !cut[i]
	}
	return replaced
}

// report gives the gateways that aren't cut off what the others of them had used. One
// report in ten is lost.
func (f fleet) report(random *rand.Rand, now time.Time, all []*Budgeter, cut []bool, heard []Usage, established int) {
	var total Usage
	gateways := 0
	for i := range all {
		if !cut[i] {
			gateways++
			total.Requests += heard[i].Requests
			total.Retries += heard[i].Retries
		} else if all[i].Established(now) {
			established--
		}
	}
	for i, b := range all {
		if cut[i] || random.Intn(10) == 0 {
			continue
		}
		others := Usage{total.Requests - heard[i].Requests, total.Retries - heard[i].Retries}
		b.SetPeers(now, Peers{Usage: GroupUsage{group: others}, Gateways: gateways, Established: established})
	}
}

var _ = DescribeTable("Runs that are moved when engines are taken away, most of which the budget covers",
	func(gateways int, reserve, perSecond, shareOfBudget float64) {
		budget := reserve + 0.2*10*perSecond
		// Engines are taken away three times in a window.
		moved := min(1, shareOfBudget*budget/3/(perSecond*runTicks*fleetTick.Seconds()))
		f := fleet{gateways: gateways, options: newFleetOptions(gateways, reserve), requestsPerSecond: perSecond, movedShare: moved, spread: 8, delay: 4, maxBudgetWait: 16}
		var total fleetResult
		for seed := range int64(5) {
			r := f.run(seed)
			total.wanted += r.wanted
			total.moved += r.moved
			total.used = max(total.used, r.used)
		}
		GinkgoWriter.Println("moved", total.moved, "of", total.wanted, "and used", total.used)
		Expect(float64(total.moved)).To(BeNumerically(">=", 0.95*float64(total.wanted)))
	},
	Entry("2 gateways", 2, 54.0, 10.0, 0.6),
	Entry("2 gateways with a large reserve", 2, 176.0, 10.0, 0.6),
	Entry("2 gateways with many requests", 2, 54.0, 40.0, 0.6),
	Entry("4 gateways", 4, 54.0, 10.0, 0.6),
	Entry("4 gateways with many requests", 4, 54.0, 40.0, 0.6),
	Entry("28 gateways", 28, 176.0, 10.0, 0.5),
	Entry("28 gateways with many requests", 28, 176.0, 40.0, 0.5),
	Entry("28 gateways with a small reserve", 28, 54.0, 40.0, 0.5),
	Entry("68 gateways", 68, 176.0, 10.0, 0.5),
	Entry("68 gateways with many requests", 68, 176.0, 40.0, 0.4),
)

// Guards against gateways that use what is left of the budget again before they have heard
// of each other's retries: all runs are to be moved at once, and reports are 400 ms late.
var _ = DescribeTable("The budget of all gateways, when all runs are to be moved",
	func(gateways int, disturbs bool) {
		for _, reserve := range []float64{54, 176} {
			for _, perSecond := range []float64{10, 40} {
				for noticeSpread, seeds := range map[int]int64{0: 6, 8: 2, 24: 2} {
					f := fleet{
						gateways: gateways, options: newFleetOptions(gateways, reserve), requestsPerSecond: perSecond, movedShare: 1,
						spread: 8, noticeSpread: noticeSpread, delay: 8, maxBudgetWait: 16, disturbs: disturbs,
					}
					for seed := range seeds {
						used := f.run(seed).used
						GinkgoWriter.Println("reserve", reserve, "a second", perSecond, "notices within", noticeSpread, "most used", used)
					}
				}
			}
		}
	},
	Entry("2 gateways", 2, false),
	Entry("4 gateways", 4, false),
	Entry("28 gateways", 28, false),
	Entry("21 gateways", 21, false),
	Entry("68 gateways", 68, false),
	Entry("2 gateways, some just started or cut off", 2, true),
	Entry("4 gateways, some just started or cut off", 4, true),
	Entry("28 gateways, some just started or cut off", 28, true),
	Entry("21 gateways, some just started or cut off", 21, true),
	Entry("68 gateways, some just started or cut off", 68, true),
)

var _ = DescribeTable("Gateways that have never heard of each other don't exceed the budget together", func(gateways, heard int) {
	options, retries := newFleetOptions(gateways, 54), 0
	for range gateways {
		b := New(options, start)
		if heard > 0 {
			b.SetPeers(start, Peers{Gateways: heard, Established: heard})
		}
		for now := start; b.Allows(now, group, MovedRun); now = now.Add(time.Millisecond) {
			b.Retried(now, group)
			retries++
		}
	}
	Expect(retries).To(BeNumerically("<=", 54))
},
	Entry("68, told nothing", 68, 0),
	Entry("68, each its own collector", 68, 1),
	Entry("28, each its own collector", 28, 1),
	Entry("3, which know how many they are", 3, 0),
)
