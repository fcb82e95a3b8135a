// Package promiser decides when a refused caller is to come back, so that it is
// served then.
//
// Under lasting overload a time that only says when room comes free is a lie:
// new callers take the room first. So each refusal gets a slot in a virtual
// queue. Slots are handed out no faster than this entry's streams end, each
// customer gets a weighted fair part of them, and a request that comes in a
// its slot is marked as promised, which lets it go before new ones at the side.
// It is known by its customer and the fingerprint of its input, and only at the
// entry that refused it.
package promiser

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/currantwood/currantwood"
)

// Options bound the promises.
type Options struct {
	// Part is the part of the ended streams' places that is promised; the rest
	// is for new callers and for those that come late. 0 to 1.
	Part currantwood.Share
	// Least is the shortest time to come back.
	Least time.Duration
	// Early and Late bound how much earlier or later than its slot a request
	// may come.
	Early, Late time.Duration
	// UsualRate is the number of streams that end in a second until it was
	// observed; > 0.
	UsualRate float64
	// MaxSlots bounds the open slots; a caller beyond them is told a time and
	// not known when it comes.
	MaxSlots int
}

// DefaultOptions leave a third of the places unpromised.
func DefaultOptions() Options {
	return Options{
		Part:      0.65,
		Least:     300 * time.Millisecond,
		Early:     50 * time.Millisecond,
		Late:      5 * time.Second,
		UsualRate: 4,
		MaxSlots:  1 << 15,
	}
}

// customer is one customer's part of the virtual queue.
type customer struct {
	id     currantwood.CustomerID
	weight float64
	// next is the earliest time of the next slot.
	next time.Time
}

// slot names a place in the virtual queue.
type slot struct {
	customer    currantwood.CustomerID
	fingerprint currantwood.Fingerprint
}

// Promiser hands out slots. It is safe for concurrent use.
type Promiser struct {
	options Options

	mu sync.Mutex
	// rate is the number of streams that end in a second, smoothed.
	rate float64
	// ended counts the streams that ended since countedAt.
	ended     int
	countedAt time.Time
	// slots are the times that callers were told; at most MaxSlots.
	slots map[slot]time.Time
	// waiting are the customers with slots to come, in the order in which they
	// first got one; customers has the same by id.
	waiting   []*customer
	customers map[currantwood.CustomerID]*customer
	// weight is the sum over waiting.
	weight   float64
	prunedAt time.Time
}

// New returns a promiser that has promised nothing.
func New(options Options) *Promiser {
	return &Promiser{
		options:   options,
		rate:      options.UsualRate,
		slots:     map[slot]time.Time{},
		customers: map[currantwood.CustomerID]*customer{},
	}
}

// Arrived reports whether a request comes in its slot, and takes the slot.
func (p *Promiser) Arrived(now time.Time, id currantwood.CustomerID, input currantwood.Fingerprint) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := slot{customer: id, fingerprint: input}
	at, known := p.slots[key]
	if !known || at.After(now.Add(p.options.Early)) {
		return false
	}
	delete(p.slots, key)
	return !p.isPast(now, at)
}

// Refused returns when a refused request is to come back: in a slot of its
// own, and not before atLeast. A request that has a slot to come is told that
// one again.
func (p *Promiser) Refused(now time.Time, id currantwood.CustomerID, weight uint32, input currantwood.Fingerprint, atLeast time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prune(now)
	key := slot{customer: id, fingerprint: input}
	if at, known := p.slots[key]; known && at.Sub(now) >= atLeast {
		return at.Sub(now)
	}
	c := p.customer(id)
	p.weight -= c.weight
	c.weight = max(float64(weight), 1)
	p.weight += c.weight
	at := latest(now.Add(max(p.options.Least, atLeast)), c.next)
	c.next = at.Add(p.spacing(c))
	if len(p.slots) < p.options.MaxSlots {
		p.slots[key] = at
	}
	return at.Sub(now)
}

// Finished takes in that a stream ended and left its place.
func (p *Promiser) Finished(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended++
	if p.countedAt.IsZero() {
		p.countedAt = now
		return
	}
	if passed := now.Sub(p.countedAt); passed >= countInterval {
		observed := float64(p.ended) / passed.Seconds()
		p.rate += rateGain * (observed - p.rate)
		p.ended = 0
		p.countedAt = now
	}
}

const (
	// countInterval is the time over which ended streams are counted.
	countInterval = time.Second
	// rateGain is the part that the newest count has in the rate.
	rateGain = 0.3
	// leastRate bounds the rate from below, in streams a second.
	leastRate = 0.2
)

// spacing is the time between two slots of a customer: its weighted part of
// the places, among the customers that wait.
func (p *Promiser) spacing(c *customer) time.Duration {
	rate := max(p.rate, leastRate) * float64(p.options.Part) * c.weight / p.weight
	return time.Duration(float64(time.Second) / rate)
}

// pruneInterval is the time between two looks at customers whose slots are past.
const pruneInterval = time.Second

// prune lets go of customers whose slots are past.
func (p *Promiser) prune(now time.Time) {
	if now.Sub(p.prunedAt) < pruneInterval {
		return
	}
	p.prunedAt = now
	maps.DeleteFunc(p.slots, func(_ slot, at time.Time) bool { return p.isPast(now, at) })
	p.waiting = slices.DeleteFunc(p.waiting, func(c *customer) bool {
		over := c.next.Before(now)
		if over {
			delete(p.customers, c.id)
			p.weight -= c.weight
		}
		return over
	})
}

func (p *Promiser) customer(id currantwood.CustomerID) *customer {
	c, known := p.customers[id]
	if !known {
		c = &customer{id: id}
		p.customers[id] = c
		p.waiting = append(p.waiting, c)
	}
	return c
}

// isPast reports whether nobody is to come any more in a slot.
func (p *Promiser) isPast(now, at time.Time) bool { return now.Sub(at) > p.options.Late }

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
