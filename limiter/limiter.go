package limiter

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/currantwood/currantwood"
)

// step names this pipeline stage in refusals.
const step = "limiter"

// Options configures a Limiter.
type Options struct {
	// MinFreeFraction is the fraction of engine memory that is free at or below which
	// fair shares are enforced.
	MinFreeFraction currantwood.Share
	// InitialHeld is the initial value of a customer's average of the engine memory
	// that one request holds; > 0.
	InitialHeld currantwood.TokenCount
	// InitialDuration is the initial value of a customer's average request duration.
	InitialDuration time.Duration
	// InactiveAfter is how long after its last request a customer without usage still
	// takes part in the fair shares.
	InactiveAfter time.Duration
	// MaxTimedRequests limits the requests in flight whose start time is stored. It is
	// divided evenly among the shards. The other requests don't change their customer's
	// averages.
	MaxTimedRequests int
}

// DefaultOptions returns options for streams of a few hundred tokens.
func DefaultOptions() Options {
	return Options{
		MinFreeFraction:  0.1,
		InitialHeld:      400,
		InitialDuration:  8 * time.Second,
		InactiveAfter:    time.Minute,
		MaxTimedRequests: 1 << 17,
	}
}

// Usage is one customer's current usage at one entry.
type Usage struct {
	Customer currantwood.CustomerID
	// InFlight is the number of its requests in flight.
	InFlight uint32
	// HeldTokens is the estimated engine memory that these requests hold, in tokens.
	HeldTokens float64
}

// shardCount is the number of locks over the customers.
const shardCount = 32

// customer is the state of one customer.
type customer struct {
	id         currantwood.CustomerID
	weight     float64
	maxStreams uint32
	inFlight   uint32
	// averageHeld is the moving average of the memory that one request holds, in
	// tokens; > 0.
	averageHeld float64
	// averageSeconds is the moving average of the duration of one request, in seconds.
	averageSeconds float64
	// remote is the usage at all other entries as of the last Tick.
	remote Usage
	// requestedAt and refusedAt are the times of its last request and last refusal.
	requestedAt time.Time
	refusedAt   time.Time
}

// totalHeld returns the memory that the customer's requests hold at all entries, in tokens.
func (c *customer) totalHeld() float64 {
	return float64(c.inFlight)*c.averageHeld + c.remote.HeldTokens
}

// startedRequest is an admitted request that has not ended.
type startedRequest struct {
	customer  currantwood.CustomerID
	startedAt time.Time
}

type shard struct {
	mu        sync.Mutex // guards all fields
	customers map[currantwood.CustomerID]*customer
	// order holds the same customers in the order in which they were first seen. The
	// fixed order makes floating-point sums over them reproducible.
	order    []*customer
	requests map[currantwood.RequestID]startedRequest
}

// Limiter limits customers to their fair shares. It is safe for concurrent use. Tick must
// be called a few times a second.
type Limiter struct {
	options Options
	shards  [shardCount]shard
	// level holds the bits of a float64: the share of a customer of weight 1, in tokens;
	// +Inf while memory is not scarce.
	level atomic.Uint64

	mu sync.Mutex // guards peerUsages and free
	// peerUsages holds the last report of each other entry.
	peerUsages []peerUsage
	// free is the engine memory that new requests could get, in tokens.
	free float64
}

// peerUsage is a usage report from another entry.
type peerUsage struct {
	entry      currantwood.VMID
	receivedAt time.Time
	usages     []Usage
}

// New returns a limiter without customers.
func New(options Options) *Limiter {
	l := &Limiter{options: options}
	for i := range l.shards {
		l.shards[i].customers = map[currantwood.CustomerID]*customer{}
		l.shards[i].requests = map[currantwood.RequestID]startedRequest{}
	}
	l.setLevel(math.Inf(1))
	return l
}

var _ currantwood.Limiter = (*Limiter)(nil)

// SetCustomers sets the weights and stream limits of the customers that the current rules
// declare. A customer that is no longer declared keeps its last ones.
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

