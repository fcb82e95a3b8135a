package gatekeeper

import (
	"math"

	"github.com/currantwood/currantwood"
)

// pruneThreshold is the number of customers from which add first deletes those
// that are not ahead of the virtual time.
const pruneThreshold = 2048

// fairQueue implements start-time fair queueing of customers. The cost of a
// request is its predicted peak memory, divided by the weight of its customer.
// A customer that was idle starts at the virtual time, so it gains no advantage
// from the time that it was idle.
type fairQueue struct {
	// finishTags has the finish tag of the request that each customer started
	// last.
	finishTags map[currantwood.CustomerID]float64
	// virtualTime is the start tag of the request that was started last; it
	// never decreases.
	virtualTime float64
}

func newFairQueue() fairQueue {
	return fairQueue{finishTags: map[currantwood.CustomerID]float64{}}
}

// startTag returns the start tag of the customer's next request.
func (q *fairQueue) startTag(r *request) float64 {
	return max(q.finishTags[r.demand.Customer], q.virtualTime)
}

// add records that a request was started.
func (q *fairQueue) add(r *request) {
	start := q.startTag(r)
	q.virtualTime = math.Max(q.virtualTime, start)
	if len(q.finishTags) >= pruneThreshold {
		q.prune()
	}
	q.finishTags[r.demand.Customer] = start + r.expectedPeak/float64(r.demand.Weight)
}

// prune deletes customers that are not ahead of the virtual time; their next
// start tag stays the same.
func (q *fairQueue) prune() {
	for customer, finish := range q.finishTags {
		if finish <= q.virtualTime {
			delete(q.finishTags, customer)
		}
	}
}
