package crashkeeper

import (
	"slices"
	"time"

	"github.com/currantwood/currantwood"
)

const (
	// maxProbes bounds the requests that are sent with a blocked suspect, to learn
	// whether upstreams still crash with it, and maxNewSuspectProbes those with one that
	// was never completed.
	maxProbes           = 2
	maxNewSuspectProbes = 1
	// probeDelay is how long after its last crash a suspect is probed first,
	// newSuspectProbeDelay the same for one that was never completed, with which
	// upstreams more probably crash, and probeBackoff the factor by which each probe
	// lengthens that.
	probeDelay           = 5 * time.Second
	newSuspectProbeDelay = 30 * time.Second
	probeBackoff         = 3
	// probeLag is how long after the crash that blocked a suspect those of requests
	// that were sent before may still become known; later crashes are of probes.
	probeLag = 3 * time.Second
)

// TakeProbe reports whether a request may be sent as a probe although FindBlocked finds
// one of its suspects blocked, and counts the probe if so. A suspect that other
// requests share may be blocked wrongly, as when all upstreams failed together; then
// the probe is completed. The crashes of probes are shared with all crashes, so
// gateways that probe one after the other keep to maxProbes together.
func (k *Keeper) TakeProbe(now time.Time, suspects []currantwood.Suspect) bool {
	blocking := k.blocking(now, suspects)
	for _, s := range blocking {
		if s.Kind == currantwood.SuspectRequest || !k.histories[s].probeDue(now, crashLimit(s.Kind)) {
			return false
		}
	}
	for _, s := range blocking {
		h := k.histories[s]
		h.probes++
		h.probedAt = now
	}
	return true
}

// probeDue reports whether a suspect that is blocked from limit crashes on may be probed
// now.
func (h *history) probeDue(now time.Time, limit int) bool {
	times := h.countedTimes(now)
	sent := max(h.probes, crashesAfter(times, times[limit-1].Add(probeLag)))
	delay, most := probeDelay, maxProbes
	if h.completedAt.IsZero() {
		delay, most = newSuspectProbeDelay, maxNewSuspectProbes
	}
	for range sent {
		delay *= probeBackoff
	}
	return sent < most && now.Sub(times[len(times)-1]) >= delay && now.Sub(h.probedAt) >= delay
}

// ReturnProbe notes that a request for which TakeProbe returned true reached no
// upstream.
func (k *Keeper) ReturnProbe(now time.Time, suspects []currantwood.Suspect) {
	for _, s := range k.blocking(now, suspects) {
		h := k.histories[s]
		h.probes = max(0, h.probes-1)
		h.probedAt = time.Time{}
	}
}

// countedTimes returns the times of the crashes that count, the earliest first.
func (h *history) countedTimes(now time.Time) []time.Time {
	var counted []time.Time
	for _, times := range h.crashes {
		if h.counts(now, times.at) {
			counted = append(counted, times.at)
		}
	}
	slices.SortFunc(counted, time.Time.Compare)
	return counted
}

// crashesAfter returns how many of the times are after t.
func crashesAfter(times []time.Time, t time.Time) int {
	count := 0
	for _, at := range times {
		if at.After(t) {
			count++
		}
	}
	return count
}
