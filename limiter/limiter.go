package limiter

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/currantwood/currantwood"
)

// step names this stage in refusals.
const step = "limiter"

// Options bound what a limiter keeps and when it limits.
type Options struct {
	// Scarce is the free share of memory below which shares are enforced.
	Scarce currantwood.Share
	// UsualHeld is the memory that a request holds on average, until a
	// customer's own is learnt.
	UsualHeld currantwood.TokenCount
	// UsualLife is the time that a request takes, until it is learnt.
	UsualLife time.Duration
	// Forget is how long a customer is remembered after its last request.
	Forget time.Duration
	// MaxRequests bounds the requests whose start is remembered.
	MaxRequests int
}

// DefaultOptions suit streams of some hundred tokens.
func DefaultOptions() Options {
	return Options{
		Scarce:      0.1,
		UsualHeld:   400,
		UsualLife:   8 * time.Second,
		Forget:      time.Minute,
		MaxRequests: 1 << 17,
	}
}

// Use is one customer's present use at one entry.
type Use struct {
	Customer currantwood.CustomerID
	InFlight uint32
	// Held is the memory that its requests hold, in tokens.
	Held float64
}

// shards is the number of locks over the customers.
const shards = 32

// customer is what is known of one customer.
type customer struct {
	id         currantwood.CustomerID
	weight     float64
	maxStreams uint32
	inFlight   uint32
	// held is what one of its requests holds on average; > 0.
	held float64
	// life is how long one takes on average, in seconds.
	life float64
	// remote is the sum over other entries.
	remote Use
	// asked and refused are when it last asked and was last refused.
	asked   time.Time
	refused time.Time
}

// use is the memory that the customer's requests hold everywhere.
func (c *customer) use() float64 {
	return float64(c.inFlight)*c.held + c.remote.Held
}

// started is one request in flight.
type started struct {
	customer currantwood.CustomerID
	at       time.Time
}

type shard struct {
	mu        sync.Mutex
	customers map[currantwood.CustomerID]*customer
	// order has the same customers in the order in which they were first seen,
	// so that sums over them come out the same each time.
	order    []*customer
	requests map[currantwood.RequestID]started
}

// Limiter holds customers to their shares. It is safe for concurrent use. Tick
// has to be called a few times a second.
type Limiter struct {
	options Options
	shards  [shards]shard
	// level is the bits of the float64 share of a customer of weight 1, in
	// tokens; +Inf while memory is not scarce.
	level atomic.Uint64

	mu sync.Mutex
	// peers holds each other entry's last exchange, at most one for an entry.
	peers []exchange
	// free is the memory that could still be given out everywhere.
	free float64
}

// exchange is what another entry told.
type exchange struct {
	entry currantwood.VMID
	at    time.Time
	uses  []Use
}

// New returns a limiter without customers.
func New(options Options) *Limiter {
	l := &Limiter{options: options}
	for i := range l.shards {
		l.shards[i].customers = map[currantwood.CustomerID]*customer{}
		l.shards[i].requests = map[currantwood.RequestID]started{}
	}
	l.setLevel(math.Inf(1))
	return l
}

var _ currantwood.Limiter = (*Limiter)(nil)

// SetCustomers takes in the customers of the rules in force.
func (l *Limiter) SetCustomers(customers []currantwood.Customer) {
	for _, declared := range customers {
		s := l.shardOf(declared.ID)
		s.mu.Lock()
		c := l.customer(s, declared.ID)
		c.weight = max(float64(declared.Weight), 1)
		c.maxStreams = declared.MaxStreams
		s.mu.Unlock()
	}
}

