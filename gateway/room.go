package gateway

import (
	"math/rand"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/balancer"
	"github.com/currantwood/currantwood/capacity/forecaster"
	"github.com/currantwood/currantwood/capacity/roomkeeper"
)

const (
	// waitShare is the share of the target time for which a generation may wait for room.
	// The rest is for its prompt.
	waitShare = 0.5
	// promisedWaitShare replaces it for a request that redeems a promise: most clients don't
	// retry after a second refusal.
	promisedWaitShare = 0.8
	// waitAndQueueShare is the share of the target time that waiting and the prompts queued
	// at the engine may take together.
	waitAndQueueShare = 0.85
	// minQueueTime is the least limit on the prompts queued at the engine; 0 would be none.
	minQueueTime = time.Millisecond
	// waitingShare is the share of the VM's memory that waiting requests may take: about
	// 170 with short bodies at 112 MB. Their bodies count in bufferedShare, too.
	waitingShare = 1.0 / 16
	// maxOfferInterval is the time after which waiting requests are offered room although
	// no loads have arrived, which come each 50 ms.
	maxOfferInterval = 100 * time.Millisecond
	// hashedBytes is how much of each end of a body counts when a request is recognized.
	hashedBytes = 32 << 10
)

// roomQueue holds the generations that wait for room. The gateway's mu guards it.
type roomQueue struct {
	keeper     *roomkeeper.Keeper
	forecaster *forecaster.Forecaster
	waiters    map[roomkeeper.Ticket]*waiter
	// offeredAt is when offerUpdate was called last.
	offeredAt time.Time
	// checkedVersion is the configuration by which the keys of waiting requests were checked
	// last.
	checkedVersion currantwood.ConfigurationVersion
}

func newRoomQueue(memoryBytes int64, random *rand.Rand) *roomQueue {
	f := forecaster.New()
	return &roomQueue{
		keeper:     roomkeeper.New(int64(waitingShare*float64(memoryBytes)), f, random),
		forecaster: f,
		waiters:    make(map[roomkeeper.Ticket]*waiter),
	}
}

// placer implements roomkeeper.Placer for one offer. The gateway's mu is held.
type placer struct {
	g   *Gateway
	now time.Time
	// missed are queries that found no upstream. An offer only adds load, so that a query
	// which one of them covers finds none either.
	missed []balancer.Query
}

// Fits implements roomkeeper.Placer.
func (p *placer) Fits(t roomkeeper.Ticket, c roomkeeper.Choice) bool {
	w := p.g.room.waiters[t]
	query := w.query(p.now)
	query.Only = c.Only
	query.Exclude = without(query.Exclude, c.Not)
	covered := slices.ContainsFunc(p.missed, func(missed balancer.Query) bool { return missed.Covers(query) })
	if covered && w.counted {
		return false
	}
	choice, err := p.g.balancer.Pick(p.now, query)
	w.choice, w.counted = choice, true
	if err != nil && !covered {
		p.missed = append(p.missed, query)
	}
	return err == nil
}

// Place implements roomkeeper.Placer.
func (p *placer) Place(t roomkeeper.Ticket) {
	w := p.g.room.waiters[t]
	w.q.started(p.now, w.choice, w.stallTimeout)
	delete(p.g.room.waiters, t)
	w.result <- nil
}

// Room implements roomkeeper.Placer.
func (p *placer) Room(t roomkeeper.Ticket) forecaster.Room {
	return p.g.balancer.Room(p.now, p.g.room.waiters[t].query(p.now))
}

// Admits implements roomkeeper.Placer.
func (p *placer) Admits(t roomkeeper.Ticket, engine currantwood.UpstreamID) bool {
	view, known := p.g.upstreams.Get(engine)
	return known && p.g.admitsPicked(p.now, view, p.g.room.waiters[t].q.regions())
}

// pickOrWait picks an engine as pickNow does, or waits until one has room. Requests that wait
// already go first. It returns a *refusedError if there won't be room in time.
func (q *request) pickOrWait(now time.Time, stallTimeout time.Duration, restrict func(*balancer.Query)) (balancer.Choice, error) {
	q.redeemPromise(now)
	w := &waiter{q: q, stallTimeout: stallTimeout, restrict: restrict, since: now, result: make(chan error, 1)}
	for {
		choice, waited, err := w.pick(now)
		if !waited {
			return choice, err
		}
		now = q.g.Now()
		if refused := q.recheckKey(now); refused != nil {
			q.recordEnd(choice.View, q.load(), balancer.Neutral)
			return balancer.Choice{}, &refusedError{refused}
		}
		if q.mayBeSent(choice.View) {
			q.logAdmitted(now, w, choice)
			return choice, nil
		}
		q.recordEnd(choice.View, q.load(), balancer.Neutral)
	}
}

