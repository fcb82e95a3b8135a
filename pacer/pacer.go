// Package pacer spreads the last events of an upstream over the time in which
// another takes its run over.
//
// The next upstream goes on after the last event that the client had when it was
// asked, and makes anew what the last one sent meanwhile. Were those events
// passed on as they come, the client would then wait for as long as they lasted,
// on top of the start. Spread, they leave it short pauses instead of a long one.
package pacer

import "time"

const (
	// gapShare is the part of the longest pause that is still on time that is
	// left between two events.
	gapShare = 2.0 / 3
	// maxGap bounds that: an event that is kept much longer comes late
	// itself.
	maxGap = 120 * time.Millisecond
)

// Pacer is the pace of one stream. It is not safe for concurrent use.
type Pacer struct {
	gap time.Duration
	// lastDelivered is when the client was given its last event; zero before.
	lastDelivered time.Time
}

// New returns the pacer of a stream, by the longest pause between its events
// that is still on time; 0 where none is stated.
func New(gapTarget time.Duration) *Pacer {
	return &Pacer{gap: min(maxGap, time.Duration(gapShare*float64(gapTarget)))}
}

// Delivered notes that the client was given an event.
func (p *Pacer) Delivered(now time.Time) { p.lastDelivered = now }

// Delay is how long an event is kept that came while another upstream is taking
// the run over.
func (p *Pacer) Delay(now time.Time) time.Duration {
	if p.lastDelivered.IsZero() {
		return 0
	}
	return max(0, p.gap-now.Sub(p.lastDelivered))
}
