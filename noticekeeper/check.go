package noticekeeper

import (
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/placement/warmupkeeper"
)

// Target is an upstream to which a request may be sent.
type Target struct {
	ID          currantwood.UpstreamID
	Group       currantwood.GroupID
	Zone        currantwood.ZoneID
	Incarnation int64
}

// TargetOf returns the target that an upstream's record describes.
func TargetOf(r currantwood.UpstreamRecord) Target {
	return Target{ID: r.ID, Group: r.Group, Zone: r.Zone, Incarnation: r.Incarnation}
}

// Verdict says whether a request may be sent to an upstream.
type Verdict struct {
	Reason Reason
	// Wait is the time until a request may be sent; 0 if that is now, or if the upstream
	// wants none any more.
	Wait time.Duration
}

// Admitted reports whether a request may be sent now.
func (v Verdict) Admitted() bool { return v.Reason == Accepts }

//go:generate go tool stringer -linecomment -type=Reason

// Reason is why a request may be sent to an upstream, or not.
type Reason uint8

// The reasons.
const (
	Accepts     Reason = iota // accepts
	Leaving                   // leaving
	Paused                    // paused
	RateLimited               // rate-limited
	// OutsideRegions means that the upstream is in none of the regions that the request
	// may be in.
	OutsideRegions // outside the allowed regions
	// Evacuated means that the upstream's availability zone is evacuated.
	Evacuated // evacuated
	// Cold means that the upstream is cold, and that this gateway has used its share of the
	// rate that it accepts.
	Cold // cold
)

// Check reports whether a request that may be in some regions may be sent to an upstream
// now. It is asked before each send, whatever the send is for.
func (k *Keeper) Check(now time.Time, t Target, regions currantwood.RegionSet) Verdict {
	if verdict := k.CheckPicked(now, t, regions); !verdict.Admitted() {
		return verdict
	}
	if w := k.options.WarmUps; w != nil && !w.Admits(now, t.warmUp()) {
		return k.refuseCold(now, t)
	}
	if !k.options.Rates.Admits(now, t.ID, t.Incarnation) {
		return Verdict{Reason: RateLimited, Wait: max(k.options.Rates.Wait(now, t.ID), time.Nanosecond)}
	}
	return Verdict{}
}

// CheckSending is Check at the moment of sending, for an upstream that was picked at
// pickedAt and is sent the request unless this refuses it. A request that has lost its share
// of the rate of a cold upstream takes another one.
func (k *Keeper) CheckSending(now, pickedAt time.Time, t Target, regions currantwood.RegionSet) Verdict {
	if verdict := k.CheckPicked(now, t, regions); !verdict.Admitted() {
		return verdict
	}
	if w := k.options.WarmUps; w != nil && !w.AdmitsPicked(now, pickedAt, t.warmUp()) {
		return k.refuseCold(now, t)
	}
	return Verdict{}
}

func (k *Keeper) refuseCold(now time.Time, t Target) Verdict {
	return Verdict{Reason: Cold, Wait: max(k.options.WarmUps.Wait(now, t.warmUp()), time.Nanosecond)}
}

// warmUp returns the target as package warmupkeeper names it.
func (t Target) warmUp() warmupkeeper.Upstream {
	return warmupkeeper.Upstream{ID: t.ID, Group: t.Group, Incarnation: t.Incarnation}
}

// CheckPicked is Check for an upstream that was picked a while ago: the request has its
// share of a rate limit already, but the upstream may have become one that gets none.
func (k *Keeper) CheckPicked(now time.Time, t Target, regions currantwood.RegionSet) Verdict {
	if !regions.Admits(k.options.Regions[t.Zone]) {
		return Verdict{Reason: OutsideRegions}
	}
	if k.options.Evacuations != nil && k.options.Evacuations.IsEvacuated(now, t.Zone) {
		return Verdict{Reason: Evacuated}
	}
	if e := k.get(t.ID, t.Incarnation); e != nil && e.notice.Leaving {
		return Verdict{Reason: Leaving}
	} else if e != nil && e.notice.PausedUntil.After(now) {
		return Verdict{Reason: Paused, Wait: e.notice.PausedUntil.Sub(now)}
	}
	return Verdict{}
}
