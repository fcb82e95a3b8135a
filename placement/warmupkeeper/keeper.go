// Package warmupkeeper knows which upstreams are cold, and says whether a cold one may be
// sent a request now.
//
// A cold upstream accepts only Group.WarmUpRate requests per second from all gateways
// together. That it is cold, and for how long, it says in its directory record and in its
// responses; gateways tell each other what responses said. Each gateway's share of the rate
// is kept by package ratekeeper, with options for a bound that holds in every second.
//
// When statements differ, the one that keeps the upstream cold holds unless the other is
// certainly newer: a record by its incarnation and sequence, a response if its request was
// sent after the upstream was known to be cold. A record doesn't end a cold period that a
// response has stated, as the store may deliver it late.
package warmupkeeper

import (
	"math/rand"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/ratekeeper"
)

const (
	// spareShare is the part of the allowance beyond the rate, by Bounds, that the shares
	// may use. The rest covers requests of which gateways haven't heard from each other yet.
	spareShare = 0.5
	// window is the span of the bound.
	window = time.Second
	// burstTime is short, so that one gateway with all the demand accrues only a small part
	// of what the bound allows in a second.
	burstTime = 100 * time.Millisecond
	// demandTime is longer than for rate limits: a gateway uses the lowest share within
	// riseTime, so that random changes of the demand would leave a part of the rate unused.
	demandTime = 5 * time.Second
	// fleetMaxAge is a few times the interval of the messages among gateways.
	fleetMaxAge = 500 * time.Millisecond
	// riseTime exceeds the time after which a silent gateway no longer counts, 1.5 s, with
	// the delay of messages.
	riseTime = 2 * time.Second
	// gatewayRetention is how long the highest number of gateways counts. It exceeds the
	// time for which links between regions are usually cut.
	gatewayRetention = 10 * time.Minute
	// pickedMaxAge is how long after its pick a request may use the share that it took
	// then. A process that was frozen in between takes a new share, so that what it had
	// picked before doesn't add to what others have sent since.
	pickedMaxAge = 100 * time.Millisecond
	// sameEnd is the difference up to which two ends of a cold period are the same one,
	// received with different delays. Without it, each message between gateways would
	// lengthen the period.
	sameEnd = time.Second
	// announceTime is how long a new statement is sent to the gateways that are heard from.
	// Each datagram in that time carries it, since some are lost.
	announceTime = 2 * time.Second
	// maxUpstreams bounds the upstreams that are known to be cold.
	maxUpstreams = 1 << 14
)

// Options configures a Keeper.
type Options struct {
	// MinGateways is the number of gateways that is assumed until others are heard.
	MinGateways int
	// Overage and Slack are Bounds.WarmUpOverage and Bounds.WarmUpSlack. Without them
	// nothing is spared but one request, so that the lowest rate is used at all.
	Overage, Slack float64
}

// Keeper holds the cold upstreams. It is not safe for concurrent use.
type Keeper struct {
	states map[currantwood.UpstreamID]*state
	// limits holds the warm-up rates of the groups that have one.
	limits map[currantwood.GroupID]float64
	rates  *ratekeeper.Keeper
}

// New returns a keeper that knows no cold upstream, given a source of random numbers for
// the shares.
func New(options Options, random *rand.Rand) *Keeper {
	return &Keeper{
		states: make(map[currantwood.UpstreamID]*state),
		limits: make(map[currantwood.GroupID]float64),
		rates: ratekeeper.New(ratekeeper.Options{
			MinGateways:      options.MinGateways,
			Window:           window,
			SpareTime:        max(time.Nanosecond, time.Duration(spareShare*(options.Overage-1)*float64(window))),
			SpareRequests:    max(1, spareShare*options.Slack),
			BurstTime:        burstTime,
			DemandTime:       demandTime,
			FleetMaxAge:      fleetMaxAge,
			GatewayRetention: gatewayRetention,
			RiseTime:         riseTime,
			SilentUntilHeard: true,
			LocalLimits:      true,
		}, random),
	}
}

// SetMinGateways raises the number of gateways that is assumed until others are heard, as the
// settings now name more.
func (k *Keeper) SetMinGateways(count int) { k.rates.SetMinGateways(count) }

// SetLimit sets the warm-up rate of a group in requests per second; 0 means no limit.
func (k *Keeper) SetLimit(group currantwood.GroupID, perSecond float64) {
	if perSecond > 0 {
		k.limits[group] = perSecond
		return
	}
	delete(k.limits, group)
}

// ApplyRecord notes the end of the cold period by the newest directory record of an
// upstream. A time that isn't after now means that it is warm. The caller leaves out records
// that are older than known ones.
func (k *Keeper) ApplyRecord(now time.Time, u Upstream, until time.Time) Change {
	s := k.get(u, until.After(now))
	if s == nil {
		return Change{}
	}
	s.recordUntil, s.recordAt = until, now
	return k.update(now, s, Record)
}

