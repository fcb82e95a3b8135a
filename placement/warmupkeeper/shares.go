package warmupkeeper

import (
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/ratekeeper"
)

// IsLimited reports whether an upstream is cold and its group has a warm-up rate. A request
// that was picked for an earlier incarnation would reach the cold one.
func (k *Keeper) IsLimited(now time.Time, u Upstream) bool {
	s := k.states[u.ID]
	return s != nil && k.limits[u.Group] > 0 && u.Incarnation <= s.upstream.Incarnation && s.isCold(now)
}

// Admits reports whether a request may be sent to an upstream now.
func (k *Keeper) Admits(now time.Time, u Upstream) bool {
	if !k.IsLimited(now, u) {
		return true
	}
	incarnation := k.passRate(now, u)
	return k.rates.Admits(now, u.ID, incarnation)
}

// passRate makes the rate of a cold upstream known to the keeper of the shares. It returns the
// incarnation that is cold.
func (k *Keeper) passRate(now time.Time, u Upstream) int64 {
	incarnation := k.states[u.ID].upstream.Incarnation
	k.rates.Observe(now, u.ID, incarnation, currantwood.RateLimit{Known: true, Limited: true, PerSecond: k.limits[u.Group]})
	return incarnation
}

// AdmitsPicked is Admits at the moment of sending, for an upstream that was picked at
// pickedAt. A request that was picked too long ago, or before the upstream was known to be
// cold, takes a share now.
func (k *Keeper) AdmitsPicked(now, pickedAt time.Time, u Upstream) bool {
	if !k.IsLimited(now, u) {
		return true
	}
	if now.Sub(pickedAt) <= pickedMaxAge && !pickedAt.Before(k.states[u.ID].coldSince) {
		return true
	}
	if !k.Admits(now, u) {
		return false
	}
	k.rates.Sent(now, u.ID)
	return true
}

// Want notes that a request would be sent to one of the upstreams.
func (k *Keeper) Want(now time.Time, ids []currantwood.UpstreamID) { k.rates.Want(now, ids) }

// Sent notes that a request which was admitted takes a share.
func (k *Keeper) Sent(now time.Time, id currantwood.UpstreamID) {
	if s := k.states[id]; s != nil && s.isCold(now) {
		k.rates.Sent(now, id)
	}
}

// Limited returns the cold upstreams whose groups have a warm-up rate.
func (k *Keeper) Limited(now time.Time) []currantwood.UpstreamID {
	var ids []currantwood.UpstreamID
	for id, s := range k.states {
		if k.IsLimited(now, s.upstream) {
			ids = append(ids, id)
		}
	}
	return ids
}

// Wait returns the time until a cold upstream admits a request that was refused now.
func (k *Keeper) Wait(now time.Time, u Upstream) time.Duration {
	return max(0, min(k.rates.Wait(now, u.ID), k.left(now, u.ID)))
}

func (k *Keeper) left(now time.Time, id currantwood.UpstreamID) time.Duration {
	if s := k.states[id]; s != nil {
		return s.until().Sub(now)
	}
	return 0
}

// Promise notes that a refused request was told to come back after Wait.
func (k *Keeper) Promise(now time.Time, id currantwood.UpstreamID) { k.rates.Promise(now, id) }

// Share returns the rate at which this gateway may send to a cold upstream.
func (k *Keeper) Share(now time.Time, id currantwood.UpstreamID) float64 {
	return k.rates.Share(now, id)
}

// Own returns the demand of this gateway at the cold upstreams and what it has sent them,
// to be reported to the others.
func (k *Keeper) Own(now time.Time) ratekeeper.Rates { return k.rates.Own(now) }

// SetFleet sets the demand of all other gateways and what they have sent. gateways counts
// those that are heard from, this one included.
func (k *Keeper) SetFleet(now time.Time, rates ratekeeper.Rates, gateways int) {
	k.rates.SetFleet(now, rates, gateways)
}
