package ledger

import (
	"container/heap"
	"time"

	"github.com/currantwood/currantwood"
)

// forgetAt is when no reader needs the record any more. MaxCall is added
// because a call that began within the window may be judged until its deadline.
func (r Record) forgetAt() time.Time {
	return r.At.Add(r.Window + maxClockSkew + MaxCall)
}

// expiring is something to forget: an operation, or a voided attempt.
type expiring struct {
	at     time.Time
	scope  Scope
	voided currantwood.AttemptID
}

// expiryQueue is a heap ordered by time.
type expiryQueue struct {
	items expiringHeap
}

func (q *expiryQueue) add(item expiring) {
	heap.Push(&q.items, item)
}

// take returns the next item that is due.
func (q *expiryQueue) take(now time.Time) (expiring, bool) {
	if len(q.items) == 0 || now.Before(q.items[0].at) {
		return expiring{}, false
	}
	return heap.Pop(&q.items).(expiring), true
}

type expiringHeap []expiring

func (h expiringHeap) Len() int           { return len(h) }
func (h expiringHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h expiringHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push is called by the heap package.
func (h *expiringHeap) Push(item any) { *h = append(*h, item.(expiring)) }

// Pop is called by the heap package.
func (h *expiringHeap) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	(*h)[last] = expiring{}
	*h = (*h)[:last]
	return item
}

// forgetExpired drops what is past its window.
func (l *Ledger) forgetExpired(now time.Time) {
	for {
		item, due := l.expiry.take(now)
		if !due {
			return
		}
		if item.voided != "" {
			delete(l.voided, item.voided)
			continue
		}
		l.forgetOperation(now, item.scope)
	}
}

// forgetOperation drops an operation unless a later intent has prolonged it.
func (l *Ledger) forgetOperation(now time.Time, scope Scope) {
	known := l.operations[scope]
	if known == nil {
		return
	}
	at := known.at.Add(known.window + maxClockSkew + MaxCall)
	if now.Before(at) {
		l.expiry.add(expiring{at: at, scope: scope})
		return
	}
	delete(l.operations, scope)
}
