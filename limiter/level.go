package limiter

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/currantwood/currantwood"
)

// peerForget is the age at which another entry's exchange no longer counts: it
// has left or is cut off.
const peerForget = 5 * time.Second

// pressed is how long after a refusal a customer counts as wanting all it can
// get.
const pressed = 3 * time.Second

// growth is how much more than its present use a customer is assumed to want.
const growth = 1.25

// want is what one customer wants, over its weight.
type want struct {
	weight float64
	// perWeight is +Inf for a customer that was refused lately.
	perWeight float64
}

// Tick sums up the use everywhere and sets the level of the fair shares. It is
// not on the path of a request.
func (l *Limiter) Tick(now time.Time) {
	remote, free := l.gather(now)
	var wants []want
	var total float64
	l.each(func(c *customer) {
		c.remote = remote[c.id]
		total += c.use()
		if now.Sub(c.asked) < l.options.Forget || c.use() > 0 {
			wants = append(wants, l.wantOf(now, c))
		}
	})
	capacity := total + free
	if free > float64(l.options.Scarce)*capacity {
		l.setLevel(math.Inf(1))
		return
	}
	l.setLevel(waterLevel(wants, capacity))
}

func (l *Limiter) wantOf(now time.Time, c *customer) want {
	amount := c.use()*growth + c.held
	if now.Sub(c.refused) < pressed {
		amount = math.Inf(1)
	}
	return want{weight: c.weight, perWeight: amount / c.weight}
}

// gather adds up what other entries told lately.
func (l *Limiter) gather(now time.Time) (remote map[currantwood.CustomerID]Use, free float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	remote = map[currantwood.CustomerID]Use{}
	l.peers = slices.DeleteFunc(l.peers, func(told exchange) bool { return now.Sub(told.at) > peerForget })
	for _, told := range l.peers {
		for _, use := range told.uses {
			sum := remote[use.Customer]
			sum.InFlight += use.InFlight
			sum.Held += use.Held
			remote[use.Customer] = sum
		}
	}
	return remote, l.free
}

// waterLevel returns the highest level such that giving each customer the
// lesser of what it wants and its weight times the level fits the capacity.
func waterLevel(wants []want, capacity float64) float64 {
	sort.Slice(wants, func(i, j int) bool { return wants[i].perWeight < wants[j].perWeight })
	weight := 0.0
	for _, w := range wants {
		weight += w.weight
	}
	for _, w := range wants {
		if w.perWeight*weight >= capacity {
			return capacity / weight
		}
		capacity -= w.perWeight * w.weight
		weight -= w.weight
	}
	return math.Inf(1)
}
