package gateway

import (
	"encoding/binary"
	"hash/maphash"
	"math/rand"
	"net/http"
	"time"

	"github.com/pkg/errors"
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
	promisedWaitShare = 0.75
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

// errStoppedWaiting means that the gateway was told to stop while the request waited.
var errStoppedWaiting = errors.New("stopping while the request waited for room")

// errLeftWaiting means that the client has disconnected while its request waited.
var errLeftWaiting = errors.New("client disconnected while its request waited for room")

// errOvertaken means that more urgent requests need the memory of the waiting one.
var errOvertaken = errors.New(roomkeeper.Overtaken.String())

// refusedError is the refusal of a request for which an upstream was asked.
type refusedError struct{ response *gatewayResponse }

func (e *refusedError) Error() string { return e.response.reason }

// roomQueue holds the generations that wait for room. The gateway's mu guards it.
type roomQueue struct {
	keeper     *roomkeeper.Keeper
	forecaster *forecaster.Forecaster
	waiters    map[roomkeeper.Ticket]*waiter
	seed       maphash.Seed
	// offeredAt is when offerUpdate was called last.
	offeredAt time.Time
}

func newRoomQueue(memoryBytes int64, random *rand.Rand) *roomQueue {
	f := forecaster.New()
	return &roomQueue{
		keeper:     roomkeeper.New(int64(waitingShare*float64(memoryBytes)), f, random),
		forecaster: f,
		waiters:    make(map[roomkeeper.Ticket]*waiter),
		seed:       maphash.MakeSeed(),
	}
}

// waiter is a request that waits for an engine.
type waiter struct {
	q            *request
	stallTimeout time.Duration
	restrict     func(*balancer.Query)
	since        time.Time
	// choice is what placer.Fits found last.
	choice balancer.Choice
	// result receives nil once the request is placed at choice, or why it waits no longer;
	// exactly one value, unless the request stops waiting by itself.
	result chan error
}

// query returns the query for an engine as of now.
func (w *waiter) query(now time.Time) balancer.Query {
	query := w.q.query(now)
	w.restrict(&query)
	return query
}

// placer implements roomkeeper.Placer. The gateway's mu is held.
type placer struct {
	g   *Gateway
	now time.Time
}

// Fits implements roomkeeper.Placer.
func (p placer) Fits(t roomkeeper.Ticket, c roomkeeper.Choice) bool {
	w := p.g.room.waiters[t]
	query := w.query(p.now)
	query.Only = c.Only
	if c.Not != "" {
		query.Exclude = append(query.Exclude[:len(query.Exclude):len(query.Exclude)], c.Not)
	}
	choice, err := p.g.balancer.Pick(p.now, query)
	w.choice = choice
	return err == nil
}

// Place implements roomkeeper.Placer.
func (p placer) Place(t roomkeeper.Ticket) {
	w := p.g.room.waiters[t]
	w.q.started(p.now, w.choice, w.stallTimeout)
	delete(p.g.room.waiters, t)
	w.result <- nil
}

// Room implements roomkeeper.Placer.
func (p placer) Room(t roomkeeper.Ticket) forecaster.Room {
	return p.g.balancer.Room(p.now, p.g.room.waiters[t].query(p.now))
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

// pick makes one attempt to find room. waited is true if it was found by waiting.
func (w *waiter) pick(now time.Time) (choice balancer.Choice, waited bool, err error) {
	g, q := w.q.g, w.q
	g.mu.Lock()
	g.syncGroups(q.snapshot)
	if g.room.keeper.Waiting(q.group) == 0 || g.balancer.Room(now, w.query(now)).Engines == 0 {
		choice, err := q.pickNow(now, w.stallTimeout, w.restrict)
		var refused *balancer.RefusalError
		if err == nil || !errors.As(err, &refused) || !refused.Full {
			g.mu.Unlock()
			q.notePromise(err == nil)
			return choice, false, err
		}
	}
	r := q.roomRequest(now)
	room := g.balancer.Room(now, w.query(now))
	decision := g.room.keeper.Arrive(now, r, room)
	for _, t := range decision.Evicted {
		g.endWait(t, errOvertaken)
	}
	if decision.Reason != roomkeeper.Waits {
		g.mu.Unlock()
		return choice, false, q.refuseRoom(now, w, decision.Reason.String())
	}
	g.room.waiters[decision.Ticket] = w
	g.instruments.queued.Inc(1)
	g.room.keeper.OfferArrived(q.group, room, placer{g, now})
	g.mu.Unlock()
	if err := w.wait(decision.Ticket, r.MaxWait); err != nil {
		return choice, false, err
	}
	return w.choice, true, nil
}

// wait returns nil once the request is placed.
func (w *waiter) wait(t roomkeeper.Ticket, maxWait time.Duration) error {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case err := <-w.result:
		return w.ended(err)
	case <-timer.C:
	case <-w.q.r.Context().Done():
	}
	g := w.q.g
	g.mu.Lock()
	waits := g.room.keeper.Leave(w.q.group, t)
	delete(g.room.waiters, t)
	g.mu.Unlock()
	if !waits {
		return w.ended(<-w.result)
	}
	if w.q.clientDisconnected() {
		return errLeftWaiting
	}
	return w.q.refuseRoom(g.Now(), w, "no room in time")
}

// ended returns the error for the result of waiting.
func (w *waiter) ended(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, errStoppedWaiting):
		return &refusedError{&gatewayResponse{status: http.StatusServiceUnavailable, reason: err.Error(), retryAfter: otherGatewayRetryAfter, closeConnection: true}}
	default:
		return w.q.refuseRoom(w.q.g.Now(), w, err.Error())
	}
}

