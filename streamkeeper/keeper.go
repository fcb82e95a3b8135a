// Package streamkeeper keeps where streams began: the group of upstreams and the version
// of their software. Only there may a stream go on, also when its client takes it up at
// a gateway that never saw it.
//
// Each gateway tells the collector of the streams that begin at it, and the collector
// tells all others and saves them in the store, which a gateway reads when it starts.
package streamkeeper

import (
	"slices"
	"time"

	"github.com/currantwood/currantwood"
)

const (
	// retention is how long a start is kept. It is longer than clients wait for a
	// stream.
	retention = time.Minute
	// maxStarts bounds the starts that are kept; the oldest go first.
	maxStarts = 1 << 17
)

// Origin is where a stream began.
type Origin struct {
	Group currantwood.GroupID
	// Version is empty if it isn't known for certain.
	Version currantwood.SoftwareVersion
}

// Start is the beginning of a stream.
type Start struct {
	// Stream is the fingerprint of the attempt that brought the first event, and of its
	// customer.
	Stream currantwood.Fingerprint
	Origin
	// At is when it began. From another gateway it is later by the time that the
	// messages took.
	At time.Time
}

// Keeper holds starts. It is not safe for concurrent use.
type Keeper struct {
	origins map[currantwood.Fingerprint]Origin
	// all holds all starts in the order in which they became known, own those of streams
	// that began at this gateway.
	all, own startLog
	// unsaved holds starts that the store may lack.
	unsaved startLog
}

// New returns a keeper without starts.
func New() *Keeper { return &Keeper{origins: make(map[currantwood.Fingerprint]Origin)} }

// Begin notes that a stream began at this gateway.
func (k *Keeper) Begin(start Start) {
	if k.add(start) {
		k.own.add(start)
		k.unsaved.add(start)
	}
	k.prune(start.At)
}

// Learn notes starts that another gateway reported or, if saved is true, that the store
// holds. It returns how many weren't known.
func (k *Keeper) Learn(now time.Time, starts []Start, saved bool) int {
	learned := 0
	for _, start := range starts {
		if now.Sub(start.At) > retention || !k.add(start) {
			continue
		}
		learned++
		if !saved {
			k.unsaved.add(start)
		}
	}
	k.prune(now)
	return learned
}

// add adds a start and reports whether that changes anything. Two that contradict each
// other make the version unknown.
func (k *Keeper) add(start Start) bool {
	known, found := k.origins[start.Stream]
	if found && (known == start.Origin || known.Version == "") {
		return false
	}
	if found {
		start.Version = ""
	}
	k.origins[start.Stream] = start.Origin
	k.all.add(start)
	return true
}

// prune drops starts that are too old, or too many.
func (k *Keeper) prune(now time.Time) {
	for _, start := range k.all.prune(now, maxStarts) {
		// A later start of the same stream may have replaced this one.
		if k.origins[start.Stream] == start.Origin {
			delete(k.origins, start.Stream)
		}
	}
	k.own.prune(now, maxStarts)
	k.unsaved.prune(now, maxStarts)
}

// Origin returns where a stream began and whether that is known.
func (k *Keeper) Origin(stream currantwood.Fingerprint) (Origin, bool) {
	origin, found := k.origins[stream]
	return origin, found && origin.Version != ""
}

// Own returns up to limit starts of this gateway from a position on, and the position of
// the first of them.
func (k *Keeper) Own(from uint64, limit int) (starts []Start, first uint64) {
	return k.own.from(from, limit)
}

// All is Own for the starts of all gateways.
func (k *Keeper) All(from uint64, limit int) (starts []Start, first uint64) {
	return k.all.from(from, limit)
}

// Unsaved returns up to limit starts that the store may lack, and a position for
// MarkSaved.
func (k *Keeper) Unsaved(limit int) (starts []Start, next uint64) {
	starts, first := k.unsaved.from(0, limit)
	return starts, first + uint64(len(starts))
}

// MarkSaved notes that the store holds the starts before a position.
func (k *Keeper) MarkSaved(next uint64) { k.unsaved.dropBefore(next) }

// ForgetSaved makes Unsaved return all starts again: the store has lost some.
func (k *Keeper) ForgetSaved() {
	// An append under way must not mark what it doesn't hold.
	first := k.unsaved.first + uint64(len(k.unsaved.starts))
	k.unsaved = startLog{first: first, starts: slices.Clone(k.all.starts)}
}
