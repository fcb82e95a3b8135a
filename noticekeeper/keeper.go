// Package noticekeeper holds what upstreams say of themselves in their responses: that
// they are leaving, that they want no requests for a time, and which rate of requests
// they accept. It answers whether a request may be sent to an upstream now and, if not,
// why and from when on: by these notices, by the regions that the request may be in, by
// the operator's orders to evacuate availability zones and by the rate that cold upstreams
// accept.
//
// What an upstream says holds for its incarnation and from the response on, whatever the
// directory shows. A leaving is final. A pause ends by time alone: neither a response
// that doesn't mention it nor a shorter pause ends it earlier. Gateways tell each other
// what they have heard, so that not every one of them has to be told by the upstream.
package noticekeeper

import (
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/placement/evacuationkeeper"
	"github.com/currantwood/currantwood/placement/warmupkeeper"
	"github.com/currantwood/currantwood/ratekeeper"
)

const (
	// maxPause bounds a pause. An upstream that asks for a longer one is sent a request
	// after it, and may ask again.
	maxPause = 10 * time.Minute
	// resumeTime is the time over which work comes back after a pause.
	resumeTime = 2 * time.Second
	// leavingRetention is how long a leaving is kept. The upstream serves for a while
	// after it, and its record may be written again meanwhile.
	leavingRetention = 10 * time.Minute
	// shareTime is how long a new notice is sent to the gateways that are heard from.
	// Datagrams are lost, and it is sent in each of them meanwhile.
	shareTime = 2 * time.Second
	// sameEnd is the difference up to which two ends of a pause are one, heard over ways
	// of different delay. The end that was known first stays, so that gateways don't
	// lengthen a pause by telling each other.
	sameEnd = time.Second
	// maxUpstreams bounds the upstreams whose notices are kept.
	maxUpstreams = 1 << 14
)

// Notice is what is known of one incarnation of an upstream.
type Notice struct {
	Incarnation int64
	// Leaving is whether it has said that it is leaving.
	Leaving bool
	// PausedUntil is when it wants requests again; zero if it never asked for a pause.
	PausedUntil time.Time
	// ColdUntil is when the upstream is warm, by its responses; zero if none said that it
	// is cold. Package warmupkeeper keeps it, not this one.
	ColdUntil time.Time
}

// Notices holds a notice for each upstream that has given one.
type Notices map[currantwood.UpstreamID]Notice

// Change is what a response or another gateway has changed in a notice.
type Change struct {
	Leaving, Pause, RateLimit bool
}

// entry is what is known of one upstream.
type entry struct {
	notice Notice
	// since is when notice changed last, and heard whether a response to this gateway
	// changed it, rather than another gateway.
	since time.Time
	heard bool
	// endReported is whether the end of the pause was returned by EndedPauses.
	endReported bool
}

// Options are what a Keeper asks, besides the notices.
type Options struct {
	Rates *ratekeeper.Keeper
	// Evacuations may be nil if no zone is ever evacuated.
	Evacuations *evacuationkeeper.Keeper
	// WarmUps may be nil if no upstream is ever cold.
	WarmUps *warmupkeeper.Keeper
	// Regions maps each availability zone to its region.
	Regions map[currantwood.ZoneID]currantwood.RegionID
}

// Keeper holds notices. It is not safe for concurrent use.
type Keeper struct {
	options Options
	entries map[currantwood.UpstreamID]*entry
}

// New returns a keeper without notices.
func New(options Options) *Keeper {
	return &Keeper{options: options, entries: make(map[currantwood.UpstreamID]*entry)}
}

// Observe notes what a response of an upstream to this gateway says.
func (k *Keeper) Observe(now time.Time, id currantwood.UpstreamID, incarnation int64, response currantwood.UpstreamResponse) Change {
	notice := Notice{Incarnation: incarnation, Leaving: response.Leaving}
	if response.Pause > 0 {
		notice.PausedUntil = now.Add(min(response.Pause, maxPause))
	}
	change := k.note(now, id, notice, true)
	change.RateLimit = k.options.Rates.Observe(now, id, incarnation, response.RateLimit)
	return change
}

// Learn notes what another gateway tells of an upstream. Its PausedUntil is later than
// the upstream said by the time that the message took.
func (k *Keeper) Learn(now time.Time, id currantwood.UpstreamID, notice Notice) Change {
	if limit := now.Add(maxPause); notice.PausedUntil.After(limit) {
		notice.PausedUntil = limit
	}
	return k.note(now, id, notice, false)
}

