// Package roomkeeper decides whether a generation that finds no room at any engine waits in
// its gateway or is refused, and which of those that wait is admitted next.
//
// A request waits if the forecast says that there is room for it within its bound, and is
// refused otherwise with the time after which there is. Those that wait are served by
// priority; within a priority, each customer has its turn, and so has each part that prompts
// share, so that neither crowds others out; within a turn the one whose objective is missed
// first goes first. The first for which no engine has room holds the engine with the most
// free memory: the smaller ones behind it go elsewhere and don't take the memory that it
// waits for.
//
// All gateways learn of the same freed capacity at the same time. Each therefore admits a
// random number of requests, so that all together are expected to take a part of the
// capacity; the part grows while the capacity stays free. Where a request of the gateway
// itself has ended, it sends another one at once, since the others learn of that room later.
package roomkeeper

import (
	"math/rand"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/capacity/forecaster"
)

const (
	// overheadBytes is what a waiting request takes besides its body: its head, of at most
	// 16 KB, the buffers of its connection and its goroutines.
	overheadBytes = 40 << 10
	// initialPart is the part of the open engines that all gateways together take with one
	// update. It is small, as the others see a send up to two updates later and may fill the
	// same engine beyond its room until then.
	initialPart = 0.2
	// maxLevel bounds how often that part is doubled; 2^12 exceeds the gateways of a fleet.
	maxLevel = 12
	// maxMisses bounds the requests without room that one offer looks at, which costs some
	// microseconds for each. It is high as those of one customer may all wait for the
	// engines of a region that is full.
	maxMisses = 64
	// manyOpen is the share of open engines from which on all requests that fit are
	// admitted, if there are also at least half as many open engines as gateways: then few
	// gateways choose the same engine.
	manyOpen = 1.0 / 3
	// returnFactor is the Retry-After of a refusal, divided by its forecast. It exceeds 1
	// since the forecast leaves out the requests that arrive meanwhile, and most clients retry
	// only once: with 2.5, 2.3% of the promises were broken in the model.
	returnFactor = 3.0
	// claimPart is the part of the engines that all gateways together may claim, for the
	// request that each of them holds an engine for. With claims on most engines nothing
	// would be admitted anywhere.
	claimPart = 0.25
)

const (
	// maxTurnLag is how many turns the current one may be behind the last that was taken.
	// Without it, a customer whose requests fit nowhere would keep it back, and a new
	// customer would go before all others until it had as many turns as they had since.
	maxTurnLag = 4
	// maxTurns bounds the customers, and the parts, whose next turns are known. Beyond it
	// all are forgotten, so that for once some have a turn too many.
	maxTurns = 1024
)

// Ticket identifies a waiting request; 0 is none.
type Ticket uint64

// Request is a request that finds no room.
type Request struct {
	Group    currantwood.GroupID
	Customer currantwood.CustomerID
	Priority currantwood.Priority
	// Part is the part of the prompt that most others may share; empty if there is none.
	Part currantwood.PartID
	// MissedAt is when the objective of the request is missed.
	MissedAt time.Time
	// Promised is whether the request redeems a promise. It goes before others of its
	// priority and isn't refused by the forecast.
	Promised bool
	// MustWait is whether the request waits whatever the forecast says: its stream has
	// begun, so that a refusal would lose it.
	MustWait bool
	// MaxWait is how long it may wait.
	MaxWait time.Duration
	Work    forecaster.Work
	// BodyBytes is the length of its body.
	BodyBytes int64
}

//go:generate go tool stringer -linecomment -type=Reason

// Reason says why a request doesn't wait.
type Reason uint8

// Reasons not to wait.
const (
	// Waits is for a request that waits.
	Waits        Reason = iota // waits
	TooLong                    // no room in time by the forecast
	QueueFull                  // no memory to wait
	Overtaken                  // no memory to wait beside more urgent requests
	NoTimeToWait               // no time left to wait
)

// Decision is what happens to a request that has arrived.
type Decision struct {
	// Reason is Waits if the request waits, with Ticket.
	Reason Reason
	Ticket Ticket
	// Forecast is the time until there is room for it.
	Forecast time.Duration
	// Evicted wait no longer, as their memory is needed for this request.
	Evicted []Ticket
}

// entry is a waiting request.
type entry struct {
	Request
	ticket Ticket
	// claims is whether the engine held for it is claimed at the other gateways, too; drawn
	// once.
	claims bool
}

// queue is what waits for the engines of one group.
type queue struct {
	entries []*entry
	// turns and partTurns are the next turns of the customers and of the parts that had one.
	// turn is the current one.
	turns     map[currantwood.CustomerID]int
	partTurns map[currantwood.PartID]int
	turn      int
	// level is how often the part taken was doubled, and open the engines that had room
	// when it was.
	level, open int
	// held is the engine held for holder.
	held   currantwood.UpstreamID
	holder *entry
}