// endWait ends the wait of a request that the keeper holds no longer. The caller holds mu.
func (g *Gateway) endWait(t roomkeeper.Ticket, err error) {
	if w := g.room.waiters[t]; w != nil {
		delete(g.room.waiters, t)
		w.result <- err
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

// refuseRoom returns the refusal of a request that waits no longer, and records the promise
// to its client.
func (q *request) refuseRoom(now time.Time, w *waiter, reason string) error {
	key := q.promiseKey()
	q.g.mu.Lock()
	r := q.roomRequest(now)
	room := q.g.balancer.Room(now, w.query(now))
	forecast := q.g.room.keeper.Forecast(now, r, room)
	waiting, bytes := q.g.room.keeper.Total()
	promised := q.g.room.forecaster.Promised(now, q.group)
	retryAfter := min(maxRetryAfter, max(minRetryAfter, roomkeeper.RetryAfter(forecast)))
	if q.possibleRuns == 0 && forecast <= maxRetryAfter {
		q.g.room.forecaster.Promise(now, key, q.group, r.Work, retryAfter)
		q.g.instruments.promisesGiven.Inc(1)
	}
	q.g.mu.Unlock()
	q.g.instruments.refusedRoom.Inc(1)
	q.notePromise(false)
	q.log("no room for a generation", zap.String("reason", reason), zap.Duration("waited", now.Sub(w.since)), zap.Duration("forecast", forecast),
		zap.Int64("tokens", int64(r.Work.Memory)), zap.Int("engines", room.Engines), zap.Int("open", room.Open), zap.Int("free-slots", room.FreeSlots),
		zap.Int64("most-free", int64(room.RoomiestFree)), zap.Int("waiting", waiting), zap.Int64("waiting-bytes", bytes),
		zap.Int("promised", promised.Requests), zap.Int("gateways", room.Gateways), zap.Bool("redeems-promise", r.Promised))
	return &refusedError{&gatewayResponse{status: http.StatusServiceUnavailable, reason: reason, retryAfter: retryAfter}}
}

// promiseKey identifies the request when its client sends it again.
func (q *request) promiseKey() forecaster.Key {
	var h maphash.Hash
	h.SetSeed(q.g.room.seed)
	_, _ = h.WriteString(string(q.customer))
	_ = h.WriteByte(0)
	_, _ = h.WriteString(q.requestTarget())
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(q.body))))
	_, _ = h.Write(q.body[:min(hashedBytes, len(q.body))])
	_, _ = h.Write(q.body[max(0, len(q.body)-hashedBytes):])
	return forecaster.Key(h.Sum64())
}

// redeemPromise sets promised if the request is a retry at its promised time.
func (q *request) redeemPromise(now time.Time) {
	q.g.mu.Lock()
	promises := q.g.room.forecaster.HasPromises()
	q.g.mu.Unlock()
	if !promises || q.promised || len(q.attempted) > 0 {
		return
	}
	key := q.promiseKey()
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	q.promised = q.g.room.forecaster.Redeem(now, key)
}

// notePromise counts whether a promise was kept; a broken one is logged with the refusal.
func (q *request) notePromise(kept bool) {
	switch {
	case !q.promised || q.promiseNoted:
		return
	case kept:
		q.g.instruments.promisesKept.Inc(1)
	default:
		q.g.instruments.promisesBroken.Inc(1)
		q.log("promise of room broken", zap.String("customer", string(q.customer)), zap.String("group", string(q.group)))
	}
	q.promiseNoted = true
}

// logAdmitted notes that the request was placed after it had waited.
func (q *request) logAdmitted(now time.Time, w *waiter, choice balancer.Choice) {
	q.g.instruments.queuedAdmitted.Inc(1)
	q.g.instruments.queueTime.Update(now.Sub(w.since).Microseconds())
	q.notePromise(true)
	q.log("generation admitted after waiting for room", zap.String("upstream", string(choice.View.ID)), zap.Duration("waited", now.Sub(w.since)), zap.Bool("redeems-promise", q.promised))
}

// offerFreed places a waiting request where one of this gateway has ended. The caller holds
// mu.
func (g *Gateway) offerFreed(now time.Time, q *request, freed currantwood.UpstreamID, load balancer.Load, outcome balancer.Outcome) {
	if !g.Settings.QueueRequests || !q.isGeneration() {
		return
	}
	if outcome == balancer.Served {
		g.room.forecaster.Ended(q.group, now.Sub(q.pickedAt), load.MemoryTokens)
	}
	g.room.keeper.OfferFreed(q.group, freed, placer{g, now})
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
		g.room.keeper.OfferUpdate(id, placer{g, now})
	}
}
