// Package crashkeeper counts, for each request, the upstreams that crashed while
// they ran it, as seen by this gateway and its peers, and reports which requests
// must be blocked. Requests with the same fingerprint count as one.
package crashkeeper

import (
	"cmp"
	"slices"
	"time"

	"github.com/currantwood/currantwood"
)

const (
	// maxCrashes is the number of crashed upstreams at which a request is
	// blocked.
	maxCrashes = 3
	// crashLifetime is how long a crash counts.
	crashLifetime = 10 * time.Minute
	// recurrentCrashes is the number of crashes from which on a request is recurrent:
	// all gateways must know of them, also those that start later.
	recurrentCrashes = 2
	// sendWindow is how long a crash is sent to peers after it was first recorded
	// here. Those of recurrent requests are sent later, too, to peers that lack them.
	sendWindow = 4 * time.Second
	// maxRequests bounds the number of requests whose crashes are kept.
	maxRequests = 4096
	// evictedRequests is the number of requests that are forgotten at once when
	// maxRequests have crashes, so that the table isn't sorted for each crash.
	evictedRequests = maxRequests / 8
	// maxSent bounds the number of crashes that Recent returns.
	maxSent = 16
	// minRestartTime is the shortest time in which an upstream is back after a
	// crash.
	minRestartTime = 500 * time.Millisecond
)

// Crash records that an upstream crashed while it ran a request. Two equal values
// are the same crash, whichever gateways saw it.
type Crash struct {
	Fingerprint currantwood.Fingerprint
	Upstream    currantwood.UpstreamID
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
	Fingerprint currantwood.Fingerprint
	Upstream    currantwood.UpstreamID
	Incarnation int64
	// SentAt is when the request was sent.
	SentAt time.Time
	// Broken is whether the upstream closed the connection or is known to have ended,
	// rather than that this gateway only stopped waiting.
	Broken bool
}

// crashKey identifies a crash among those of one request.
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
	// Count is the number of crashes of the request that count now.
	Count int
}

// AgedCrash is a crash and how long ago it was recorded first, at any gateway.
type AgedCrash struct {
	Crash
	Age time.Duration
}

// crashTimes tells when a crash was recorded.
type crashTimes struct {
	// at is when it was recorded first, at any gateway; its lifetime counts from then.
	at time.Time
	// learnedAt is when it was recorded first here.
	learnedAt time.Time
}

// request is a request that has crashed upstreams.
type request struct {
	crashes map[crashKey]crashTimes
	// savedSum is the checksum of the crashes that are saved in the store; 0 if none
	// are.
	savedSum uint64
	// completedAt is when an upstream last ran it to the end; zero if none did.
	completedAt time.Time
}

// counts reports whether a crash recorded at a time counts.
func (r *request) counts(now, at time.Time) bool {
	return now.Sub(at) <= crashLifetime && at.After(r.completedAt)
}

// Keeper holds recent crashes. It is not safe for concurrent use.
type Keeper struct {
	// requests holds the requests that have crashed upstreams, at most maxRequests.
	requests map[currantwood.Fingerprint]*request
	// recurrent holds those of requests that were recurrent when a crash was last
	// recorded, and those with saved crashes.
	recurrent map[currantwood.Fingerprint]*request
}

// New returns a keeper without crashes.
func New() *Keeper {
	return &Keeper{requests: make(map[currantwood.Fingerprint]*request), recurrent: make(map[currantwood.Fingerprint]*request)}
}

// RecordCompletion notes that an upstream ran a request to the end. What crashed
// while it ran the request before did so for another reason, and no longer counts.
func (k *Keeper) RecordCompletion(now time.Time, f currantwood.Fingerprint) {
	if r := k.requests[f]; r != nil {
		r.completedAt = now
	}
}

// RecordFailure records a failed exchange as a crash of the upstream. A failure at
// an incarnation whose crash is already recorded is the same crash, unless the
// upstream has accepted and broken off a request that was sent to it
// minRestartTime or more after the last one: then it has restarted unseen.
func (k *Keeper) RecordFailure(now time.Time, f Failure) (Crash, RecordResult) {
	c := Crash{Fingerprint: f.Fingerprint, Upstream: f.Upstream, Incarnation: f.Incarnation}
	last, recordedAt, known := k.lastCrash(f)
	if known {
		c.UnseenRestarts = last.unseenRestarts
		if f.Broken && f.SentAt.Sub(recordedAt) >= minRestartTime {
			c.UnseenRestarts++
		}
	}
	return c, k.Record(now, AgedCrash{Crash: c})
}

// lastCrash returns the last known crash of the failure's upstream incarnation on
// its request, and when it was recorded.
func (k *Keeper) lastCrash(f Failure) (last crashKey, recordedAt time.Time, known bool) {
	r := k.requests[f.Fingerprint]
	if r == nil {
		return crashKey{}, time.Time{}, false
	}
	for key, times := range r.crashes {
		if key.upstream == f.Upstream && key.incarnation == f.Incarnation && (!known || key.unseenRestarts > last.unseenRestarts) {
			last, recordedAt, known = key, times.learnedAt, true
		}
	}
	return last, recordedAt, known
}

