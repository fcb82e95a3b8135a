package ratekeeper

import (
	"math"
	"time"

	"github.com/currantwood/currantwood"
)

// upstream is what is known of the rate of one upstream.
type upstream struct {
	options *Options
	// response is what the last response to this gateway said. Its Demand is unused.
	response Rate
	// fleet is what the sums of all gateways say; its Demand and Recent are those of all
	// others.
	fleet Rate
	// inFleetSums is whether the sums have an entry for the upstream.
	inFleetSums bool
	// demand is the average rate of requests wanted, as of demandAt.
	demand   float64
	demandAt time.Time
	// recent holds the times of the requests sent within Options.Window, in order, and may
	// hold earlier ones.
	recent []time.Time
	// accrued is the number of requests that this gateway may send at accruedAt.
	accrued   float64
	accruedAt time.Time
	// readyAt is when accrued reached 1; valid while it is at least that.
	readyAt time.Time
	// promisedUntil is the latest time that a refused request was told.
	promisedUntil time.Time
	// shares holds the shares that were due within Options.RiseTime, in order and each lower
	// than those after it; sharesAt is when the last one was added.
	shares   []dueShare
	sharesAt time.Time
}

// dueShare is a share that was due at a time.
type dueShare struct {
	at   time.Time
	rate float64
}

// current returns the newer of response and fleet. A later incarnation goes first.
func (u *upstream) current() Rate {
	return newer(u.response, u.fleet)
}

// isLimited reports whether the upstream limits its rate, by the newest that is known.
func (u *upstream) isLimited() bool { return u.current().Limit.Limited }

// sharedRate returns the limit that all gateways share, in requests per second.
func (u *upstream) sharedRate() float64 { return max(minRate, u.current().Limit.PerSecond) }

// limit returns the limit of an incarnation.
func (u *upstream) limit(incarnation int64) currantwood.RateLimit {
	if r := u.current(); r.Incarnation == incarnation {
		return r.Limit
	}
	return currantwood.RateLimit{}
}

// isOver reports whether the limit has ended so long ago that all gateways know.
func (u *upstream) isOver(now time.Time) bool {
	r := u.current()
	return !u.isLimited() && now.Sub(r.At) > endRetention
}

// lowestShare adds the share that is due now and returns the lowest within
// Options.RiseTime. If none was added for Options.FleetMaxAge, startShare bounds it: this
// process hasn't known meanwhile what the others do.
func (u *upstream) lowestShare(now time.Time, due, startShare float64) float64 {
	if len(u.shares) == 0 || now.Sub(u.sharesAt) > u.options.FleetMaxAge {
		due = min(due, startShare)
	}
	u.sharesAt = now
	// Shares that aren't below the new one can't be the lowest any more, so that shares stays
	// sorted and its first is the lowest.
	for len(u.shares) > 0 && u.shares[len(u.shares)-1].rate >= due {
		u.shares = u.shares[:len(u.shares)-1]
	}
	u.shares = append(u.shares, dueShare{now, due})
	for now.Sub(u.shares[0].at) > u.options.RiseTime {
		u.shares = u.shares[1:]
	}
	return u.shares[0].rate
}

// want adds a request to the demand.
func (u *upstream) want(now time.Time) {
	u.demand = u.demandAfter(now) + 1/u.options.DemandTime.Seconds()
	u.demandAt = now
}

// demandAfter returns the demand as it is now.
func (u *upstream) demandAfter(now time.Time) float64 {
	return u.demand * math.Exp(-now.Sub(u.demandAt).Seconds()/u.options.DemandTime.Seconds())
}

// recentAfter returns the number of requests sent within Options.Window.
func (u *upstream) recentAfter(now time.Time) int {
	expired := 0
	for expired < len(u.recent) && now.Sub(u.recent[expired]) >= u.options.Window {
		expired++
	}
	u.recent = u.recent[expired:]
	return len(u.recent)
}

// accrue adds what a rate has allowed since accruedAt, up to one request or what it
// allows in Options.BurstTime. If lapses is true, a single accrued request is lost after
// lapseTime.
func (u *upstream) accrue(now time.Time, rate float64, lapses bool) {
	elapsed := now.Sub(u.accruedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	if u.accrued < 1 {
		u.readyAt = u.accruedAt.Add(seconds((1 - u.accrued) / rate))
	}
	limit := max(1, rate*u.options.BurstTime.Seconds())
	u.accrued, u.accruedAt = min(limit, u.accrued+rate*elapsed), now
	if !lapses || limit > 1 || u.accrued < 1 {
		return
	}
	// Since readyAt, requests have accrued, waited and lapsed in turn.
	cycle := seconds(1/rate) + lapseTime
	inCycle := now.Sub(u.readyAt) % cycle
	if inCycle <= lapseTime {
		u.readyAt = now.Add(-inCycle)
		return
	}
	u.accrued = min(1, rate*(inCycle-lapseTime).Seconds())
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxSeconds) * float64(time.Second))
}

// maxSeconds bounds a time that a very low rate takes.
const maxSeconds = 3600
