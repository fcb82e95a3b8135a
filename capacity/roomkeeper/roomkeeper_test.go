package roomkeeper

import (
	"fmt"
	"math/rand"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/capacity/forecaster"
)

var start = time.Unix(1_700_000_000, 0)

// engines is a placer for engines with some free memory each.
type engines struct {
	free     map[currantwood.UpstreamID]currantwood.TokenCount
	need     map[Ticket]currantwood.TokenCount
	gateways int
	// gone is an engine that is sent nothing any more.
	gone   currantwood.UpstreamID
	found  currantwood.UpstreamID
	placed []Ticket
}

func (e *engines) Fits(t Ticket, c Choice) bool {
	for _, id := range []currantwood.UpstreamID{"a", "b"} {
		if id != e.gone && id != c.Not && (c.Only == "" || id == c.Only) && e.free[id] >= e.need[t] {
			e.found = id
			return true
		}
	}
	return false
}

func (e *engines) Place(t Ticket) {
	e.free[e.found] -= e.need[t]
	e.placed = append(e.placed, t)
}

func (e *engines) Room(t Ticket) forecaster.Room {
	room := forecaster.Room{Engines: 2, Gateways: max(1, e.gateways), Total: forecaster.Work{Requests: 40, Memory: 40_000}, Own: forecaster.Work{Requests: 40, Memory: 40_000}}
	for _, id := range []currantwood.UpstreamID{"a", "b"} {
		if id == e.gone {
			continue
		}
		if room.Roomiest == "" || e.free[id] > room.RoomiestFree {
			room.Roomiest, room.RoomiestFree = id, e.free[id]
		}
		if e.free[id] >= e.need[t] {
			room.Open++
		}
	}
	return room
}

func (e *engines) Admits(_ Ticket, id currantwood.UpstreamID) bool { return id != e.gone }

func newEngines() *engines {
	return &engines{free: map[currantwood.UpstreamID]currantwood.TokenCount{}, need: map[Ticket]currantwood.TokenCount{}}
}

func newKeeper(maxBytes int64) *Keeper {
	return New(maxBytes, forecaster.New(), rand.New(rand.NewSource(1)))
}

// arrive lets a request wait and returns its ticket.
func arrive(k *Keeper, e *engines, r Request) Ticket {
	r.Group, r.MaxWait, r.MustWait = "g", time.Second, true
	if r.Work.Memory == 0 {
		r.Work = forecaster.Work{Requests: 1, Memory: 100}
	}
	d := k.Arrive(start, r, e.Room(0))
	ExpectWithOffset(1, d.Reason).To(Equal(Waits))
	e.need[d.Ticket] = r.Work.Memory
	return d.Ticket
}

// serveAll gives room for everything, and returns the order in which requests are placed.
func serveAll(k *Keeper, e *engines) []Ticket {
	e.free["a"] = 1_000_000
	for range k.Waiting("g") {
		k.OfferFreed("g", "a", e)
	}
	return e.placed
}

