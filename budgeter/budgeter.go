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
	// guaranteed is the part of its own share that a gateway may use whatever
	// the others do. Others count on it even where they hear nothing.
	guaranteed = 0.2
	// shared is the part of the budget that all gateways may use together by
	// what they have told. What is left is for repeats that aren't told yet.
	shared = 0.75
	// ordinary is the part of both for repeats of failed requests. The rest is
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

// Uses are the uses of groups.
type Uses map[currantwood.GroupID]Use

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
	others   Uses
	othersAt time.Time
	// heard is the number of gateways that others sums up, this one included.
	heard int
	// gateways is the highest number of gateways heard at once. Those that
	// aren't heard any more may go on.
	gateways int
	// since counts the repeats of each group since the others were last heard.
	since map[currantwood.GroupID]int
}

// New returns a budgeter that has counted nothing.
func New(options Options) *Budgeter {
	if options.Window <= 0 {
		options.Window = 10 * time.Second
	}
	return &Budgeter{options: options, groups: make(map[currantwood.GroupID]*ring), gateways: fewest, heard: 1, since: make(map[currantwood.GroupID]int)}
}

// Requested notes a request for a group.
func (b *Budgeter) Requested(now time.Time, id currantwood.GroupID) {
	b.bucket(now, id).Requests++
}

// Repeated notes a send beyond the first.
func (b *Budgeter) Repeated(now time.Time, id currantwood.GroupID) {
	b.bucket(now, id).Repeats++
	b.since[id]++
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
func (b *Budgeter) Used(now time.Time) Uses {
	used := make(Uses, len(b.groups))
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

// TakeOthers takes what the other gateways have used, and the number of those
// that are heard, this one included.
func (b *Budgeter) TakeOthers(now time.Time, others Uses, heard int) {
	b.others, b.othersAt, b.heard = others, now, max(1, heard)
	b.gateways = max(b.gateways, heard)
	clear(b.since)
}

// Allows reports whether a repeat may be sent.
func (b *Budgeter) Allows(now time.Time, id currantwood.GroupID, urgency Urgency) bool {
	part := 1.0
	if urgency == Ordinary {
		part = ordinary
	}
	own := b.used(now, id)
	share := 1 / float64(b.gateways)
	if float64(own.Repeats+1) <= part*guaranteed*b.budget(own.Requests, share) {
		return true
	}
	if b.othersAt.IsZero() || now.Sub(b.othersAt) > belief {
		return false
	}
	return b.allowsTogether(own, id, part)
}

// allowsTogether reports whether a repeat fits into what all gateways together
// have left. Each may use its part of that until it hears of the others again.
// The reserve of gateways that aren't heard is left to them.
func (b *Budgeter) allowsTogether(own Use, id currantwood.GroupID, part float64) bool {
	all := b.others[id]
	all.Requests += own.Requests
	all.Repeats += own.Repeats
	since := b.since[id]
	left := part*shared*b.budget(all.Requests, float64(b.heard)/float64(b.gateways)) - float64(all.Repeats-since)
	return float64(since+1) <= left/float64(b.heard)
}

// budget is what requests and a share of the reserve allow.
func (b *Budgeter) budget(requests int, share float64) float64 {
	return float64(b.options.Share)*float64(requests) + share*b.options.Reserve
}
