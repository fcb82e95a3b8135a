// Package ratekeeper holds the rates of requests that upstreams accept from all
// gateways together, and this gateway's share of each.
//
// An upstream names its rate limit in its responses, and the newest response that any
// gateway has received decides. Gateways don't ask each other before a request. Each
// reports what it has heard itself and its demand, the rate of the requests that it
// would send to the upstream. The collector sums these up for all, and each gateway
// takes the part of the limit that its demand has in that of all. The part of gateways
// that aren't heard from is left to them for gatewayRetention. A gateway that isn't told
// the sums uses an even part.
//
// A share is paced: it accrues over time, up to one request or Options.BurstTime, so that
// requests which gateways have saved up exceed the limit by little.
//
// Options.LocalLimits serves limits that each gateway knows by itself, as those of cold
// upstreams; then gateways tell each other only their demand and what they have sent.
package ratekeeper

import (
	"math/rand"
	"time"

	"github.com/currantwood/currantwood"
)

const (
	// demandTime is the default of Options.DemandTime.
	demandTime = 2 * time.Second
	// fleetMaxAge is the default of Options.FleetMaxAge.
	fleetMaxAge = 2 * time.Second
	// gatewayRetention is the default of Options.GatewayRetention.
	gatewayRetention = 30 * time.Second
	// evenPart is the part of a limit that is divided evenly, so that a gateway without
	// demand has a share for its next request.
	evenPart = 0.1
	// minRate is the lowest rate that is shared, in requests per second. An upstream
	// that accepts none tells that it does again only in a response.
	minRate = 0.2
	// burstTime is the default of Options.BurstTime.
	burstTime = 500 * time.Millisecond
	// lapseTime is how long an accrued request stays if there are so many gateways that
	// one of each would exceed the limit by too much.
	lapseTime = time.Second
	// spareRequests, spareTime and recentTime are the defaults of Options.SpareRequests,
	// Options.SpareTime and Options.Window.
	spareRequests = 2
	spareTime     = time.Second
	recentTime    = 4 * time.Second
	// endRetention is how long it is reported that a limit has ended.
	endRetention = 10 * time.Second
	// promisedPart is the part of a share that refused requests are told to come back
	// for; the rest is left to new ones.
	promisedPart = 0.65
)

// Rate is what one gateway, or all together, know of the rate of one upstream.
type Rate struct {
	// Incarnation is that of the upstream.
	Incarnation int64
	// Limit is what the newest response said. If it isn't Known, only Demand and Recent are
	// valid.
	Limit currantwood.RateLimit
	// At is when that response arrived. From another gateway it is later by the time
	// that the messages took.
	At time.Time
	// Demand is the rate of the requests that would be sent to the upstream without a
	// limit, per second.
	Demand float64
	// Recent is the number of requests sent to the upstream within Options.Window.
	Recent int
}

// Keeper holds the limits. It is not safe for concurrent use.
type Keeper struct {
	options   Options
	random    *rand.Rand
	upstreams map[currantwood.UpstreamID]*upstream
	// gateways is the number of gateways in the sums of all, which were set at
	// fleetAt; zero if they never were.
	gateways int
	fleetAt  time.Time
	// mostGateways and mostBefore are the highest numbers of gateways since countedFrom
	// and in the time before it.
	mostGateways, mostBefore int
	countedFrom              time.Time
	// silent is whether this process has no share; see Options.SilentUntilHeard.
	silent bool
}

// New returns a keeper without limits, which draws from random so that the shares of
// gateways don't accrue in step.
func New(options Options, random *rand.Rand) *Keeper {
	options = options.withDefaults()
	return &Keeper{
		options: options, random: random, upstreams: make(map[currantwood.UpstreamID]*upstream),
		mostBefore: options.MinGateways, silent: options.SilentUntilHeard && options.MinGateways > 1,
	}
}

// Observe notes what a response said and reports whether that changes the limit that
// this gateway applies.
func (k *Keeper) Observe(now time.Time, id currantwood.UpstreamID, incarnation int64, limit currantwood.RateLimit) bool {
	u := k.upstreams[id]
	if !limit.Known || u == nil && !limit.Limited {
		return false
	}
	if u == nil {
		u = k.add(now, id)
	}
	before, wasLimited := u.limit(incarnation), u.isLimited()
	u.response = Rate{Incarnation: incarnation, Limit: limit, At: now}
	k.restartIfLimited(now, u, wasLimited)
	return before != u.limit(incarnation)
}

// restartIfLimited lets a share begin anew if the upstream has a limit now and had none
// before: what was sent meanwhile doesn't count against it.
func (k *Keeper) restartIfLimited(now time.Time, u *upstream, wasLimited bool) {
	if !wasLimited && u.isLimited() {
		u.accrued, u.accruedAt, u.recent, u.shares = k.random.Float64(), now, nil, nil
	}
}

func (k *Keeper) add(now time.Time, id currantwood.UpstreamID) *upstream {
	u := &upstream{options: &k.options, accruedAt: now, demandAt: now}
	k.upstreams[id] = u
	return u
}