// Record adds a crash, seen here or reported by a peer. A crash that is known
// counts once, from the time of its first record, and again once that no longer
// counts. A crash that is too old to count is ignored. If maxRequests requests have
// crashes, those least likely to be blocked are forgotten.
func (k *Keeper) Record(now time.Time, c AgedCrash) RecordResult {
	if c.Age > crashLifetime {
		return RecordResult{Count: k.count(now, c.Fingerprint)}
	}
	r := k.requests[c.Fingerprint]
	if r == nil {
		if len(k.requests) >= maxRequests {
			k.makeRoom(now)
		}
		r = &request{crashes: make(map[crashKey]crashTimes)}
		k.requests[c.Fingerprint] = r
	}
	r.deleteExpired(now)
	known := r.knows(c.Crash)
	if !known {
		r.crashes[c.key()] = crashTimes{at: now.Add(-max(0, c.Age)), learnedAt: now}
	}
	if r.isRecurrent() {
		k.recurrent[c.Fingerprint] = r
	}
	return RecordResult{New: !known, Count: k.count(now, c.Fingerprint)}
}

// knows reports whether a crash is recorded. A crash of an unknown incarnation is
// taken for any other of the same upstream. If c has an incarnation and the
// recorded crash doesn't, that one is forgotten in favor of c.
func (r *request) knows(c Crash) bool {
	if c.Incarnation != 0 {
		delete(r.crashes, crashKey{upstream: c.Upstream})
	}
	for key := range r.crashes {
		if key.upstream == c.Upstream && (c.Incarnation == 0 || key.incarnation == c.Incarnation && key.unseenRestarts == c.UnseenRestarts) {
			return true
		}
	}
	return false
}

// count returns the number of crashes of a request that count.
func (k *Keeper) count(now time.Time, f currantwood.Fingerprint) int {
	r := k.requests[f]
	if r == nil {
		return 0
	}
	count := 0
	for _, times := range r.crashes {
		if r.counts(now, times.at) {
			count++
		}
	}
	return count
}

// deleteExpired deletes the crashes that no longer count by their age.
func (r *request) deleteExpired(now time.Time) {
	for key, times := range r.crashes {
		if now.Sub(times.at) > crashLifetime {
			delete(r.crashes, key)
		}
	}
}

// newest returns when the last of the crashes was recorded.
func (r *request) newest() time.Time {
	var newest time.Time
	for _, times := range r.crashes {
		if times.at.After(newest) {
			newest = times.at
		}
	}
	return newest
}

// makeRoom forgets the requests whose crashes no longer count and, if there are
// fewer than evictedRequests, as many more: those with the fewest crashes first, and
// of these the ones that crashed an upstream longest ago.
func (k *Keeper) makeRoom(now time.Time) {
	type candidate struct {
		fingerprint currantwood.Fingerprint
		count       int
		newest      time.Time
	}
	var candidates []candidate
	evicted := 0
	for f, r := range k.requests {
		r.deleteExpired(now)
		if len(r.crashes) == 0 {
			k.forget(f)
			evicted++
			continue
		}
		candidates = append(candidates, candidate{f, k.count(now, f), r.newest()})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.count, b.count), a.newest.Compare(b.newest))
	})
	for _, c := range candidates[:max(0, evictedRequests-evicted)] {
		k.forget(c.fingerprint)
	}
}

// forget forgets a request.
func (k *Keeper) forget(f currantwood.Fingerprint) {
	delete(k.requests, f)
	delete(k.recurrent, f)
}

// forgetRecurrent notes that a request isn't recurrent, and forgets it if it has no
// crashes.
func (k *Keeper) forgetRecurrent(f currantwood.Fingerprint) {
	if len(k.requests[f].crashes) == 0 {
		k.forget(f)
	}
	delete(k.recurrent, f)
}

// Blocked reports whether so many upstreams have crashed while they ran a request
// that it must not be sent to another.
func (k *Keeper) Blocked(now time.Time, f currantwood.Fingerprint) bool {
	return k.count(now, f) >= maxCrashes
}

// Recent returns the crashes to send to peers now: up to maxSent of those first
// recorded here within sendWindow, including those that peers reported, the newest
// first.
func (k *Keeper) Recent(now time.Time) []AgedCrash {
	var recent []AgedCrash
	for f, r := range k.requests {
		for key, times := range r.crashes {
			if now.Sub(times.learnedAt) <= sendWindow {
				recent = append(recent, newAgedCrash(now, f, key, times))
			}
		}
	}
	slices.SortFunc(recent, func(a, b AgedCrash) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return recent[:min(len(recent), maxSent)]
}

func newAgedCrash(now time.Time, f currantwood.Fingerprint, key crashKey, times crashTimes) AgedCrash {
	return AgedCrash{
		Crash: Crash{Fingerprint: f, Upstream: key.upstream, Incarnation: key.incarnation, UnseenRestarts: key.unseenRestarts},
		Age:   now.Sub(times.at),
	}
}
