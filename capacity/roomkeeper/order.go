package roomkeeper

import (
	"cmp"
	"maps"
	"slices"

	"github.com/currantwood/currantwood"
)

// ranked is a waiting request with its turn.
type ranked struct {
	*entry
	turn int
}

// order returns the waiting requests, and added if it isn't nil, in the order in which they
// are admitted. It takes O(n log n), which the bound on memory limits to a few hundred
// requests.
func (q *queue) order(added *entry) []*entry {
	list := make([]ranked, 0, len(q.entries)+1)
	for _, e := range q.entries {
		list = append(list, ranked{entry: e})
	}
	if added != nil {
		list = append(list, ranked{entry: added})
	}
	slices.SortStableFunc(list, func(a, b ranked) int { return cmp.Or(byClass(a, b), a.MissedAt.Compare(b.MissedAt)) })
	q.assignTurns(list)
	slices.SortStableFunc(list, func(a, b ranked) int {
		return cmp.Or(byClass(a, b), cmp.Compare(a.turn, b.turn), a.MissedAt.Compare(b.MissedAt))
	})
	q.assignPartTurns(list)
	slices.SortStableFunc(list, func(a, b ranked) int { return cmp.Or(byClass(a, b), cmp.Compare(a.turn, b.turn)) })
	order := make([]*entry, len(list))
	for i, r := range list {
		order[i] = r.entry
	}
	return order
}

// byClass compares by priority and, within one, puts those promised first.
func byClass(a, b ranked) int {
	return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(boolRank(b.Promised), boolRank(a.Promised)))
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// assignTurns gives the requests of each customer, in their order, one turn after the other.
func (q *queue) assignTurns(list []ranked) {
	next := make(map[currantwood.CustomerID]int, len(list))
	for i := range list {
		customer := list[i].Customer
		turn, known := next[customer]
		if !known {
			turn = max(q.turn, q.turns[customer])
		}
		list[i].turn = turn
		next[customer] = turn + 1
	}
}

// assignPartTurns delays those that share a part with others: in a class, each with a part
// has a later turn than the one before it. If all share one, their order stays.
func (q *queue) assignPartTurns(list []ranked) {
	type class struct {
		priority currantwood.Priority
		promised bool
		part     currantwood.PartID
	}
	next := make(map[class]int)
	for i := range list {
		r := &list[i]
		if r.Part == "" {
			continue
		}
		c := class{r.Priority, r.Promised, r.Part}
		turn, known := next[c]
		if !known {
			turn = q.partTurns[r.Part]
		}
		r.turn = max(r.turn, turn)
		next[c] = r.turn + 1
	}
}

// nextTurn returns the turn that a request has if it is the next of its customer and of its
// part.
func (q *queue) nextTurn(e *entry) int { return max(q.turn, q.turns[e.Customer], q.partTurns[e.Part]) }

// endTurn ends the turn of the customer and the part of a request that is placed, and sets
// the current turn to the earliest one of the other waiting requests.
func (q *queue) endTurn(e *entry) {
	turn := q.nextTurn(e)
	q.turns[e.Customer] = turn + 1
	if e.Part != "" {
		q.partTurns[e.Part] = turn + 1
	}
	least := turn + 1
	for _, other := range q.entries {
		if other != e {
			least = min(least, q.nextTurn(other))
		}
	}
	q.turn = max(least, turn+1-maxTurnLag)
	forgetTurns(q.turns, q.turn)
	forgetTurns(q.partTurns, q.turn)
}

// forgetTurns removes next turns that have come, which count no longer, once there are many.
func forgetTurns[K comparable](turns map[K]int, current int) {
	if len(turns) <= maxTurns {
		return
	}
	maps.DeleteFunc(turns, func(_ K, turn int) bool { return turn <= current })
	if len(turns) > maxTurns/2 {
		clear(turns)
	}
}