// Observe notes what a response says to a request that was sent at sentAt.
func (k *Keeper) Observe(now, sentAt time.Time, u Upstream, warmUp currantwood.WarmUp) Change {
	if !warmUp.Known {
		return Change{}
	}
	s := k.get(u, warmUp.Left > 0)
	if s == nil {
		return Change{}
	}
	// The response may be older than other statements if its request was sent before.
	newest := !sentAt.Before(s.recordAt) && !sentAt.Before(s.responseAt)
	switch until := now.Add(warmUp.Left); {
	case warmUp.Left <= 0 && newest:
		s.recordUntil, s.responseUntil, s.responseAt = time.Time{}, time.Time{}, now
	case warmUp.Left > 0 && (newest || until.After(s.responseUntil)):
		s.setByResponse(now, until, true)
	}
	return k.update(now, s, Response)
}

// Learn notes the cold period that another gateway tells of. Its end is later than the
// upstream said by the time that the message took.
func (k *Keeper) Learn(now time.Time, p Period) Change {
	if !p.Until.After(now) {
		return Change{}
	}
	s := k.get(p.Upstream, true)
	if s == nil || !p.Until.After(s.until().Add(sameEnd)) {
		return Change{}
	}
	s.setByResponse(now, p.Until, false)
	return k.update(now, s, Peer)
}

// get returns the state of an incarnation, which it adds if add is set. It returns nil if
// there is none, or if a later incarnation is known.
func (k *Keeper) get(u Upstream, add bool) *state {
	s := k.states[u.ID]
	switch {
	case s != nil && s.upstream.Incarnation > u.Incarnation:
		return nil
	case s != nil && s.upstream.Incarnation == u.Incarnation:
		if u.Group != "" {
			s.upstream.Group = u.Group
		}
		return s
	case !add:
		if s != nil {
			// A later incarnation that isn't cold ends the period of the former.
			*s = state{upstream: u, coldSince: s.coldSince}
		}
		return s
	case s == nil && len(k.states) >= maxUpstreams:
		return nil
	}
	s = &state{upstream: u}
	k.states[u.ID] = s
	return s
}

// update notes whether the upstream is cold now and returns what that changes.
func (k *Keeper) update(now time.Time, s *state, source Source) Change {
	cold := s.isCold(now)
	if cold && k.limits[s.upstream.Group] > 0 {
		// The share is computed from the start of the period on, also without requests:
		// it must have fallen here before other gateways use the difference.
		k.passRate(now, s.upstream)
	}
	if cold != s.coldSince.IsZero() {
		return Change{}
	}
	change := Change{Upstream: s.upstream, Source: source, Cold: cold}
	s.coldSince = time.Time{}
	if cold {
		s.coldSince, change.Left = now, s.until().Sub(now)
	}
	return change
}

// Tick returns the cold periods that have ended by time, and drops what is known of them.
func (k *Keeper) Tick(now time.Time) []Change {
	var ended []Change
	for id, s := range k.states {
		if s.isCold(now) {
			// The rate may have become known, or have changed.
			k.update(now, s, Record)
			continue
		}
		if change := k.update(now, s, Elapsed); change != (Change{}) {
			ended = append(ended, change)
		}
		// A record or a response that arrives later may be older than what ended the
		// period.
		if now.Sub(s.until()) > announceTime && now.Sub(s.responseAt) > announceTime && now.Sub(s.recordAt) > announceTime {
			delete(k.states, id)
		}
		k.rates.Observe(now, id, s.upstream.Incarnation, currantwood.RateLimit{Known: true})
	}
	return ended
}

// Heard returns the cold periods that responses to this gateway stated within announceTime,
// for messages to the collector.
func (k *Keeper) Heard(now time.Time) []Period {
	return k.collect(now, func(s *state) bool { return s.ownResponse && now.Sub(s.changedAt) <= announceTime })
}

// Known returns the cold periods that responses stated within announceTime, for messages of
// the collector to all gateways; all periods if all is true, for a gateway that has just
// started.
func (k *Keeper) Known(now time.Time, all bool) []Period {
	return k.collect(now, func(s *state) bool { return all || now.Sub(s.changedAt) <= announceTime })
}

// collect returns the periods that responses stated and that wanted chooses.
func (k *Keeper) collect(now time.Time, wanted func(s *state) bool) []Period {
	var periods []Period
	for _, s := range k.states {
		if s.responseUntil.After(now) && wanted(s) {
			periods = append(periods, Period{Upstream: s.upstream, Until: s.responseUntil})
		}
	}
	return periods
}

// Forget drops the shares of upstreams that are gone. Their cold periods end by time, since
// one may be known before the record of its upstream.
func (k *Keeper) Forget(known func(id currantwood.UpstreamID) bool) { k.rates.Forget(known) }
