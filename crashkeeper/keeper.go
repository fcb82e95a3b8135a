// Package crashkeeper counts, for each suspect, the upstreams that crashed while
// they ran a request with it, as seen by this gateway and its peers, and reports
// which suspects are blocked: requests with them must not be sent on.
package crashkeeper

import (
	"slices"
	"time"

	"github.com/currantwood/currantwood"
)

const (
	// maxCrashes is the number of crashed upstreams at which a suspect is blocked, and
	// maxPartCrashes that for a part of a prompt.
	maxCrashes     = 3
	maxPartCrashes = 5
	// recurrentCrashes is the number of crashes from which on a suspect is recurrent:
	// all gateways must know of them, also those that start later.
	recurrentCrashes = 2
	// crashLifetime is how long a crash counts.
	crashLifetime = 10 * time.Minute
	// sendWindow is how long a crash is sent to peers after it was first recorded
	// here. Those of recurrent suspects are sent later, too, to peers that lack them.
	sendWindow = 4 * time.Second
	// maxSuspects bounds the number of suspects whose crashes are kept. It is twice as many as
	// one request has.
	maxSuspects = 8192
	// evictedSuspects is the number of suspects that are forgotten at once when
	// maxSuspects have crashes, so that the table isn't sorted for each crash.
	evictedSuspects = maxSuspects / 8
	// minSent is the number of crashes, or of completions, that are sent at a time if there
	// are more, and sentShare the share of them that is sent if that is more: each then goes out
	// several times within sendWindow, as datagrams are lost.
	minSent   = 16
	sentShare = 1.0 / 16
	// minRestartTime is the shortest time in which an upstream is back after a
	// crash.
	minRestartTime = 500 * time.Millisecond
)

// Crash records that an upstream crashed while it ran a request with a suspect. Two
// equal values are the same crash, whichever gateways saw it.
type Crash struct {
	Suspect  currantwood.Suspect
	Upstream currantwood.UpstreamID
	// Incarnation is that of the upstream when the request was sent to it; 0 if
	// unknown, as in reports of gateways that don't send it.
	Incarnation int64
	// UnseenRestarts counts the restarts of the upstream between the first crash of
	// this incarnation and this one that the directory hasn't shown, as during an
	// outage of the store.
	UnseenRestarts uint32
}

// Failure is an exchange with an upstream that ended without a whole response.
type Failure struct {
	Suspect     currantwood.Suspect
	Upstream    currantwood.UpstreamID
	Incarnation int64
	// SentAt is when the request was sent.
	SentAt time.Time
	// Broken is whether the upstream closed the connection or is known to have ended,
	// rather than that this gateway only stopped waiting.
	Broken bool
}

// crashKey identifies a crash among those of one suspect.
type crashKey struct {
	upstream       currantwood.UpstreamID
	incarnation    int64
	unseenRestarts uint32
}

func (c Crash) key() crashKey { return crashKey{c.Upstream, c.Incarnation, c.UnseenRestarts} }

// RecordResult is what a call of Record did.
type RecordResult struct {
	// New is whether the crash was not known before.
	New bool
	// Count is the number of crashes of the suspect that count now.
	Count int
	// Recurrent is whether the suspect is recurrent.
	Recurrent bool
}

// AgedCrash is a crash and how long ago it was recorded first, at any gateway.
type AgedCrash struct {
	Crash
	Age time.Duration
}

// Keeper holds recent crashes. It is not safe for concurrent use.
type Keeper struct {
	// histories holds those of suspects that have crashed upstreams, at most
	// maxSuspects.
	histories map[currantwood.Suspect]*history
	// recurrent holds those of suspects that were recurrent when a crash was last
	// recorded, and those with saved crashes.
	recurrent map[currantwood.Suspect]*history
	// savesSingles is whether suspects with one crash are saved, too.
	savesSingles bool
	// completions holds when upstreams last ran requests with suspects to the end,
	// also of those without crashes; at most maxCompletions, none of a request.
	completions map[currantwood.Suspect]time.Time
	// forgotten counts the suspects that were forgotten although their crashes counted.
	forgotten int64
}

