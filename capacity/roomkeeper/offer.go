package roomkeeper

import (
	"math"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/capacity/forecaster"
)

// Choice limits the engines that are asked for room.
type Choice struct {
	// Only is the only engine to ask, and Not one that isn't asked; empty if there is none.
	Only, Not currantwood.UpstreamID
}

// Placer places requests at engines, by the loads as they are known now.
type Placer interface {
	// Fits reports whether an engine among those of the choice has room for the request.
	Fits(t Ticket, c Choice) bool
	// Place sends the request to the engine that Fits found.
	Place(t Ticket)
	// Room returns what is known of the engines for the request.
	Room(t Ticket) forecaster.Room
	// Admits reports whether the request may be sent to an engine once it has room there, as
	// the engine isn't leaving, paused or evacuated.
	Admits(t Ticket, engine currantwood.UpstreamID) bool
}

// OfferFreed places a request at an engine where one of this gateway has ended.
func (k *Keeper) OfferFreed(id currantwood.GroupID, freed currantwood.UpstreamID, p Placer) {
	if q := k.queues[id]; q != nil && len(q.entries) > 0 {
		k.offerAt(q, freed, p)
	}
}

// offerAt places the first request that fits at an engine. If the engine is held, that is
// the one that it is held for or a more urgent one.
func (k *Keeper) offerAt(q *queue, freed currantwood.UpstreamID, p Placer) {
	misses := 0
	for _, e := range q.order(nil) {
		if q.heldAgainst(e) == freed {
			continue
		}
		if p.Fits(e.ticket, Choice{Only: freed}) {
			k.place(q, e, p)
			return
		}
		if misses++; misses == maxMisses {
			return
		}
	}
}

// place sends a request to the engine found for it.
func (k *Keeper) place(q *queue, e *entry, p Placer) {
	p.Place(e.ticket)
	q.endTurn(e)
	k.Leave(e.Group, e.ticket)
}

// OfferUpdate places requests after new sums of the other gateways' loads have arrived.
func (k *Keeper) OfferUpdate(id currantwood.GroupID, p Placer) {
	q := k.queues[id]
	if q == nil || len(q.entries) == 0 {
		return
	}
	var room forecaster.Room
	if first := q.firstFitting(p); first != nil {
		room = p.Room(first.ticket)
	}
	switch {
	case room.Open == 0:
		q.level = 0
	case room.Open >= q.open:
		q.level = min(maxLevel, q.level+1)
	default:
		q.level = max(0, q.level-1)
	}
	q.open = room.Open
	limit := k.drawLimit(q.level, room)
	if isMostlyOpen(room) {
		limit = len(q.entries)
	}
	k.offer(q, p, limit)
}

// drawLimit returns how many requests this gateway may place with an update: its even part of
// what all may take at a level, rounded up or down at random so that the mean is exact.
func (k *Keeper) drawLimit(level int, room forecaster.Room) int {
	part := initialPart * math.Exp2(float64(max(0, level-1))) * float64(room.Open) / float64(max(1, room.Gateways))
	limit := int(part)
	if k.random.Float64() < part-float64(limit) {
		limit++
	}
	return limit
}

// OfferArrived places requests after one has arrived while others wait, if many engines have
// room for it. Those that wait may be larger or may go to fewer engines.
func (k *Keeper) OfferArrived(id currantwood.GroupID, room forecaster.Room, p Placer) {
	if q := k.queues[id]; q != nil && isMostlyOpen(room) {
		k.offer(q, p, len(q.entries))
	}
}

// isMostlyOpen reports whether so many engines have room that gateways which send at once
// seldom choose the same one; see manyOpen.
func isMostlyOpen(room forecaster.Room) bool {
	return room.Open > 0 && 2*room.Open >= room.Gateways && float64(room.Open) >= manyOpen*float64(room.Engines)
}

// firstFitting returns the first request for which an engine has room; nil if there is none.
func (q *queue) firstFitting(p Placer) *entry {
	for i, e := range q.order(nil) {
		if p.Fits(e.ticket, Choice{Not: q.heldAgainst(e)}) {
			return e
		}
		if i == maxMisses {
			break
		}
	}
	return nil
}

// heldAgainst returns the engine that is held for another request, which isn't less urgent;
// empty if there is none.
func (q *queue) heldAgainst(e *entry) currantwood.UpstreamID {
	if q.holder == nil || q.holder == e || q.holder.Priority < e.Priority {
		return ""
	}
	return q.held
}

// offer places at most limit requests in their order.
func (k *Keeper) offer(q *queue, p Placer, limit int) {
	placed, misses := 0, 0
	var holder *entry
	held := currantwood.UpstreamID("")
	for _, e := range q.order(nil) {
		if !p.Fits(e.ticket, Choice{Not: held}) {
			if holder == nil {
				holder, held = e, q.heldFor(e, p)
			}
			if misses++; misses == maxMisses {
				break
			}
			continue
		}
		if placed == limit {
			break
		}
		k.place(q, e, p)
		placed++
	}
	if len(q.entries) > 0 {
		q.holder, q.held = holder, held
	}
}

// heldFor returns the engine that is held for a request: the one held already unless it has
// gone, or the one with the most free memory.
func (q *queue) heldFor(e *entry, p Placer) currantwood.UpstreamID {
	if q.holder == e && p.Admits(e.ticket, q.held) {
		return q.held
	}
	return p.Room(e.ticket).Roomiest
}

// MayPass reports whether a request that arrives may be sent at once, to any engine but not:
// no engine has room for any of those that go before it. The parts of offers are for requests
// that wait and read the same update as other gateways; one that arrives doesn't, and those
// that go after it mustn't delay it.
func (k *Keeper) MayPass(r Request, p Placer) (not currantwood.UpstreamID, may bool) {
	q, e := k.queue(r.Group), &entry{Request: r}
	for i, other := range q.order(e) {
		if other == e {
			return not, true
		}
		if i == maxMisses || p.Fits(other.ticket, Choice{Not: not}) {
			break
		}
		if i == 0 {
			// As in offer, the first without room holds an engine.
			not = q.heldFor(other, p)
		}
	}
	return "", false
}

// Passed notes that a request was sent as MayPass allowed it, which was the turn of its
// customer and of its part.
func (k *Keeper) Passed(r Request) {
	if q := k.queue(r.Group); len(q.entries) > 0 {
		q.endTurn(&entry{Request: r})
	}
}
