// Package promiser assigns retry times to refused requests, at which they take
// precedence over others.
//
// Under lasting overload, the time at which capacity becomes free is no usable
// retry time, since new requests take the capacity first. Each refused request is
// therefore assigned a slot in a virtual queue. New slots are assigned at a share of
// the rate at which the entry's streams end, and each customer gets a weighted fair
// share of them. Slots that are already assigned stay when another customer joins. A
// request that arrives in its slot is marked as promised, so that the side schedules
// it before others of its class; it can still be refused. A request is recognized by
// its customer and the fingerprint of its input, and only by the entry that refused
// it.
package promiser

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/currantwood/currantwood"
)

// Options limit the assignment of slots.
type Options struct {
	// PromisedShare is the number of slots per ended stream; more than 0, at most 1.
	// The remaining capacity is left for new requests and late retries.
	PromisedShare currantwood.Share
	// MinDelay is the minimum time from a refusal to a newly assigned slot.
	MinDelay time.Duration
	// MaxEarly and MaxLate are how much earlier or later than the time of its slot a
	// request may arrive.
	MaxEarly, MaxLate time.Duration
	// InitialRate is the initial estimate of the rate at which streams end, in
	// streams per second; > 0.
	InitialRate float64
	// MaxSlots is the maximum number of recorded slots. Beyond it, a refused request
	// is given a time but is not recognized when it arrives.
	MaxSlots int
}

// DefaultOptions returns options that leave about a third of the capacity without
// slots.
func DefaultOptions() Options {
	return Options{
		PromisedShare: 0.65,
		MinDelay:      300 * time.Millisecond,
		MaxEarly:      50 * time.Millisecond,
		MaxLate:       5 * time.Second,
		InitialRate:   4,
		MaxSlots:      1 << 15,
	}
}

// customerQueue is the part of the virtual queue that belongs to one customer.
type customerQueue struct {
	id     currantwood.CustomerID
	weight float64
	// nextSlot is the earliest time of the next slot.
	nextSlot time.Time
}

// slotKey identifies the request that a slot is assigned to.
type slotKey struct {
	customer    currantwood.CustomerID
	fingerprint currantwood.Fingerprint
}

// Promiser assigns slots. It is safe for concurrent use.
type Promiser struct {
	options Options

	mu sync.Mutex
	// rate is the smoothed rate at which streams end, in streams per second.
	rate float64
	// endedStreams is the number of streams that ended since countingSince.
	endedStreams  int
	countingSince time.Time
	// slots holds the times of assigned slots; at most MaxSlots.
	slots map[slotKey]time.Time
	// queues holds the queues of customers in the order in which they were added;
	// prune removes those whose next slot has passed. queuesByID holds the same by
	// customer.
	queues     []*customerQueue
	queuesByID map[currantwood.CustomerID]*customerQueue
	// totalWeight is the sum of the weights of queues.
	totalWeight float64
	// prunedAt is the time of the last pruning.
	prunedAt time.Time
}

// New returns a promiser without slots.
func New(options Options) *Promiser {
	return &Promiser{
		options:    options,
		rate:       options.InitialRate,
		slots:      map[slotKey]time.Time{},
		queuesByID: map[currantwood.CustomerID]*customerQueue{},
	}
}

// ClaimSlot reports whether a request arrives in its slot: at most MaxEarly before and
// at most MaxLate after the slot's time. It removes the slot unless the request is too
// early.
func (p *Promiser) ClaimSlot(now time.Time, id currantwood.CustomerID, input currantwood.Fingerprint) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := slotKey{customer: id, fingerprint: input}
	at, known := p.slots[key]
	if !known || at.After(now.Add(p.options.MaxEarly)) {
		return false
	}
	delete(p.slots, key)
	return !p.isExpired(now, at)
}

// AssignSlot assigns a slot to a refused request and returns the time from now to the
// slot. atLeast is the retry delay that the refusal states already; the slot isn't
// sooner. A request keeps the slot that it has, unless that is sooner than atLeast.
func (p *Promiser) AssignSlot(now time.Time, id currantwood.CustomerID, weight uint32, input currantwood.Fingerprint, atLeast time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prune(now)
	key := slotKey{customer: id, fingerprint: input}
	if at, known := p.slots[key]; known && at.Sub(now) >= atLeast {
		return at.Sub(now)
	}
	c := p.queue(id)
	p.totalWeight -= c.weight
	c.weight = max(float64(weight), 1)
	p.totalWeight += c.weight
	at := latest(now.Add(max(p.options.MinDelay, atLeast)), c.nextSlot)
	c.nextSlot = at.Add(p.slotInterval(c))
	if len(p.slots) < p.options.MaxSlots {
		p.slots[key] = at
	}
	return at.Sub(now)
}

// RecordStreamEnd records the end of a stream, from which the rate is estimated.
func (p *Promiser) RecordStreamEnd(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endedStreams++
	if p.countingSince.IsZero() {
		p.countingSince = now
		return
	}
	if elapsed := now.Sub(p.countingSince); elapsed >= countInterval {
		observed := float64(p.endedStreams) / elapsed.Seconds()
		p.rate += rateSmoothingFactor * (observed - p.rate)
		p.endedStreams = 0
		p.countingSince = now
	}
}

const (
	// countInterval is the minimum time between updates of the rate.
	countInterval = time.Second
	// rateSmoothingFactor is the weight of the newest rate in the moving average.
	rateSmoothingFactor = 0.3
	// minRate is the lowest rate used for slots, in streams per second. It keeps
	// slots from moving far apart after a period in which few streams ended.
	minRate = 0.2
)

// slotInterval returns the time between two slots of a customer, from its weighted
// share among the customers in queues.
func (p *Promiser) slotInterval(c *customerQueue) time.Duration {
	rate := max(p.rate, minRate) * float64(p.options.PromisedShare) * c.weight / p.totalWeight
	return time.Duration(float64(time.Second) / rate)
}

// pruneInterval is the minimum time between two prunings.
const pruneInterval = time.Second

// prune removes expired slots and the customers whose next slot has passed.
func (p *Promiser) prune(now time.Time) {
	if now.Sub(p.prunedAt) < pruneInterval {
		return
	}
	p.prunedAt = now
	maps.DeleteFunc(p.slots, func(_ slotKey, at time.Time) bool { return p.isExpired(now, at) })
	p.queues = slices.DeleteFunc(p.queues, func(c *customerQueue) bool {
		passed := c.nextSlot.Before(now)
		if passed {
			delete(p.queuesByID, c.id)
			p.totalWeight -= c.weight
		}
		return passed
	})
}

// queue returns the queue of a customer and adds it if needed.
func (p *Promiser) queue(id currantwood.CustomerID) *customerQueue {
	c, known := p.queuesByID[id]
	if !known {
		c = &customerQueue{id: id}
		p.queuesByID[id] = c
		p.queues = append(p.queues, c)
	}
	return c
}

// isExpired reports whether a request that arrives now is too late for a slot whose
// time is at.
func (p *Promiser) isExpired(now, at time.Time) bool { return now.Sub(at) > p.options.MaxLate }

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