// Admit decides whether a request is admitted. If it is, Done must be called later.
func (l *Limiter) Admit(now time.Time, demand currantwood.Demand) currantwood.AdmissionDecision {
	s := l.shardOf(demand.Customer)
	s.mu.Lock()
	defer s.mu.Unlock()
	c := l.customer(s, demand.Customer)
	c.requestedAt = now
	if c.maxStreams > 0 && c.inFlight+c.remote.InFlight >= c.maxStreams {
		return l.refuse(now, c, "the customer's number of streams is used up", 1/float64(c.maxStreams))
	}
	// The share doesn't limit a customer without usage, which may always start one request,
	// nor a promised request, which was refused before and told to come now.
	share := c.weight * l.currentLevel()
	if over := c.totalHeld() + c.averageHeld - share; over > 0 && c.totalHeld() > 0 && !demand.Promised {
		return l.refuse(now, c, "the customer's fair share of engine memory is used up", over/c.totalHeld())
	}
	c.inFlight++
	if len(s.requests) < l.options.MaxTimedRequests/shardCount {
		s.requests[demand.Request] = startedRequest{customer: demand.Customer, startedAt: now}
	}
	return currantwood.AdmissionDecision{}
}

// Limits of RetryAfter in a refusal.
const (
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = time.Minute
)

// refuse returns a refusal whose RetryAfter is the estimated time until the given fraction of
// the customer's requests has ended.
func (l *Limiter) refuse(now time.Time, c *customer, detail string, fraction float64) currantwood.AdmissionDecision {
	c.refusedAt = now
	wait := time.Duration(min(fraction, 1) * c.averageSeconds * float64(time.Second))
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	return currantwood.AdmissionDecision{Refusal: currantwood.NewRefusal(currantwood.KindOverLimit, step, detail, wait)}
}

// averageWeight is the weight of the newest request in a customer's exponential moving
// averages.
const averageWeight = 0.1

// Done records the end of an admitted request. Used is 0 if it isn't known, for example
// because the request did not run or did not complete; the customer's averages then don't
// change.
func (l *Limiter) Done(now time.Time, id currantwood.CustomerID, request currantwood.RequestID, used currantwood.TokenSeconds) {
	s := l.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	c := l.customer(s, id)
	if c.inFlight > 0 {
		c.inFlight--
	}
	started, known := s.requests[request]
	delete(s.requests, request)
	seconds := now.Sub(started.startedAt).Seconds()
	if !known || used <= 0 || seconds <= 0 {
		return
	}
	c.averageHeld += averageWeight * (float64(used)/seconds - c.averageHeld)
	c.averageSeconds += averageWeight * (seconds - c.averageSeconds)
}

// Usages returns the usage at this entry of each customer that has requests in flight, to be
// sent to the other entries.
func (l *Limiter) Usages() []Usage {
	var usages []Usage
	l.forEach(func(c *customer) {
		if c.inFlight > 0 {
			usages = append(usages, Usage{Customer: c.id, InFlight: c.inFlight, HeldTokens: float64(c.inFlight) * c.averageHeld})
		}
	})
	return usages
}

// RecordPeerUsage records a usage report from another entry. It replaces that entry's last one.
func (l *Limiter) RecordPeerUsage(now time.Time, entry currantwood.VMID, usages []Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	report := peerUsage{entry: entry, receivedAt: now, usages: usages}
	for i := range l.peerUsages {
		if l.peerUsages[i].entry == entry {
			l.peerUsages[i] = report
			return
		}
	}
	l.peerUsages = append(l.peerUsages, report)
}

// SetFreeMemory sets the engine memory that new requests could get at the engines known to this entry.
func (l *Limiter) SetFreeMemory(tokens currantwood.TokenCount) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.free = float64(tokens)
}

// customer returns a customer's state and creates it if there is none. The caller holds the
// shard's lock.
func (l *Limiter) customer(s *shard, id currantwood.CustomerID) *customer {
	c, known := s.customers[id]
	if !known {
		c = &customer{
			id:             id,
			weight:         1,
			averageHeld:    float64(l.options.InitialHeld),
			averageSeconds: l.options.InitialDuration.Seconds(),
		}
		s.customers[id] = c
		s.order = append(s.order, c)
	}
	return c
}

// forEach calls visit for all customers, under the lock of each one's shard.
func (l *Limiter) forEach(visit func(*customer)) {
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
	return &l.shards[xxhash.Sum64String(string(id))%shardCount]
}

func (l *Limiter) setLevel(level float64) { l.level.Store(math.Float64bits(level)) }
func (l *Limiter) currentLevel() float64  { return math.Float64frombits(l.level.Load()) }