// Admit says whether a request may go on. Where it may, Done must follow.
func (l *Limiter) Admit(now time.Time, demand currantwood.Demand) currantwood.AdmissionDecision {
	s := l.shardOf(demand.Customer)
	s.mu.Lock()
	defer s.mu.Unlock()
	c := l.customer(s, demand.Customer)
	c.asked = now
	if c.maxStreams > 0 && c.inFlight+c.remote.InFlight >= c.maxStreams {
		return l.refuse(now, c, "the customer's number of streams is used up", 1/float64(c.maxStreams))
	}
	share := c.weight * l.currentLevel()
	if over := c.use() + c.held - share; over > 0 && c.use() > 0 && !demand.Promised {
		return l.refuse(now, c, "the customer's fair share of engine memory is used up", over/c.use())
	}
	c.inFlight++
	if len(s.requests) < l.options.MaxRequests/shards {
		s.requests[demand.Request] = started{customer: demand.Customer, at: now}
	}
	return currantwood.AdmissionDecision{}
}

// The least and most that a refused customer is told to wait.
const (
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = time.Minute
)

// refuse tells the customer to come back when the given part of its requests
// has ended.
func (l *Limiter) refuse(now time.Time, c *customer, detail string, part float64) currantwood.AdmissionDecision {
	c.refused = now
	wait := time.Duration(min(part, 1) * c.life * float64(time.Second))
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	return currantwood.AdmissionDecision{Refusal: currantwood.NewRefusal(currantwood.KindOverLimit, step, detail, wait)}
}

// learnGain is the part that the newest request has in a customer's averages.
const learnGain = 0.1

// Done takes in that an admitted request is over. Used is 0 when it never ran.
func (l *Limiter) Done(now time.Time, id currantwood.CustomerID, request currantwood.RequestID, used currantwood.TokenSeconds) {
	s := l.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	c := l.customer(s, id)
	if c.inFlight > 0 {
		c.inFlight--
	}
	begun, known := s.requests[request]
	delete(s.requests, request)
	life := now.Sub(begun.at).Seconds()
	if !known || used <= 0 || life <= 0 {
		return
	}
	c.held += learnGain * (float64(used)/life - c.held)
	c.life += learnGain * (life - c.life)
}

// Uses returns this entry's own use by each customer that has requests in
// flight, for the exchange with other entries.
func (l *Limiter) Uses() []Use {
	var uses []Use
	l.each(func(c *customer) {
		if c.inFlight > 0 {
			uses = append(uses, Use{Customer: c.id, InFlight: c.inFlight, Held: float64(c.inFlight) * c.held})
		}
	})
	return uses
}

// Exchange takes in what another entry told. It replaces what that entry told
// before.
func (l *Limiter) Exchange(now time.Time, entry currantwood.VMID, uses []Use) {
	l.mu.Lock()
	defer l.mu.Unlock()
	told := exchange{entry: entry, at: now, uses: uses}
	for i := range l.peers {
		if l.peers[i].entry == entry {
			l.peers[i] = told
			return
		}
	}
	l.peers = append(l.peers, told)
}

// Free takes in the memory that the engines in view could still be given.
func (l *Limiter) Free(tokens currantwood.TokenCount) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.free = float64(tokens)
}

// customer returns a customer's state; the caller holds the shard's lock.
func (l *Limiter) customer(s *shard, id currantwood.CustomerID) *customer {
	c, known := s.customers[id]
	if !known {
		c = &customer{
			id:     id,
			weight: 1,
			held:   float64(l.options.UsualHeld),
			life:   l.options.UsualLife.Seconds(),
		}
		s.customers[id] = c
		s.order = append(s.order, c)
	}
	return c
}

// each visits all customers, one shard at a time under its lock.
func (l *Limiter) each(visit func(*customer)) {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for _, c := range s.order {
			visit(c)
		}
		s.mu.Unlock()
	}
}

func (l *Limiter) shardOf(id currantwood.CustomerID) *shard {
	return &l.shards[xxhash.Sum64String(string(id))%shards]
}

func (l *Limiter) setLevel(level float64) { l.level.Store(math.Float64bits(level)) }
func (l *Limiter) currentLevel() float64  { return math.Float64frombits(l.level.Load()) }