// New returns a keeper without crashes.
func New() *Keeper {
	return &Keeper{
		histories:   make(map[currantwood.Suspect]*history),
		recurrent:   make(map[currantwood.Suspect]*history),
		completions: make(map[currantwood.Suspect]time.Time),
	}
}

// KnownFirst returns the suspects of a request, those with crashes first. Recorded in that order,
// the crashes of a request with many suspects don't displace those of its own suspects before.
func (k *Keeper) KnownFirst(suspects []currantwood.Suspect) []currantwood.Suspect {
	sorted := slices.Clone(suspects)
	slices.SortStableFunc(sorted, func(a, b currantwood.Suspect) int { return k.rankOf(a) - k.rankOf(b) })
	return sorted
}

// rankOf returns 0 for a suspect with crashes, else 1.
func (k *Keeper) rankOf(s currantwood.Suspect) int {
	if _, known := k.histories[s]; known {
		return 0
	}
	return 1
}

// RecordFailure records a failed exchange as a crash of the upstream. A failure at
// an incarnation whose crash is already recorded is the same crash, unless the
// upstream has accepted and broken off a request that was sent to it
// minRestartTime or more after the last one: then it has restarted unseen.
func (k *Keeper) RecordFailure(now time.Time, f Failure) (Crash, RecordResult) {
	c := Crash{Suspect: f.Suspect, Upstream: f.Upstream, Incarnation: f.Incarnation}
	last, recordedAt, known := k.lastCrash(f)
	if known {
		c.UnseenRestarts = last.unseenRestarts
		if f.Broken && f.SentAt.Sub(recordedAt) >= minRestartTime {
			c.UnseenRestarts++
		}
	}
	return c, k.Record(now, AgedCrash{Crash: c})
}

// lastCrash returns the last known crash of the failure's upstream incarnation with
// its suspect, and when it was recorded.
func (k *Keeper) lastCrash(f Failure) (last crashKey, recordedAt time.Time, known bool) {
	h := k.histories[f.Suspect]
	if h == nil {
		return crashKey{}, time.Time{}, false
	}
	for key, times := range h.crashes {
		if key.upstream == f.Upstream && key.incarnation == f.Incarnation && (!known || key.unseenRestarts > last.unseenRestarts) {
			last, recordedAt, known = key, times.learnedAt, true
		}
	}
	return last, recordedAt, known
}

// Record adds a crash, seen here or reported by a peer. A crash that is known
// counts once, from the time of its first record, and again once that no longer
// counts. One that is too old to count, or from before a completion, is ignored. If
// maxSuspects have crashes, those least likely to be blocked are forgotten. If a
// completion is known, peers are told of it: they may lack it.
func (k *Keeper) Record(now time.Time, c AgedCrash) RecordResult {
	if c.Age > crashLifetime {
		return RecordResult{Count: k.count(now, c.Suspect)}
	}
	h := k.historyOf(now, c.Suspect)
	h.deleteExpired(now)
	at := now.Add(-max(0, c.Age))
	key, known := h.find(c.Crash)
	isNew := !known && at.After(h.completedAt)
	switch {
	case isNew:
		h.crashes[key] = crashTimes{at: at, learnedAt: now}
	case known:
		h.reconcile(now, key, at)
	}
	if isNew || !at.After(h.completedAt) {
		h.tell(now)
	}
	if h.isRecurrent(now) {
		k.recurrent[c.Suspect] = h
	}
	return RecordResult{New: isNew, Count: h.count(now), Recurrent: h.isRecurrent(now)}
}

// historyOf returns the history of a suspect, a new one if it had none.
func (k *Keeper) historyOf(now time.Time, s currantwood.Suspect) *history {
	h := k.histories[s]
	if h == nil {
		if len(k.histories) >= maxSuspects {
			k.makeRoom(now)
		}
		h = &history{crashes: make(map[crashKey]crashTimes), completedAt: k.completions[s]}
		k.histories[s] = h
	}
	return h
}
