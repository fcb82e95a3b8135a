package observer

import "time"

// eventCounts holds the numbers of good and bad events in a time interval.
type eventCounts struct {
	Good, Bad uint64
}

// ring is a ring buffer of event counts in time slots of equal width. It
// overwrites the oldest slot.
type ring struct {
	width time.Duration
	// slots holds the counts of slot number n at n % len(slots), for the last
	// len(slots) numbers up to newest.
	slots []eventCounts
	// newest is a slot number: the time since the Unix epoch divided by width.
	newest int64
}

func newRing(width time.Duration, slots int) ring {
	return ring{width: width, slots: make([]eventCounts, slots)}
}

// add counts events at now. If the clock went backwards, they count in the
// newest slot.
func (r *ring) add(now time.Time, events eventCounts) {
	r.advance(now)
	slot := &r.slots[r.newest%int64(len(r.slots))]
	slot.Good += events.Good
	slot.Bad += events.Bad
}

// sum returns the sum of the newest window/width slots, at most all of them. The slot
// of now counts as a whole one, although it is still filling.
func (r *ring) sum(now time.Time, window time.Duration) eventCounts {
	r.advance(now)
	var total eventCounts
	count := min(int64(window/r.width), int64(len(r.slots)))
	for n := max(0, r.newest-count+1); n <= r.newest; n++ {
		slot := r.slots[n%int64(len(r.slots))]
		total.Good += slot.Good
		total.Bad += slot.Bad
	}
	return total
}

// advance clears the slots between newest and now.
func (r *ring) advance(now time.Time) {
	number := now.UnixNano() / int64(r.width)
	first := max(r.newest+1, number-int64(len(r.slots))+1)
	for n := first; n <= number; n++ {
		r.slots[n%int64(len(r.slots))] = eventCounts{}
	}
	r.newest = max(r.newest, number)
}
