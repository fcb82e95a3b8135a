// Package pacer paces the last events of an upstream once another has been asked
// to resume its run: it delays them so that they are at least a given gap apart.
//
// The new upstream resumes after the last event that the client had received
// when it was asked, and generates again what the old one has sent since. If
// those events were passed on at once, one long pause would follow: the new
// upstream has to start and then to generate the same events again. Paced, they
// give the client several short pauses instead.
package pacer

import "time"

const (
	// gapShare is the gap between two paced events, as a share of the route's
	// GapTarget.
	gapShare = 2.0 / 3
	// maxGap bounds that gap: a much longer delay would itself be a pause that
	// the client notices.
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

// New returns the Pacer of a stream. gapTarget is the route's target for the
// longest pause between events; 0 means that there is none, and no event is
// delayed.
func New(gapTarget time.Duration) *Pacer {
	return &Pacer{gap: min(maxGap, time.Duration(gapShare*float64(gapTarget)))}
}

// Delivered records that an event was delivered to the client.
func (p *Pacer) Delivered(now time.Time) { p.lastDelivered = now }

// Delay returns how long to hold back an event that arrived after the new
// upstream was asked to resume the run and before it answered.
func (p *Pacer) Delay(now time.Time) time.Duration {
	if p.lastDelivered.IsZero() {
		return 0
	}
	return max(0, p.gap-now.Sub(p.lastDelivered))
}
