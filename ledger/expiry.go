package ledger

import (
	"container/heap"
	"time"

	"github.com/currantwood/currantwood"
)

// expiresAt returns the time after which no reader needs the record. It includes
// MaxCallDuration because the intent of a call that began within the window may be
// read, and the call be sent, up to the call's deadline.
func (r Record) expiresAt() time.Time {
	return r.At.Add(r.Window + maxClockSkew + MaxCallDuration)
}

// expiryItem is an operation or a voided attempt to be removed at a given time.
type expiryItem struct {
	at time.Time
	// scope is set for an operation.
	scope Scope
	// voided is set for a voided attempt; otherwise empty.
	voided currantwood.AttemptID
}

// expiryQueue is a priority queue of items ordered by time.
type expiryQueue struct {
	items expiryHeap
}

func (q *expiryQueue) add(item expiryItem) {
	heap.Push(&q.items, item)
}

// popDue removes and returns the earliest item if it is due.
func (q *expiryQueue) popDue(now time.Time) (expiryItem, bool) {
	if len(q.items) == 0 || now.Before(q.items[0].at) {
		return expiryItem{}, false
	}
	return heap.Pop(&q.items).(expiryItem), true
}

type expiryHeap []expiryItem

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(item any) { *h = append(*h, item.(expiryItem)) }

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	(*h)[last] = expiryItem{}
	*h = (*h)[:last]
	return item
}

// removeExpired removes the operations and voided attempts that are due.
func (l *Ledger) removeExpired(now time.Time) {
	for {
		item, due := l.expiry.popDue(now)
		if !due {
			return
		}
		if item.voided != "" {
			delete(l.voided, item.voided)
			continue
		}
		l.expireOperation(now, item.scope)
	}
}

// expireOperation removes an operation unless a claimant has extended its window or
// a newer operation has the scope; then it queues the scope again.
func (l *Ledger) expireOperation(now time.Time, scope Scope) {
	op := l.operations[scope]
	if op == nil {
		return
	}
	at := op.intentAt.Add(op.window + maxClockSkew + MaxCallDuration)
	if now.Before(at) {
		l.expiry.add(expiryItem{at: at, scope: scope})
		return
	}
	delete(l.operations, scope)
}