// Keeper holds the waiting requests of one gateway. It is not safe for concurrent use.
type Keeper struct {
	maxBytes, bytes int64
	random          *rand.Rand
	forecaster      *forecaster.Forecaster
	queues          map[currantwood.GroupID]*queue
	last            Ticket
}

// New returns a keeper whose waiting requests take at most maxBytes.
func New(maxBytes int64, f *forecaster.Forecaster, random *rand.Rand) *Keeper {
	return &Keeper{maxBytes: maxBytes, forecaster: f, random: random, queues: make(map[currantwood.GroupID]*queue)}
}

// Arrive decides on a request that finds no room.
func (k *Keeper) Arrive(now time.Time, r Request, room forecaster.Room) Decision {
	q := k.queue(r.Group)
	e := &entry{Request: r}
	d := Decision{Forecast: k.Forecast(now, r, room)}
	if r.MaxWait <= 0 {
		d.Reason = NoTimeToWait
		return d
	}
	if room.Open == 0 && d.Forecast > r.MaxWait && k.refusesByForecast(r, room) {
		d.Reason = TooLong
		return d
	}
	cost := overheadBytes + r.BodyBytes
	d.Evicted = k.evictFor(q, e, cost)
	if k.bytes+cost > k.maxBytes {
		d.Reason = QueueFull
		return d
	}
	k.last++
	k.bytes += cost
	e.ticket = k.last
	e.claims = k.random.Float64() < claimPart*float64(room.Engines)/float64(max(1, room.Gateways))
	q.entries = append(q.entries, e)
	d.Ticket = e.ticket
	return d
}

// refusesByForecast reports whether a request is refused if the forecast exceeds its time to
// wait. Until a generation has ended here, the forecast rests on an assumed stay and refuses
// only where there is no engine to wait for: otherwise a gateway that has just started
// refuses generations that find room a moment later.
func (k *Keeper) refusesByForecast(r Request, room forecaster.Room) bool {
	if r.Promised || r.MustWait {
		return false
	}
	return room.Engines == 0 || k.forecaster.HasMeasured(r.Group)
}

// Forecast returns the time until there is room for a request that doesn't wait yet, after
// the waiting requests that go before it and the promised ones. Promised requests don't go
// before one that redeems a promise itself.
func (k *Keeper) Forecast(now time.Time, r Request, room forecaster.Room) time.Duration {
	q, e := k.queue(r.Group), &entry{Request: r}
	var ahead forecaster.Work
	if !e.Promised {
		ahead = k.forecaster.Promised(now, e.Group)
	}
	for _, other := range q.order(e) {
		if other == e {
			break
		}
		ahead.Add(other.Work)
	}
	return k.forecaster.Forecast(e.Group, room, e.Work, ahead)
}

// RetryAfter returns when a client that is refused should come back, by a forecast.
func RetryAfter(forecast time.Duration) time.Duration {
	return time.Duration(returnFactor * float64(forecast))
}

// Leave removes a request that waits no longer, and reports whether it waited.
func (k *Keeper) Leave(id currantwood.GroupID, t Ticket) bool {
	q := k.queue(id)
	for i, e := range q.entries {
		if e.ticket != t {
			continue
		}
		q.entries = append(q.entries[:i], q.entries[i+1:]...)
		k.bytes -= overheadBytes + e.BodyBytes
		if q.holder == e {
			q.holder, q.held = nil, ""
		}
		if len(q.entries) == 0 {
			clear(q.turns)
			clear(q.partTurns)
			q.turn, q.level = 0, 0
		}
		return true
	}
	return false
}

// Waiting returns the number of requests that wait for engines of a group.
func (k *Keeper) Waiting(id currantwood.GroupID) int {
	if q := k.queues[id]; q != nil {
		return len(q.entries)
	}
	return 0
}

// Total returns the number of all waiting requests and the memory that they take.
func (k *Keeper) Total() (requests int, bytes int64) {
	for _, q := range k.queues {
		requests += len(q.entries)
	}
	return requests, k.bytes
}

// Claim is an engine that is held for a waiting request, as reported to the other gateways.
type Claim struct {
	Upstream currantwood.UpstreamID
	Work     forecaster.Work
}

// Claims returns the engines that are claimed.
func (k *Keeper) Claims() []Claim {
	var claims []Claim
	for _, q := range k.queues {
		if q.holder != nil && q.holder.claims {
			claims = append(claims, Claim{q.held, q.holder.Work})
		}
	}
	return claims
}

func (k *Keeper) queue(id currantwood.GroupID) *queue {
	q := k.queues[id]
	if q == nil {
		q = &queue{turns: make(map[currantwood.CustomerID]int), partTurns: make(map[currantwood.PartID]int)}
		k.queues[id] = q
	}
	return q
}
