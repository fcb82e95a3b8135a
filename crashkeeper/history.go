package crashkeeper

import (
	"time"

	"github.com/currantwood/currantwood"
)

// crashTimes tells when a crash was recorded.
type crashTimes struct {
	// at is when it was recorded first, at any gateway; its lifetime counts from then.
	at time.Time
	// learnedAt is when it was recorded first here.
	learnedAt time.Time
	// sent counts how often it was sent to peers.
	sent int
}

// history is what a suspect has to do with the crashes of upstreams.
type history struct {
	crashes map[crashKey]crashTimes
	// savedSum is the checksum of the crashes that are saved in the store; 0 if none
	// are.
	savedSum uint64
	// completedAt is when an upstream last ran a request with the suspect to the end;
	// zero if none is known to have. Crashes until then don't count.
	completedAt time.Time
	// tellUntil is until when peers are told of that completion, and told counts how often they
	// were.
	tellUntil time.Time
	told      int
	// probes counts the probes that this gateway has sent since that completion, and
	// probedAt is when it sent the last one.
	probes   int
	probedAt time.Time
}

// counts reports whether a crash recorded at a time counts.
func (h *history) counts(now, at time.Time) bool {
	return now.Sub(at) <= crashLifetime && at.After(h.completedAt)
}

// count returns the number of crashes that count.
func (h *history) count(now time.Time) int {
	count := 0
	for _, times := range h.crashes {
		if h.counts(now, times.at) {
			count++
		}
	}
	return count
}

// reconcile settles at which of two times a known crash was recorded first: the
// earlier one. If the crash counts by the reported time only, peers are sent the
// earlier one.
func (h *history) reconcile(now time.Time, key crashKey, reported time.Time) {
	times := h.crashes[key]
	if reported.Before(times.at) {
		times.at = reported
	} else if !times.at.After(h.completedAt) && reported.After(h.completedAt) {
		times.learnedAt, times.sent = now, 0
		h.tell(now)
	}
	h.crashes[key] = times
}

// tell makes peers be told of the completion for sendWindow.
func (h *history) tell(now time.Time) { h.tellUntil, h.told = now.Add(sendWindow), 0 }

// find returns the key of a crash and whether the crash is recorded. One of an unknown
// incarnation is taken for any other of the same upstream. If c has an incarnation and
// the recorded crash doesn't, that one is forgotten in favor of c.
func (h *history) find(c Crash) (key crashKey, known bool) {
	if c.Incarnation != 0 {
		delete(h.crashes, crashKey{upstream: c.Upstream})
	}
	for key := range h.crashes {
		if key.upstream == c.Upstream && (c.Incarnation == 0 || key == c.key()) {
			return key, true
		}
	}
	return c.key(), false
}

// count returns the number of crashes of a suspect that count.
func (k *Keeper) count(now time.Time, s currantwood.Suspect) int {
	if h := k.histories[s]; h != nil {
		return h.count(now)
	}
	return 0
}

// deleteExpired deletes the crashes that no longer count by their age.
func (h *history) deleteExpired(now time.Time) {
	for key, times := range h.crashes {
		if now.Sub(times.at) > crashLifetime {
			delete(h.crashes, key)
		}
	}
}

// newest returns when the last of the crashes was recorded.
func (h *history) newest() time.Time {
	var newest time.Time
	for _, times := range h.crashes {
		if times.at.After(newest) {
			newest = times.at
		}
	}
	return newest
}
