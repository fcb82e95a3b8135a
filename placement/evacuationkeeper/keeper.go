// Package evacuationkeeper holds the availability zones whose evacuation the operator has
// ordered. An order is a record in the store, which holds until the record is deleted.
//
// One gateway reads the orders and tells the others the whole set, with the position in
// the topic up to which it has read. A set replaces one of an earlier position, so that a
// lost message delays an order and never loses it. The same rule holds for reads of this
// gateway: a delayed read doesn't undo a newer set of another gateway.
package evacuationkeeper

import (
	"maps"
	"slices"
	"time"

	"github.com/currantwood/currantwood"
)

// restoreTime is how long an order stays in force that is missing after the store has come
// back from an older copy. The operator's records are written again meanwhile.
const restoreTime = 3 * time.Second

// Position is how far the topic of the orders has been read.
type Position struct {
	Era  currantwood.StoreEra
	Next currantwood.Offset
}

// before reports whether p is an earlier position than other.
func (p Position) before(other Position) bool {
	return p.Era < other.Era || p.Era == other.Era && p.Next < other.Next
}

// Set is the evacuated zones, sorted, as of a position.
type Set struct {
	Position Position
	Zones    []currantwood.ZoneID
	// Kept are zones whose orders are missing at the position, since the store has come
	// back from an older copy. They stay evacuated for KeptFor.
	Kept    []currantwood.ZoneID
	KeptFor time.Duration
	// Age is how long ago the set was read from the store; less than 0 if that is unknown.
	Age time.Duration
}

// Order is a record that orders the evacuation of a zone or, if Ordered is false, withdraws
// the order.
type Order struct {
	Zone    currantwood.ZoneID
	Offset  currantwood.Offset
	Ordered bool
}

// Change lists the zones whose evacuation has begun or ended.
type Change struct {
	Began, Ended []currantwood.ZoneID
	// Age is how old the information behind the change is: the time since the store was read,
	// or since the message if its sender doesn't say when it was.
	Age time.Duration
}

// Keeper holds the orders. It is not safe for concurrent use.
type Keeper struct {
	// zones holds until when each evacuated zone is kept; zero if its order was read.
	zones map[currantwood.ZoneID]time.Time
	// known is whether the orders were ever read or received, up to position.
	known    bool
	position Position
	// readAt is when the store was read by which the orders are known.
	readAt time.Time
	// restoring is until when orders that a read doesn't show are kept.
	restoring time.Time
}

// New returns a keeper that knows no orders yet.
func New() *Keeper { return &Keeper{zones: make(map[currantwood.ZoneID]time.Time)} }

// Known reports whether the orders are known. A gateway that doesn't know them must not
// send anything.
func (k *Keeper) Known() bool { return k.known }

// IsEvacuated reports whether nothing new may be sent to a zone.
func (k *Keeper) IsEvacuated(now time.Time, zone currantwood.ZoneID) bool {
	until, ordered := k.zones[zone]
	return ordered && (until.IsZero() || now.Before(until))
}

// Replace notes that a read of the whole topic up to a position has found orders for
// exactly these zones.
func (k *Keeper) Replace(now time.Time, position Position, zones []currantwood.ZoneID) Change {
	if k.known && position.before(k.position) {
		return Change{}
	}
	return k.replace(now, Set{Position: position, Zones: zones})
}

// Apply notes the records of a read from an offset up to a position, in the order of the
// topic. Those that a set of another gateway already contains change nothing. It returns
// false, and notes nothing, if records before the read are missing: a configuration that
// was taken from another gateway moves the place from which the topic is read, without the
// orders before it. The whole topic must be read then.
func (k *Keeper) Apply(now time.Time, from currantwood.Offset, position Position, orders []Order) (Change, bool) {
	if k.known && position.before(k.position) {
		return Change{}, true
	}
	if !k.known || position.Era != k.position.Era || from > k.position.Next {
		return Change{}, false
	}
	before := k.current(now)
	for _, order := range orders {
		if order.Offset < k.position.Next {
			continue
		}
		if order.Ordered {
			k.zones[order.Zone] = time.Time{}
		} else {
			delete(k.zones, order.Zone)
		}
	}
	k.position, k.readAt = position, now
	return k.changeSince(now, before), true
}

