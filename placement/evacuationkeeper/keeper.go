// Package evacuationkeeper holds the availability zones whose evacuation the operator has
// ordered. An order is a record in the store, which holds until the record is deleted.
//
// One gateway reads the orders and tells the others the whole set, with the position in
// the topic up to which it has read. A set replaces one of an earlier position, so that a
// lost message delays an order and never loses it.
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
}

// Change lists the zones whose evacuation has begun or ended.
type Change struct {
	Began, Ended []currantwood.ZoneID
}

// Keeper holds the orders. It is not safe for concurrent use.
type Keeper struct {
	// zones holds until when each evacuated zone is kept; zero if its order was read.
	zones map[currantwood.ZoneID]time.Time
	// known is whether the orders were ever read or told, up to position.
	known    bool
	position Position
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

// Replace notes that a read of the whole topic has found orders for exactly these zones.
func (k *Keeper) Replace(now time.Time, zones []currantwood.ZoneID) Change {
	before := k.current(now)
	kept := make(map[currantwood.ZoneID]time.Time, len(zones))
	if now.Before(k.restoring) {
		for _, zone := range before {
			kept[zone] = k.restoring
		}
	}
	for _, zone := range zones {
		kept[zone] = time.Time{}
	}
	k.zones, k.known = kept, true
	return k.changeSince(now, before)
}

// Apply notes the newest record of a zone: an order, or its deletion.
func (k *Keeper) Apply(now time.Time, zone currantwood.ZoneID, ordered bool) Change {
	before := k.current(now)
	if ordered {
		k.zones[zone] = time.Time{}
	} else {
		delete(k.zones, zone)
	}
	return k.changeSince(now, before)
}

// ReadTo notes that the orders up to a position have been passed to Replace and Apply.
func (k *Keeper) ReadTo(position Position) {
	if k.known && k.position.before(position) {
		k.position = position
	}
}

// EraRisen notes that the store has come back from an older copy, in which orders may be
// missing for a while.
func (k *Keeper) EraRisen(now time.Time) { k.restoring = now.Add(restoreTime) }

// Learn takes the set of another gateway unless it is from an earlier position.
func (k *Keeper) Learn(now time.Time, set Set) Change {
	if k.known && set.Position.before(k.position) {
		return Change{}
	}
	before := k.current(now)
	clear(k.zones)
	for _, zone := range set.Zones {
		k.zones[zone] = time.Time{}
	}
	k.known, k.position = true, set.Position
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
	return Change{Ended: ended}
}

// Current returns the orders in force, to be told to other gateways; false if they aren't
// known.
func (k *Keeper) Current(now time.Time) (Set, bool) {
	return Set{Position: k.position, Zones: k.current(now)}, k.known
}

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
	}
}
