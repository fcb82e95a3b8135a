package crashkeeper

import (
	"slices"
	"time"

	"github.com/currantwood/currantwood"
)

const (
	// maxProbes bounds the requests that are sent with a blocked suspect, to learn
	// whether upstreams still crash with it.
	maxProbes = 2
	// probeDelay is how long after its last crash a suspect is probed first, and
	// probeBackoff the factor by which each probe lengthens that.
	probeDelay   = 5 * time.Second
	probeBackoff = 3
	// probeLag is how long after the crash that blocked a suspect those of requests
	// that were sent before may still become known; later crashes are of probes.
	probeLag = 3 * time.Second
)

// TakeProbe reports whether a request with a blocked suspect may be sent as a probe,
// and counts it if so. A suspect that other requests share may have been blocked
// wrongly, as when all upstreams failed together; then the probe is completed. The
// crashes of probes are shared with all crashes, so gateways that probe one after the
// other keep to maxProbes together.
func (k *Keeper) TakeProbe(now time.Time, s currantwood.Suspect) bool {
	h := k.histories[s]
	if s.Kind == currantwood.SuspectRequest || h == nil {
		return false
	}
	times := h.countedTimes(now)
	if len(times) < maxCrashes {
		return false
	}
	sent := max(h.probes, crashesAfter(times, times[maxCrashes-1].Add(probeLag)))
	delay := probeDelay
	for range sent {
		delay *= probeBackoff
	}
	if sent >= maxProbes || now.Sub(times[len(times)-1]) < delay || now.Sub(h.probedAt) < delay {
		return false
	}
	h.probes++
	h.probedAt = now
	return true
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
