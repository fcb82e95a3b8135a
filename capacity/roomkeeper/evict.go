package roomkeeper

import (
	"cmp"
	"slices"
)

// evictFor removes and returns the requests that go last, until there is memory for e. It
// removes none if those that go after e don't free enough.
func (k *Keeper) evictFor(q *queue, e *entry, cost int64) []Ticket {
	free := k.maxBytes - k.bytes
	if free >= cost {
		return nil
	}
	var evicted []*entry
	for _, other := range k.evictable(q, e) {
		free += overheadBytes + other.BodyBytes
		evicted = append(evicted, other)
		if free >= cost {
			break
		}
	}
	if free < cost {
		return nil
	}
	tickets := make([]Ticket, len(evicted))
	for i, other := range evicted {
		k.Leave(other.Group, other.ticket)
		tickets[i] = other.ticket
	}
	return tickets
}

// evictable returns the requests that go after e, the last one first: those of its group in
// their order, and those of other groups that are less urgent. Streams that have begun stay,
// as a refusal would lose them.
func (k *Keeper) evictable(q *queue, e *entry) []*entry {
	order := q.order(e)
	list := slices.Clone(order[slices.Index(order, e)+1:])
	for _, other := range k.queues {
		if other == q {
			continue
		}
		for _, waiting := range other.entries {
			if waiting.Priority < e.Priority {
				list = append(list, waiting)
			}
		}
	}
	slices.Reverse(list)
	slices.SortStableFunc(list, func(a, b *entry) int { return cmp.Compare(a.Priority, b.Priority) })
	return slices.DeleteFunc(list, func(other *entry) bool { return other.MustWait })
}