// note merges a notice into the one that is known.
func (k *Keeper) note(now time.Time, id currantwood.UpstreamID, notice Notice, heard bool) Change {
	pauses := notice.PausedUntil.After(now)
	if !notice.Leaving && !pauses {
		return Change{}
	}
	e := k.entries[id]
	switch {
	case e == nil && len(k.entries) >= maxUpstreams:
		return Change{}
	case e == nil || e.notice.Incarnation < notice.Incarnation:
		e = &entry{notice: Notice{Incarnation: notice.Incarnation}}
		k.entries[id] = e
	case e.notice.Incarnation > notice.Incarnation:
		return Change{}
	}
	var change Change
	if notice.Leaving && !e.notice.Leaving {
		e.notice.Leaving, change.Leaving = true, true
	}
	if pauses && notice.PausedUntil.After(e.pauseEnd(heard)) {
		e.notice.PausedUntil, e.endReported, change.Pause = notice.PausedUntil, false, true
	}
	if change != (Change{}) {
		e.since, e.heard = now, heard
	}
	return change
}

// pauseEnd returns the time that the end of a pause has to exceed to replace the known
// one.
func (e *entry) pauseEnd(heard bool) time.Time {
	if heard || e.notice.PausedUntil.IsZero() {
		return e.notice.PausedUntil
	}
	return e.notice.PausedUntil.Add(sameEnd)
}

// get returns the notice of an incarnation; nil if there is none.
func (k *Keeper) get(id currantwood.UpstreamID, incarnation int64) *entry {
	e := k.entries[id]
	if e == nil || e.notice.Incarnation != incarnation {
		return nil
	}
	return e
}

// IsLeaving reports whether an incarnation has said that it is leaving.
func (k *Keeper) IsLeaving(id currantwood.UpstreamID, incarnation int64) bool {
	e := k.get(id, incarnation)
	return e != nil && e.notice.Leaving
}

// IsPaused reports whether an incarnation wants no requests now.
func (k *Keeper) IsPaused(now time.Time, id currantwood.UpstreamID, incarnation int64) bool {
	e := k.get(id, incarnation)
	return e != nil && e.notice.PausedUntil.After(now)
}

// ResumedShare returns the part of its usual work that an upstream should get, from 0 at
// the end of a pause to 1 after resumeTime and if there was none.
func (k *Keeper) ResumedShare(now time.Time, id currantwood.UpstreamID, incarnation int64) float64 {
	e := k.get(id, incarnation)
	if e == nil || e.notice.PausedUntil.IsZero() {
		return 1
	}
	return min(1, max(0, now.Sub(e.notice.PausedUntil).Seconds()/resumeTime.Seconds()))
}

// Want notes that a request would be sent to one of the upstreams.
func (k *Keeper) Want(now time.Time, ids []currantwood.UpstreamID) {
	k.options.Rates.Want(now, ids)
	if k.options.WarmUps != nil {
		k.options.WarmUps.Want(now, ids)
	}
}

// Sent notes that a request is sent to an upstream.
func (k *Keeper) Sent(now time.Time, id currantwood.UpstreamID) {
	k.options.Rates.Sent(now, id)
	if k.options.WarmUps != nil {
		k.options.WarmUps.Sent(now, id)
	}
}

// Slow returns the upstreams that may be slow without being faulty, as they are cold.
func (k *Keeper) Slow(now time.Time) []currantwood.UpstreamID {
	if k.options.WarmUps == nil {
		return nil
	}
	return k.options.WarmUps.Limited(now)
}

// Heard returns the new notices that responses to this gateway gave, to be told to the
// collector.
func (k *Keeper) Heard(now time.Time) Notices {
	return k.collect(now, func(e *entry) bool { return e.heard && now.Sub(e.since) <= shareTime })
}

// Known returns the new notices, to be told by the collector to all gateways; all
// notices if all is true, for a gateway that has just started.
func (k *Keeper) Known(now time.Time, all bool) Notices {
	return k.collect(now, func(e *entry) bool { return all || now.Sub(e.since) <= shareTime })
}

// collect returns the notices that still hold and that wanted chooses.
func (k *Keeper) collect(now time.Time, wanted func(e *entry) bool) Notices {
	if len(k.entries) == 0 {
		return nil
	}
	notices := make(Notices)
	for id, e := range k.entries {
		if wanted(e) && (e.notice.Leaving || e.notice.PausedUntil.After(now)) {
			notices[id] = e.notice
		}
	}
	return notices
}

// EndedPauses returns the upstreams whose pause has ended since the last call, and drops
// notices that no longer matter.
func (k *Keeper) EndedPauses(now time.Time) []currantwood.UpstreamID {
	var ended []currantwood.UpstreamID
	for id, e := range k.entries {
		paused := e.notice.PausedUntil
		if !paused.IsZero() && !paused.After(now) && !e.endReported {
			e.endReported = true
			ended = append(ended, id)
		}
		if e.isOver(now) {
			delete(k.entries, id)
		}
	}
	return ended
}

// isOver reports whether the notice no longer changes any answer.
func (e *entry) isOver(now time.Time) bool {
	if e.notice.Leaving && now.Sub(e.since) <= leavingRetention {
		return false
	}
	return now.Sub(e.notice.PausedUntil) > resumeTime
}
