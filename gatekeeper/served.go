package gatekeeper

import (
	"math"

	"github.com/currantwood/currantwood"
)

// maxCustomers bounds the customers whose service is remembered.
const maxCustomers = 2048

// served counts the work given to each customer over its weight, as in start
// time fair queueing: a customer that comes back after a while starts at the
// lowest count of those being served and so gains nothing from its absence.
type served struct {
	work map[currantwood.CustomerID]float64
	// floor is the count of the request that was started last; it never falls.
	floor float64
}

func newServed() served {
	return served{work: map[currantwood.CustomerID]float64{}}
}

// of returns the count that a request of this customer starts at.
func (s *served) of(r *request) float64 {
	return max(s.work[r.demand.Customer], s.floor)
}

// add counts a started request.
func (s *served) add(r *request) {
	at := s.of(r)
	s.floor = math.Max(s.floor, at)
	if len(s.work) >= maxCustomers {
		s.prune()
	}
	s.work[r.demand.Customer] = at + r.expected/float64(r.demand.Weight)
}

// prune forgets customers that stand at the floor, since they lose nothing.
func (s *served) prune() {
	for customer, work := range s.work {
		if work <= s.floor {
			delete(s.work, customer)
		}
	}
}