// EraRisen notes that the store has come back from an older copy, in which orders may be
// missing for a while.
func (k *Keeper) EraRisen(now time.Time) { k.restoring = now.Add(restoreTime) }

// Learn takes the set of another gateway unless it is from an earlier position. A set of
// the same position is taken, too: its sender may have stopped to keep missing orders.
func (k *Keeper) Learn(now time.Time, set Set) Change {
	if k.known && set.Position.before(k.position) {
		return Change{}
	}
	return k.replace(now, set)
}

// replace replaces the orders by those of a set. Orders that it lacks stay in force while
// the store may be missing them.
func (k *Keeper) replace(now time.Time, set Set) Change {
	if k.known && set.Position.Era > k.position.Era {
		// Nobody else may have noticed: another gateway may have started after the store came
		// back, and this one may read the store for the first time.
		k.EraRisen(now)
	}
	before := k.current(now)
	zones := make(map[currantwood.ZoneID]time.Time, len(set.Zones)+len(set.Kept))
	if now.Before(k.restoring) {
		for _, zone := range before {
			zones[zone] = k.restoring
		}
	}
	until := now.Add(min(set.KeptFor, restoreTime))
	for _, zone := range set.Kept {
		if until.After(zones[zone]) {
			zones[zone] = until
		}
	}
	for _, zone := range set.Zones {
		zones[zone] = time.Time{}
	}
	k.zones, k.known, k.position = zones, true, set.Position
	k.readAt = now.Add(-max(0, set.Age))
	return k.changeSince(now, before)
}

// Expire drops the orders that the store hasn't shown again in time.
func (k *Keeper) Expire(now time.Time) Change {
	var ended []currantwood.ZoneID
	for zone := range k.zones {
		if !k.IsEvacuated(now, zone) {
			delete(k.zones, zone)
			ended = append(ended, zone)
		}
	}
	slices.Sort(ended)
	return Change{Ended: ended, Age: now.Sub(k.readAt)}
}

// Current returns the orders in force, for messages to other gateways; false if they aren't
// known.
func (k *Keeper) Current(now time.Time) (Set, bool) {
	set := Set{Position: k.position, Age: now.Sub(k.readAt)}
	for _, zone := range k.current(now) {
		until := k.zones[zone]
		if until.IsZero() {
			set.Zones = append(set.Zones, zone)
			continue
		}
		set.Kept = append(set.Kept, zone)
		set.KeptFor = max(set.KeptFor, until.Sub(now))
	}
	return set, k.known
}

// Count returns the number of evacuated zones, also of those that the store is missing.
func (k *Keeper) Count(now time.Time) int { return len(k.current(now)) }

// current returns the evacuated zones, sorted.
func (k *Keeper) current(now time.Time) []currantwood.ZoneID {
	zones := slices.Sorted(maps.Keys(k.zones))
	return slices.DeleteFunc(zones, func(zone currantwood.ZoneID) bool { return !k.IsEvacuated(now, zone) })
}

// changeSince compares the evacuated zones with those before.
func (k *Keeper) changeSince(now time.Time, before []currantwood.ZoneID) Change {
	after := k.current(now)
	isIn := func(zones []currantwood.ZoneID) func(currantwood.ZoneID) bool {
		return func(zone currantwood.ZoneID) bool { return slices.Contains(zones, zone) }
	}
	return Change{
		Began: slices.DeleteFunc(slices.Clone(after), isIn(before)),
		Ended: slices.DeleteFunc(slices.Clone(before), isIn(after)),
		Age:   now.Sub(k.readAt),
	}
}