// SetFleet sets what all gateways know. The Demand and Recent of each are those of all others.
// gateways counts those whose reports are in it, this one included. SetFleet returns the
// limits that this gateway applies from now on and didn't before.
func (k *Keeper) SetFleet(now time.Time, rates Rates, gateways int) Rates {
	k.countGateways(now, gateways)
	k.gateways, k.fleetAt = max(1, gateways), now
	for id, r := range rates {
		if k.upstreams[id] == nil && r.Limit.Limited && !k.options.LocalLimits {
			k.add(now, id)
		}
	}
	changed := make(Rates)
	for id, u := range k.upstreams {
		k.accrue(now, u)
		before, wasLimited := u.current().Limit, u.isLimited()
		u.fleet, u.inFleetSums = rates[id]
		if k.options.LocalLimits {
			u.fleet.Limit = currantwood.RateLimit{}
		}
		k.restartIfLimited(now, u, wasLimited)
		if after := u.current(); after.Limit != before {
			changed[id] = after
		}
		if u.isOver(now) {
			delete(k.upstreams, id)
		}
	}
	return changed
}

// countGateways notes the number of gateways that were heard from.
func (k *Keeper) countGateways(now time.Time, count int) {
	if k.countedFrom.IsZero() {
		k.countedFrom = now
	}
	if now.Sub(k.countedFrom) > k.options.GatewayRetention {
		k.silent = false
		k.mostBefore, k.mostGateways, k.countedFrom = k.mostGateways, 0, now
	}
	k.mostGateways = max(k.mostGateways, count)
	k.silent = k.silent && count <= 1
}

// SetMinGateways raises the number of gateways that is assumed until others are heard, as the
// settings now name more.
func (k *Keeper) SetMinGateways(count int) { k.mostBefore = max(k.mostBefore, count) }

// assumedGateways is the number of gateways that may send requests.
func (k *Keeper) assumedGateways() int { return max(1, k.mostGateways, k.mostBefore) }

// IsLimited reports whether an incarnation of an upstream limits its rate.
func (k *Keeper) IsLimited(id currantwood.UpstreamID, incarnation int64) bool {
	u := k.upstreams[id]
	return u != nil && u.limit(incarnation).Limited
}

// Want notes that a request would be sent to one of the upstreams, so that those with a
// limit count it in their demand.
func (k *Keeper) Want(now time.Time, ids []currantwood.UpstreamID) {
	if len(k.upstreams) == 0 {
		return
	}
	for _, id := range ids {
		if u := k.upstreams[id]; u != nil {
			k.accrue(now, u)
			u.want(now)
		}
	}
}

// Admits reports whether a request may be sent to an upstream now.
func (k *Keeper) Admits(now time.Time, id currantwood.UpstreamID, incarnation int64) bool {
	if !k.IsLimited(id, incarnation) {
		return true
	}
	u := k.upstreams[id]
	k.accrue(now, u)
	return u.accrued >= 1 && k.fitsRecent(now, u)
}

// fitsRecent reports whether one more request fits what all gateways together may send
// within Options.Window. Without it, the shares of many gateways may by chance accrue at
// the same time.
func (k *Keeper) fitsRecent(now time.Time, u *upstream) bool {
	limit := u.sharedRate()
	allowed := limit*(k.options.Window+k.options.SpareTime).Seconds() + k.options.SpareRequests
	return float64(u.recentAfter(now)+u.fleet.Recent+1) <= allowed
}

// Sent notes that a request is sent to an upstream. Without a limit it counts nothing.
func (k *Keeper) Sent(now time.Time, id currantwood.UpstreamID) {
	if u := k.upstreams[id]; u != nil && u.isLimited() {
		k.accrue(now, u)
		u.accrued--
		u.recent = append(u.recent, now)
	}
}

// Wait returns the time until an upstream with a limit admits a request that was refused
// now, after those that were refused before it.
func (k *Keeper) Wait(now time.Time, id currantwood.UpstreamID) time.Duration {
	u := k.upstreams[id]
	if u == nil {
		return 0
	}
	k.accrue(now, u)
	var missing time.Duration
	if u.accrued < 1 {
		missing = seconds((1 - u.accrued) / k.share(now, u))
	}
	if !k.fitsRecent(now, u) {
		missing = max(missing, seconds(1/u.sharedRate()))
	}
	return max(missing, u.promisedUntil.Sub(now))
}

// Promise notes that a refused request was told to come back after Wait.
func (k *Keeper) Promise(now time.Time, id currantwood.UpstreamID) {
	u := k.upstreams[id]
	if u == nil {
		return
	}
	// Without a share nothing is promised: the share may begin any time.
	if share := k.share(now, u); share > 0 {
		u.promisedUntil = now.Add(k.Wait(now, id) + seconds(1/(promisedPart*share)))
	}
}

// Own returns what this gateway has heard itself and its demand, to be reported to the
// others.
func (k *Keeper) Own(now time.Time) Rates {
	if len(k.upstreams) == 0 {
		return nil
	}
	own := make(Rates, len(k.upstreams))
	for id, u := range k.upstreams {
		r := u.response
		if !r.Limit.Known {
			r.Incarnation = u.fleet.Incarnation
		}
		if u.isLimited() {
			r.Demand, r.Recent = u.demandAfter(now), u.recentAfter(now)
		}
		own[id] = r
	}
	return own
}

// Forget drops the limits of upstreams that are gone.
func (k *Keeper) Forget(known func(id currantwood.UpstreamID) bool) {
	for id := range k.upstreams {
		if !known(id) {
			delete(k.upstreams, id)
		}
	}
}
