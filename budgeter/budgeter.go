// Package budgeter holds the repeated sends of all gateways together to a
// budget for each group of upstreams.
//
// No gateway asks before a repeat. Each tells what it has used, and allows a
// repeat while the sum of what all have told stays below the budget with a
// margin for what is under way. Without word of the others it keeps to a share
// of its own.
package budgeter

import (
	"time"

	"github.com/currantwood/currantwood"
)

const (
	// buckets is the number of parts that a window is counted in.
	buckets = 20
	// margin is the part of the budget that may be used by what all have told.
	// The rest is for repeats that aren't told yet.
	margin = 0.8
	// ordinary is the part of that for repeats of failed requests. The rest is
	// kept for runs that have to leave their engine.
	ordinary = 0.6
	// belief is how long the word of the others is used.
	belief = time.Second
	// fewest is the number of gateways that is assumed at least where nothing
	// is known of the others.
	fewest = 4
)

// Urgency says what a repeat is for.
type Urgency uint8

// The urgencies.
const (
	// Ordinary repeats follow a failure.
	Ordinary Urgency = iota + 1
	// Rescue repeats continue a run whose engine leaves.
	Rescue
)

// Use is what was sent to a group within the window.
type Use struct {
	// Requests counts the requests, Repeats their sends beyond the first.
	Requests, Repeats int
}

// Options are the bounds that all gateways share.
type Options struct {
	Window  time.Duration
	Share   currantwood.Share
	Reserve float64
}

// ring counts by buckets of time.
type ring struct {
	uses [buckets]Use
	// last is the number of the newest bucket since time zero.
	last int64
}

// Budgeter counts. It is not safe for concurrent use.
type Budgeter struct {
	options  Options
	groups   map[currantwood.GroupID]*ring
	others   map[currantwood.GroupID]Use
	othersAt time.Time
	gateways int
}

// New returns a budgeter that has counted nothing.
func New(options Options) *Budgeter {
	if options.Window <= 0 {
		options.Window = 10 * time.Second
	}
	return &Budgeter{options: options, groups: make(map[currantwood.GroupID]*ring), gateways: fewest}
}

// Requested notes a request for a group.
func (b *Budgeter) Requested(now time.Time, id currantwood.GroupID) {
	b.bucket(now, id).Requests++
}

// Repeated notes a send beyond the first.
func (b *Budgeter) Repeated(now time.Time, id currantwood.GroupID) {
	b.bucket(now, id).Repeats++
}

// bucket returns the newest bucket of a group.
func (b *Budgeter) bucket(now time.Time, id currantwood.GroupID) *Use {
	r := b.groups[id]
	if r == nil {
		r = &ring{}
		b.groups[id] = r
	}
	b.advance(now, r)
	return &r.uses[r.last%buckets]
}

// advance empties the buckets that have come round again.
func (b *Budgeter) advance(now time.Time, r *ring) {
	current := now.UnixNano() / int64(b.options.Window/buckets)
	if current-r.last >= buckets {
		r.uses = [buckets]Use{}
		r.last = current
		return
	}
	for r.last < current {
		r.last++
		r.uses[r.last%buckets] = Use{}
	}
}

// Used returns what this gateway has used of each group.
func (b *Budgeter) Used(now time.Time) map[currantwood.GroupID]Use {
	used := make(map[currantwood.GroupID]Use, len(b.groups))
	for id := range b.groups {
		used[id] = b.used(now, id)
	}
	return used
}

func (b *Budgeter) used(now time.Time, id currantwood.GroupID) Use {
	r := b.groups[id]
	if r == nil {
		return Use{}
	}
	b.advance(now, r)
	var sum Use
	for _, u := range r.uses {
		sum.Requests += u.Requests
		sum.Repeats += u.Repeats
	}
	return sum
}

// TakeOthers takes what the other gateways have used, and the number of all.
// The number is never lowered: gateways that can't be heard may go on.
func (b *Budgeter) TakeOthers(now time.Time, others map[currantwood.GroupID]Use, gateways int) {
	b.others, b.othersAt = others, now
	b.gateways = max(b.gateways, gateways)
}

// Allows reports whether a repeat may be sent.
func (b *Budgeter) Allows(now time.Time, id currantwood.GroupID, urgency Urgency) bool {
	part := margin
	if urgency == Ordinary {
		part *= ordinary
	}
	own := b.used(now, id)
	if b.within(part/float64(b.gateways), own, own) {
		return true
	}
	if b.othersAt.IsZero() || now.Sub(b.othersAt) > belief {
		return false
	}
	all := b.others[id]
	all.Requests += own.Requests
	all.Repeats += own.Repeats
	return b.within(part, all, all)
}

// within reports whether one more repeat stays in the budget that requests and
// a part of the reserve give.
func (b *Budgeter) within(reservePart float64, requests, repeats Use) bool {
	budget := margin*float64(b.options.Share)*float64(requests.Requests) + reservePart*b.options.Reserve
	return float64(repeats.Repeats+1) <= budget
}
