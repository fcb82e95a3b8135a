// Package crashkeeper counts, for each request, the upstreams that crashed while
// they ran it, as seen by this gateway and its peers, and reports which requests
// must be blocked. Requests with the same fingerprint count as one.
package crashkeeper

import (
	"time"

	"github.com/currantwood/currantwood"
)

const (
	// maxCrashes is the number of crashed upstreams at which a request is
	// blocked.
	maxCrashes = 3
	// crashLifetime is how long a crash counts.
	crashLifetime = 10 * time.Minute
	// sendWindow is how long a crash is sent to peers after it was first recorded
	// here.
	sendWindow = 4 * time.Second
	// maxRequests bounds the number of requests whose crashes are kept.
	maxRequests = 4096
	// maxSent bounds the number of crashes that Recent returns.
	maxSent = 16
)

// Crash records that an upstream crashed while it ran a request.
type Crash struct {
	Fingerprint currantwood.Fingerprint
	Upstream    currantwood.UpstreamID
}

// RecordResult is what a call of Record did.
type RecordResult struct {
	// New is whether the crash was not known before.
	New bool
	// Count is the number of crashes of the request that count now; 0 if the crash
	// was ignored since too many requests have crashes.
	Count int
}

// Keeper holds recent crashes. It is not safe for concurrent use.
type Keeper struct {
	// crashes holds, for each request, the upstreams that crashed and when the
	// crash was first recorded. It has at most maxRequests entries.
	crashes map[currantwood.Fingerprint]map[currantwood.UpstreamID]time.Time
}

// New returns a keeper without crashes.
func New() *Keeper {
	return &Keeper{crashes: make(map[currantwood.Fingerprint]map[currantwood.UpstreamID]time.Time)}
}

// Record adds a crash. Repeated crashes of the same upstream on the same request
// count once, from the time of the first. A repeat is ignored as long as the first
// is stored; an expired one stays stored until deleteExpired runs, which happens
// only when maxRequests is reached. While maxRequests requests have crashes that
// count, crashes on further requests are ignored.
func (k *Keeper) Record(now time.Time, c Crash) RecordResult {
	if k.crashes[c.Fingerprint] == nil {
		if len(k.crashes) >= maxRequests {
			k.deleteExpired(now)
		}
		if len(k.crashes) >= maxRequests {
			return RecordResult{}
		}
		k.crashes[c.Fingerprint] = make(map[currantwood.UpstreamID]time.Time)
	}
	_, known := k.crashes[c.Fingerprint][c.Upstream]
	if !known {
		k.crashes[c.Fingerprint][c.Upstream] = now
	}
	return RecordResult{New: !known, Count: k.count(now, c.Fingerprint)}
}

// count returns the number of crashes of a request that count.
func (k *Keeper) count(now time.Time, request currantwood.Fingerprint) int {
	count := 0
	for _, at := range k.crashes[request] {
		if now.Sub(at) <= crashLifetime {
			count++
		}
	}
	return count
}

// deleteExpired deletes the crashes that no longer count.
func (k *Keeper) deleteExpired(now time.Time) {
	for request, upstreams := range k.crashes {
		for id, at := range upstreams {
			if now.Sub(at) > crashLifetime {
				delete(upstreams, id)
			}
		}
		if len(upstreams) == 0 {
			delete(k.crashes, request)
		}
	}
}

// Blocked reports whether so many upstreams have crashed while they ran a request
// that it must not be sent to another.
func (k *Keeper) Blocked(now time.Time, request currantwood.Fingerprint) bool {
	return k.count(now, request) >= maxCrashes
}

// Recent returns the crashes to send to peers now: up to maxSent of those first
// recorded here within sendWindow, including those that peers reported.
func (k *Keeper) Recent(now time.Time) []Crash {
	var recent []Crash
	for request, upstreams := range k.crashes {
		for id, at := range upstreams {
			if now.Sub(at) <= sendWindow && len(recent) < maxSent {
				recent = append(recent, Crash{Fingerprint: request, Upstream: id})
			}
		}
	}
	return recent
}
