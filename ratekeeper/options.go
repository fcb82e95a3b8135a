package ratekeeper

import (
	"cmp"
	"time"
)

// Options configures a Keeper. A field that is 0 has the default for the rate limits that
// upstreams name.
type Options struct {
	// MinGateways is the number of gateways that is assumed until a process has heard
	// the others for GatewayRetention; at least 1.
	MinGateways int
	// Window is the time within which all gateways together send no more than the limit
	// and a spare, as far as they have heard of each other: what the limit allows in
	// SpareTime, and SpareRequests.
	Window        time.Duration
	SpareTime     time.Duration
	SpareRequests float64
	// BurstTime is the time over which a share may accrue beyond one request.
	BurstTime time.Duration
	// DemandTime is the time constant of the average that is the demand.
	DemandTime time.Duration
	// FleetMaxAge is how long the sums of all gateways are used.
	FleetMaxAge time.Duration
	// GatewayRetention is the shortest time for which the part of a gateway that is no
	// longer heard from is left unused; it is at most twice that.
	GatewayRetention time.Duration
	// RiseTime is how long a gateway must have been due a higher share before it uses it;
	// a lower one applies at once. It exceeds the time in which gateways notice that one
	// is missing, so that none uses a part that another still uses. With 0, a share
	// changes at once.
	RiseTime time.Duration
	// SilentUntilHeard is whether a process that was never told the sums of several
	// gateways has no share: it can't know how many gateways use the limit. If
	// MinGateways is at most 1, there are no others. After GatewayRetention it has the
	// share of one of MinGateways, since the others may be gone for good.
	SilentUntilHeard bool
	// LocalLimits is whether the limits that other gateways tell are ignored.
	LocalLimits bool
}

// withDefaults returns the options with the defaults in place of zeros.
func (o Options) withDefaults() Options {
	o.MinGateways = max(1, o.MinGateways)
	o.Window = cmp.Or(o.Window, recentTime)
	o.SpareTime = cmp.Or(o.SpareTime, spareTime)
	o.SpareRequests = cmp.Or(o.SpareRequests, spareRequests)
	o.BurstTime = cmp.Or(o.BurstTime, burstTime)
	o.DemandTime = cmp.Or(o.DemandTime, demandTime)
	o.FleetMaxAge = cmp.Or(o.FleetMaxAge, fleetMaxAge)
	o.GatewayRetention = cmp.Or(o.GatewayRetention, gatewayRetention)
	return o
}
