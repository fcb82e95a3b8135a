package observer

import "time"

// tally counts events of one stretch of time.
type tally struct {
	Good, Bad uint64
}

// ring counts events in slots of equal width and forgets the oldest.
type ring struct {
	width time.Duration
	// slots[n % len(slots)] counts slot number n for the newest len(slots)
	// numbers up to newest.
	slots  []tally
	newest int64
}

func newRing(width time.Duration, slots int) ring {
	return ring{width: width, slots: make([]tally, slots)}
}

// add counts events at now. Time that goes backwards counts in the newest slot.
func (r *ring) add(now time.Time, events tally) {
	r.advance(now)
	slot := &r.slots[r.newest%int64(len(r.slots))]
	slot.Good += events.Good
	slot.Bad += events.Bad
}

// sum adds up the slots that lie within window before now.
func (r *ring) sum(now time.Time, window time.Duration) tally {
	r.advance(now)
	var total tally
	count := min(int64(window/r.width), int64(len(r.slots)))
	for n := max(0, r.newest-count+1); n <= r.newest; n++ {
		slot := r.slots[n%int64(len(r.slots))]
		total.Good += slot.Good
		total.Bad += slot.Bad
	}
	return total
}

func (r *ring) advance(now time.Time) {
	number := now.UnixNano() / int64(r.width)
	first := max(r.newest+1, number-int64(len(r.slots))+1)
	for n := first; n <= number; n++ {
		r.slots[n%int64(len(r.slots))] = tally{}
	}
	r.newest = max(r.newest, number)
}
