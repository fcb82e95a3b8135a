package ratekeeper

import (
	"time"

	"github.com/currantwood/currantwood"
)

// Share returns the rate at which this gateway may send to an upstream, in requests per
// second; 0 if it has no limit.
func (k *Keeper) Share(now time.Time, id currantwood.UpstreamID) float64 {
	u := k.upstreams[id]
	if u == nil || !u.isLimited() {
		return 0
	}
	return k.share(now, u)
}

// share returns the rate at which this gateway may send to an upstream.
func (k *Keeper) share(now time.Time, u *upstream) float64 {
	if k.silent {
		return 0
	}
	due := k.dueShare(now, u)
	if k.options.RiseTime == 0 {
		return due
	}
	startShare := k.evenShare(u)
	if !k.hearsFleet(now) {
		// The others may know the upstream for longer and use what this gateway left.
		startShare *= evenPart
	}
	return u.lowestShare(now, due, startShare)
}

// hearsFleet reports whether the sums of all gateways are recent.
func (k *Keeper) hearsFleet(now time.Time) bool {
	return !k.fleetAt.IsZero() && now.Sub(k.fleetAt) <= k.options.FleetMaxAge
}

// evenShare is the share that every gateway may use whatever the others know.
func (k *Keeper) evenShare(u *upstream) float64 {
	return u.sharedRate() / float64(k.assumedGateways())
}

// dueShare returns the part of the limit that the demand of this gateway has in that of
// all, by what it knows now.
func (k *Keeper) dueShare(now time.Time, u *upstream) float64 {
	if !k.hearsFleet(now) {
		return k.evenShare(u)
	}
	heard := float64(k.gateways)
	part := 1 / heard
	own := u.demandAfter(now)
	// With local limits, sums without the upstream say nothing of the others' demand: they
	// may be from before this gateway's own report, or have no room for all upstreams.
	if total := own + u.fleet.Demand; total > 0 && (u.inFleetSums || !k.options.LocalLimits) {
		part = evenPart/heard + (1-evenPart)*own/total
	}
	return u.sharedRate() * min(1, heard/float64(k.assumedGateways())) * part
}

// accrue adds what the share has allowed since the last call.
func (k *Keeper) accrue(now time.Time, u *upstream) {
	rate := k.share(now, u)
	lapses := float64(k.assumedGateways()) > u.sharedRate()*k.options.SpareTime.Seconds()+k.options.SpareRequests
	u.accrue(now, rate, lapses)
}