var _ = Describe("Keeper", func() {
	It("admits by priority and then by the time until the objective is missed", func() {
		k, e := newKeeper(1<<20), newEngines()
		late := arrive(k, e, Request{Priority: 5, Customer: "x", MissedAt: start.Add(4 * time.Second)})
		soon := arrive(k, e, Request{Priority: 5, Customer: "y", MissedAt: start.Add(time.Second)})
		low := arrive(k, e, Request{Priority: 1, Customer: "z", MissedAt: start})
		Expect(serveAll(k, e)).To(Equal([]Ticket{soon, late, low}))
	})

	It("admits a client that comes back as told before others of its priority", func() {
		k, e := newKeeper(1<<20), newEngines()
		other := arrive(k, e, Request{Customer: "x", MissedAt: start})
		told := arrive(k, e, Request{Customer: "x", MissedAt: start.Add(time.Second), Promised: true})
		Expect(serveAll(k, e)).To(Equal([]Ticket{told, other}))
	})

	It("gives each customer its turn, however many requests another has", func() {
		k, e := newKeeper(1<<20), newEngines()
		var many []Ticket
		for range 4 {
			many = append(many, arrive(k, e, Request{Customer: "many", MissedAt: start}))
		}
		one := arrive(k, e, Request{Customer: "one", MissedAt: start.Add(time.Second)})
		Expect(serveAll(k, e)[:2]).To(ConsistOf(many[0], one))
	})

	It("doesn't forget turns that a customer had between arrivals", func() {
		k, e := newKeeper(1<<20), newEngines()
		for range 4 {
			arrive(k, e, Request{Customer: "many", MissedAt: start})
		}
		waiting := arrive(k, e, Request{Customer: "one", MissedAt: start.Add(time.Second)})
		e.free["a"] = 100
		k.OfferFreed("g", "a", e)
		e.free["a"] = 100
		k.OfferFreed("g", "a", e)
		Expect(e.placed).To(ContainElement(waiting))
	})

	It("gives a prompt part that many customers share its turn among others", func() {
		k, e := newKeeper(1<<20), newEngines()
		var hot []Ticket
		for _, customer := range []currantwood.CustomerID{"a", "b", "c", "d", "e"} {
			hot = append(hot, arrive(k, e, Request{Customer: customer, Part: "hot", MissedAt: start}))
		}
		other := arrive(k, e, Request{Customer: "f", Part: "other", MissedAt: start.Add(time.Second)})
		Expect(serveAll(k, e)[:2]).To(ConsistOf(hot[0], other))
	})

	It("holds the roomiest engine for a large generation, so that small ones don't take what it waits for", func() {
		k, e := newKeeper(1<<20), newEngines()
		large := arrive(k, e, Request{Customer: "x", MissedAt: start, Work: forecaster.Work{Requests: 1, Memory: 1000}})
		var small []Ticket
		for range 12 {
			small = append(small, arrive(k, e, Request{Customer: "y", MissedAt: start.Add(time.Second)}))
		}
		e.free["a"], e.free["b"] = 500, 100
		k.OfferUpdate("g", e)
		Expect(k.queues["g"].held).To(Equal(currantwood.UpstreamID("a")))
		for range 5 {
			// Each time, another 100 tokens become free at the held engine.
			e.free["a"] += 100
			k.OfferFreed("g", "a", e)
		}
		Expect(e.placed).To(ContainElement(large))
		Expect(e.placed).NotTo(ContainElement(small[2]))
		Expect(e.free["a"]).To(BeZero())
	})

	// Guards against a large generation that holds nothing any more and is overtaken by small
	// ones until its time is over.
	It("holds another engine once the one held has gone", func() {
		k, e := newKeeper(1<<20), newEngines()
		large := arrive(k, e, Request{Customer: "x", MissedAt: start, Work: forecaster.Work{Requests: 1, Memory: 1000}})
		arrive(k, e, Request{Customer: "y", MissedAt: start.Add(time.Second), Work: forecaster.Work{Requests: 1, Memory: 800}})
		e.free["a"], e.free["b"] = 500, 400
		k.OfferUpdate("g", e)
		Expect(k.queues["g"].held).To(Equal(currantwood.UpstreamID("a")))
		e.gone = "a"
		k.OfferUpdate("g", e)
		e.free["b"] = 900
		k.OfferFreed("g", "b", e)
		Expect(e.placed).To(BeEmpty())
		e.free["b"] = 1000
		k.OfferFreed("g", "b", e)
		Expect(e.placed).To(Equal([]Ticket{large}))
	})

	// Guards against less urgent work that goes first, as an engine was held for it before a
	// more urgent request arrived.
	It("gives room at a held engine to a more urgent request first", func() {
		k, e := newKeeper(1<<20), newEngines()
		large := arrive(k, e, Request{Priority: 1, MissedAt: start, Work: forecaster.Work{Requests: 1, Memory: 1000}})
		e.free["a"] = 50
		k.OfferUpdate("g", e)
		Expect(k.queues["g"].held).To(Equal(currantwood.UpstreamID("a")))
		alike := arrive(k, e, Request{Priority: 1, Customer: "x", MissedAt: start.Add(-time.Second)})
		urgent := arrive(k, e, Request{Priority: 5, MissedAt: start.Add(time.Second)})
		e.free["a"] = 1000
		k.OfferFreed("g", "a", e)
		e.free["a"] = 1000
		k.OfferFreed("g", "a", e)
		Expect(e.placed).To(Equal([]Ticket{urgent, large}))
		Expect(k.Leave("g", alike)).To(BeTrue())
	})

	It("claims an engine that it holds, so that other gateways leave it the room", func() {
		k, e := newKeeper(1<<20), newEngines()
		arrive(k, e, Request{MissedAt: start, Work: forecaster.Work{Requests: 1, Memory: 1000}})
		e.free["a"] = 500
		k.queues["g"].entries[0].claims = true
		k.OfferUpdate("g", e)
		Expect(k.Claims()).To(Equal([]Claim{{Upstream: "a", Work: forecaster.Work{Requests: 1, Memory: 1000}}}))
		e.free["a"] = 1000
		k.OfferFreed("g", "a", e)
		Expect(k.Claims()).To(BeEmpty())
	})

	// Guards against a large request, or one that may go to few engines, that keeps all others
	// waiting although engines have room for them.
	It("admits what fits although the first doesn't", func() {
		k, e := newKeeper(1<<20), newEngines()
		var large []Ticket
		for range 20 {
			large = append(large, arrive(k, e, Request{Customer: "x", MissedAt: start, Work: forecaster.Work{Requests: 1, Memory: 1000}}))
		}
		e.free["a"], e.free["b"] = 500, 400
		k.OfferUpdate("g", e)
		small := arrive(k, e, Request{Customer: "y", MissedAt: start.Add(time.Second)})
		k.OfferArrived("g", e.Room(small), e)
		Expect(e.placed).To(Equal([]Ticket{small}))
		Expect(e.free["a"]).To(Equal(currantwood.TokenCount(500)), "held for the first")
		Expect(k.Waiting("g")).To(Equal(len(large)))
	})

	// Guards against less urgent requests that wait and delay a more urgent one that fits.
	It("lets a request pass those that go after it, and not those before it that fit", func() {
		k, e := newKeeper(1<<20), newEngines()
		e.gateways = 21
		arrive(k, e, Request{Priority: 1, Customer: "x", MissedAt: start})
		urgent := Request{Group: "g", Priority: 5, Customer: "y", MissedAt: start.Add(time.Second)}
		e.free["a"] = 100
		not, may := k.MayPass(urgent, e)
		Expect(may).To(BeTrue())
		Expect(not).To(BeEmpty())
		urgent.Priority = 0
		_, may = k.MayPass(urgent, e)
		Expect(may).To(BeFalse())
	})

	It("lets a request pass those before it that don't fit, but for the engine held", func() {
		k, e := newKeeper(1<<20), newEngines()
		arrive(k, e, Request{Priority: 5, MissedAt: start, Work: forecaster.Work{Requests: 1, Memory: 1000}})
		e.free["a"], e.free["b"] = 500, 400
		not, may := k.MayPass(Request{Group: "g", Priority: 1, MissedAt: start}, e)
		Expect(may).To(BeTrue())
		Expect(not).To(Equal(currantwood.UpstreamID("a")))
	})

	// Guards against a customer whose requests pass one after the other.
	It("counts a request that passes as the turn of its customer", func() {
		k, e := newKeeper(1<<20), newEngines()
		large := forecaster.Work{Requests: 1, Memory: 1000}
		arrive(k, e, Request{Customer: "x", MissedAt: start, Work: large})
		waiting := arrive(k, e, Request{Customer: "one", MissedAt: start.Add(time.Second)})
		passes := Request{Group: "g", Customer: "many", MissedAt: start}
		_, may := k.MayPass(passes, e)
		Expect(may).To(BeTrue())
		k.Passed(passes)
		e.free["b"] = 100
		k.OfferFreed("g", "b", e)
		Expect(e.placed).To(Equal([]Ticket{waiting}))
		_, may = k.MayPass(passes, e)
		Expect(may).To(BeTrue(), "nothing that fits waits any more")
	})

	// Guards against a customer whose requests fit nowhere for long: the turns of others then
	// went on without it, and one that was new had all the turns that they had had.
	It("gives a new customer no turns of the time before it, though another is stuck", func() {
		k, e := newKeeper(1<<20), newEngines()
		arrive(k, e, Request{Customer: "stuck", MissedAt: start, Work: forecaster.Work{Requests: 1, Memory: 1000}})
		serveOne := func() {
			e.free["b"] = 100
			k.OfferFreed("g", "b", e)
		}
		for range 200 {
			arrive(k, e, Request{Customer: "usual", MissedAt: start})
			serveOne()
		}
		usual := arrive(k, e, Request{Customer: "usual", MissedAt: start})
		e.placed = nil
		for range 20 {
			arrive(k, e, Request{Customer: "new", MissedAt: start.Add(time.Second)})
		}
		for range 10 {
			serveOne()
		}
		Expect(e.placed).To(ContainElement(usual))
	})

	// Guards against memory that grows with the prompts ever seen while something waits.
	It("forgets the turns of parts and customers that don't matter any more", func() {
		k, e := newKeeper(1<<20), newEngines()
		arrive(k, e, Request{Customer: "stuck", MissedAt: start, Work: forecaster.Work{Requests: 1, Memory: 1000}})
		for i := range 10 * maxTurns {
			name := fmt.Sprint(i)
			arrive(k, e, Request{Customer: currantwood.CustomerID(name), Part: currantwood.PartID(name), MissedAt: start})
			e.free["b"] = 100
			k.OfferFreed("g", "b", e)
		}
		Expect(k.Waiting("g")).To(Equal(1))
		q := k.queues["g"]
		Expect(len(q.turns)).To(BeNumerically("<=", maxTurns))
		Expect(len(q.partTurns)).To(BeNumerically("<=", maxTurns))
	})

	It("refuses what would wait longer than it may by the forecast", func() {
		k, e := newKeeper(1<<20), newEngines()
		k.forecaster.Ended("g", 2*time.Second, 1000)
		e.need[0] = 1000
		d := k.Arrive(start, Request{Group: "g", MaxWait: 20 * time.Millisecond, Work: forecaster.Work{Requests: 1, Memory: 1000}}, e.Room(0))
		Expect(d.Reason).To(Equal(TooLong))
		Expect(d.Forecast).To(BeNumerically("~", 100*time.Millisecond, time.Millisecond), "2 engines free 20 tokens per ms")
		Expect(k.Waiting("g")).To(BeZero())
	})

	// Guards against generations that a gateway refuses soon after its start, by an assumed
	// stay, although an engine has room a moment later.
	It("doesn't refuse by the forecast before a generation has ended, unless there is no engine", func() {
		k, e := newKeeper(1<<20), newEngines()
		e.need[0] = 1000
		r := Request{Group: "g", MaxWait: 20 * time.Millisecond, Work: forecaster.Work{Requests: 1, Memory: 1000}}
		d := k.Arrive(start, r, e.Room(0))
		Expect(d.Reason).To(Equal(Waits))
		Expect(d.Forecast).To(BeNumerically(">", r.MaxWait))
		Expect(k.Arrive(start, r, forecaster.Room{}).Reason).To(Equal(TooLong))
	})

	It("bounds the memory of waiting requests and evicts those that go last", func() {
		k, e := newKeeper(2*overheadBytes+2000), newEngines()
		arrive(k, e, Request{Priority: 5, BodyBytes: 1000})
		r := Request{Group: "g", MaxWait: time.Second, Promised: true, Priority: 1, BodyBytes: 1000}
		low := k.Arrive(start, r, e.Room(0)).Ticket
		Expect(k.Arrive(start, r, e.Room(0)).Reason).To(Equal(QueueFull))
		r.Priority = 4
		d := k.Arrive(start, r, e.Room(0))
		Expect(d.Reason).To(Equal(Waits))
		Expect(d.Evicted).To(Equal([]Ticket{low}))
		requests, bytes := k.Total()
		Expect(requests).To(Equal(2))
		Expect(bytes).To(Equal(int64(2*overheadBytes + 2000)))
	})

	// Guards against an urgent request that is refused for the memory of less urgent ones,
	// since they wait for other engines.
	It("evicts less urgent requests of other groups, but no equally urgent ones", func() {
		k, e := newKeeper(2*overheadBytes), newEngines()
		r := Request{Group: "other", MaxWait: time.Second, Promised: true, Priority: 1}
		low := k.Arrive(start, r, e.Room(0)).Ticket
		arrive(k, e, Request{Priority: 5})
		r.Group, r.Priority = "g", 2
		Expect(k.Arrive(start, r, e.Room(0)).Evicted).To(Equal([]Ticket{low}))
		r.Group = "other"
		Expect(k.Arrive(start, r, e.Room(0)).Reason).To(Equal(QueueFull))
		Expect(k.Waiting("other")).To(BeZero())
	})

	// Guards against streams that are lost, as their resumption is refused for the memory that
	// requests need which could come back.
	It("doesn't evict a request whose stream has begun", func() {
		k, e := newKeeper(2*overheadBytes), newEngines()
		r := Request{Group: "g", MaxWait: time.Second, Promised: true, Priority: 2}
		other := k.Arrive(start, r, e.Room(0)).Ticket
		arrive(k, e, Request{Priority: 1})
		r.Priority = 5
		Expect(k.Arrive(start, r, e.Room(0)).Evicted).To(Equal([]Ticket{other}))
		Expect(k.Arrive(start, Request{Group: "g", MaxWait: time.Second, Promised: true, Priority: 5}, e.Room(0)).Reason).To(Equal(QueueFull))
		Expect(k.Waiting("g")).To(Equal(2))
	})

	It("frees the memory of a request that leaves, as when its client disconnects", func() {
		k, e := newKeeper(1<<20), newEngines()
		t := arrive(k, e, Request{BodyBytes: 1000})
		Expect(k.Leave("g", t)).To(BeTrue())
		Expect(k.Leave("g", t)).To(BeFalse())
		_, bytes := k.Total()
		Expect(bytes).To(BeZero())
	})

	// Guards against all gateways sending to the same engine after the same update.
	It("lets 21 gateways that read the same update take about what is free", func() {
		jumped, rounds := 0, 200
		for seed := range int64(rounds) {
			for gateway := range int64(21) {
				k, e := New(1<<20, forecaster.New(), rand.New(rand.NewSource(seed*100+gateway))), newEngines()
				e.gateways = 21
				for range 5 {
					arrive(k, e, Request{})
				}
				// One engine has room for one generation.
				e.free["a"] = 100
				k.OfferUpdate("g", e)
				jumped += len(e.placed)
			}
		}
		Expect(float64(jumped) / float64(rounds)).To(BeNumerically("<=", 1))
	})

	It("takes capacity that stays free within some updates, though it expects 20 other gateways", func() {
		k, e := newKeeper(1<<20), newEngines()
		e.gateways = 21
		arrive(k, e, Request{})
		e.free["a"] = 100
		updates := 0
		for ; len(e.placed) == 0; updates++ {
			k.OfferUpdate("g", e)
		}
		Expect(updates).To(BeNumerically("<=", 9))
	})
})