// endWait ends the wait of a request that the keeper holds no longer. The caller holds mu.
func (g *Gateway) endWait(t roomkeeper.Ticket, err error) {
	if w := g.room.waiters[t]; w != nil {
		delete(g.room.waiters, t)
		w.result <- err
	}
}

// refuseWithdrawn ends the wait of the requests whose keys a new configuration doesn't hold:
// they would keep the place of others and be refused when it is their turn. The caller holds
// mu.
func (g *Gateway) refuseWithdrawn(now time.Time) {
	version := g.Configuration.Version()
	if version == g.room.checkedVersion {
		return
	}
	g.room.checkedVersion = version
	for t, w := range g.room.waiters {
		if refused := w.q.recheckKey(now); refused != nil {
			g.room.keeper.Leave(w.q.group, t)
			g.endWait(t, &refusedError{refused})
		}
	}
}

// refuseWaiting ends the wait of all requests, as the gateway stops.
func (g *Gateway) refuseWaiting() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for t, w := range g.room.waiters {
		g.room.keeper.Leave(w.q.group, t)
		g.endWait(t, errStoppedWaiting)
	}
}

// roomRequest describes the request to the keeper. The caller holds the gateway's mu.
func (q *request) roomRequest(now time.Time) roomkeeper.Request {
	load := q.load()
	share := waitShare
	if q.promised {
		share = promisedWaitShare
	}
	maxWait := time.Duration(share * float64(q.route.Target))
	if q.possibleRuns == 0 {
		maxWait -= now.Sub(q.arrived)
	}
	if q.g.shutdown.Load() != nil {
		maxWait = 0
	}
	part := currantwood.PartID("")
	if n := len(q.client.SharedParts); n > 0 {
		part = q.client.SharedParts[n-1]
	}
	return roomkeeper.Request{
		Group: q.group, Customer: q.customer, Priority: q.priority, Part: part,
		MissedAt: q.arrived.Add(q.route.Target), Promised: q.promised, MustWait: q.possibleRuns > 0,
		MaxWait:   min(maxWait, q.deadline.Sub(now)),
		Work:      forecaster.Work{Requests: load.Requests, Memory: load.MemoryTokens},
		BodyBytes: int64(len(q.body)),
	}
}

// logAdmitted notes that the request was placed after it had waited.
func (q *request) logAdmitted(now time.Time, w *waiter, choice balancer.Choice) {
	q.g.instruments.queuedAdmitted.Inc(1)
	q.g.instruments.queueTime.Update(now.Sub(w.since).Microseconds())
	q.notePromise(true)
	q.log("generation admitted after waiting for room", zap.String("upstream", string(choice.View.ID)), zap.Duration("waited", now.Sub(w.since)), zap.Bool("redeems-promise", q.promised))
}

// offerFreed places a waiting request where one of this gateway has ended, unless the engine
// has failed: a crashed one would be sent all that waits before it is ejected. The caller
// holds mu.
func (g *Gateway) offerFreed(now time.Time, q *request, freed currantwood.UpstreamID, load balancer.Load, outcome balancer.Outcome) {
	if !g.Settings.QueueRequests || !q.isGeneration() {
		return
	}
	if outcome == balancer.Served {
		g.room.forecaster.Ended(q.group, now.Sub(q.pickedAt), load.MemoryTokens)
	}
	if outcome != balancer.Failed {
		g.room.keeper.OfferFreed(q.group, freed, &placer{g: g, now: now})
	}
}

// offerOverdue is offerUpdate if no loads of other gateways arrive: this one is alone or cut
// off, and engines may have become available meanwhile. The caller holds mu.
func (g *Gateway) offerOverdue(now time.Time) {
	if now.Sub(g.room.offeredAt) >= maxOfferInterval {
		g.offerUpdate(now)
	}
}

// offerUpdate places waiting requests by new loads of the other gateways. The caller holds
// mu.
func (g *Gateway) offerUpdate(now time.Time) {
	g.room.offeredAt = now
	groups := make(map[currantwood.GroupID]bool)
	for _, w := range g.room.waiters {
		groups[w.q.group] = true
	}
	for id := range groups {
		g.room.keeper.OfferUpdate(id, &placer{g: g, now: now})
	}
}
