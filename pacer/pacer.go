// Package pacer spaces out the last events of an upstream while another
// upstream takes over its run.
//
// The next upstream resumes after the last event that the client had received
// when it was asked, and generates again what the previous one has sent since.
// If those events were passed on as they arrive, the client would then wait for
// as long as they lasted, on top of the time that the next upstream takes to
// start. Spaced out, they give the client several short pauses instead of a
// long one.
package pacer

import "time"

const (
	// gapShare is the gap between two events that are spaced out, as a share of
	// the longest pause that is still on time.
	gapShare = 2.0 / 3
	// maxGap bounds that gap: an event that is delayed much longer would itself
	// be late.
	maxGap = 120 * time.Millisecond
)

// Pacer spaces out the events of one stream. It is not safe for concurrent use.
type Pacer struct {
	// gap is the target time between two events; 0 delays none.
	gap time.Duration
	// lastDelivered is when the client received its last event; zero before the
	// first.
	lastDelivered time.Time
}

// New returns the Pacer of a stream. gapTarget is the longest pause between its
// events that is still on time; 0 means that there is no such bound, and no
// event is delayed.
func New(gapTarget time.Duration) *Pacer {
	return &Pacer{gap: min(maxGap, time.Duration(gapShare*float64(gapTarget)))}
}

// Delivered records that an event was delivered to the client.
func (p *Pacer) Delivered(now time.Time) { p.lastDelivered = now }

// Delay returns how long to hold back an event that arrived while another
// upstream is taking over the run.
func (p *Pacer) Delay(now time.Time) time.Duration {
	if p.lastDelivered.IsZero() {
		return 0
	}
	return max(0, p.gap-now.Sub(p.lastDelivered))
}
