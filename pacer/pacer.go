// Package pacer paces the last events of an upstream while its run is moved to
// another: it delays them so that they are evenly apart.
//
// The new upstream resumes after the last event that the client had received
// when it was asked, and generates again what the old one has sent since. If
// those events were passed on at once, one long pause would follow: the new
// upstream has to start and then to generate the same events again. Paced, they
// give the client several short pauses instead.
package pacer

import "time"

const (
	// gapShare is the gap between two paced events, as a share of the longest
	// pause that the route allows.
	gapShare = 2.0 / 3
	// maxGap bounds that gap: an event that is delayed much longer would itself
	// be late.
	maxGap = 120 * time.Millisecond
)

// Pacer paces the events of one stream. It is not safe for concurrent use.
type Pacer struct {
	// gap is the least time between two paced events; 0 delays none.
	gap time.Duration
	// lastDelivered is when the client received its last event; zero before the
	// first.
	lastDelivered time.Time
}

// New returns the Pacer of a stream. gapTarget is the longest pause between its
// events that the route allows; 0 means that there is no such bound, and no
// event is delayed.
func New(gapTarget time.Duration) *Pacer {
	return &Pacer{gap: min(maxGap, time.Duration(gapShare*float64(gapTarget)))}
}

// Delivered records that an event was delivered to the client.
func (p *Pacer) Delivered(now time.Time) { p.lastDelivered = now }

// Delay returns how long to hold back an event that arrived while the run is
// being moved.
func (p *Pacer) Delay(now time.Time) time.Duration {
	if p.lastDelivered.IsZero() {
		return 0
	}
	return max(0, p.gap-now.Sub(p.lastDelivered))
}
