package gateway

import (
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/balancer"
	"github.com/currantwood/currantwood/capacity/forecaster"
	"github.com/currantwood/currantwood/capacity/roomkeeper"
)

// errStoppedWaiting means that the gateway was told to stop while the request waited.
var errStoppedWaiting = errors.New("stopping while the request waited for room")

// errLeftWaiting means that the client has disconnected while its request waited.
var errLeftWaiting = errors.New("client disconnected while its request waited for room")

// errOvertaken means that more urgent requests need the memory of the waiting one.
var errOvertaken = errors.New(roomkeeper.Overtaken.String())

// refusedError carries the complete response to a request that is refused while an upstream
// is picked for it.
type refusedError struct{ response *gatewayResponse }

func (e *refusedError) Error() string { return e.response.reason }

// waiter is a request for which an engine is looked for.
type waiter struct {
	q            *request
	stallTimeout time.Duration
	restrict     func(*balancer.Query)
	since        time.Time
	// choice is what placer.Fits found last.
	choice balancer.Choice
	// counted is whether the balancer has counted the request in the demand.
	counted bool
	// result receives nil once the request is placed at choice, or why it waits no longer;
	// exactly one value, unless the request stops waiting by itself.
	result chan error
}

// query returns what an engine is looked for by now.
func (w *waiter) query(now time.Time) balancer.Query {
	query := w.q.query(now)
	w.narrow(&query)
	return query
}

// pick makes one attempt to find room. waited is true if it was found by waiting.
func (w *waiter) pick(now time.Time) (choice balancer.Choice, waited bool, err error) {
	g, q := w.q.g, w.q
	g.mu.Lock()
	g.syncGroups(q.snapshot)
	choice, full, err := w.tryNow(now)
	if full == nil {
		g.mu.Unlock()
		q.notePromise(err == nil)
		return choice, false, err
	}
	decision := w.enqueue(now, *full)
	g.mu.Unlock()
	if decision.Reason != roomkeeper.Waits {
		return choice, false, q.refuseRoom(now, w, decision.Reason.String())
	}
	if err := w.wait(decision.Ticket, full.request.MaxWait); err != nil {
		return choice, false, err
	}
	return w.choice, true, nil
}

// fullEngines is what is known when no engine has room for a request now, but one may have
// soon.
type fullEngines struct {
	request roomkeeper.Request
	room    forecaster.Room
}

// tryNow picks an engine without waiting. If none has room now, but waiting may help, the
// second result isn't nil. The caller holds mu.
func (w *waiter) tryNow(now time.Time) (balancer.Choice, *fullEngines, error) {
	g, q := w.q.g, w.q
	var fullError error
	// Requests that wait already go first. If no engine may take this one at all, waiting
	// can't help, and pickNow returns the reason.
	if g.room.keeper.Waiting(q.group) == 0 || g.balancer.Room(now, w.query(now)).Engines == 0 {
		choice, err := w.pickNow(now, "")
		var refused *balancer.RefusalError
		if err == nil || !errors.As(err, &refused) || !refused.Full {
			return choice, nil, err
		}
		fullError = err
	}
	full := &fullEngines{request: q.roomRequest(now), room: g.balancer.Room(now, w.query(now))}
	if fullError != nil && full.room.Engines == 0 && !full.request.Promised && !full.request.MustWait {
		// All engines that may have room are cold. The forecast doesn't know them and would
		// be the longest, but the refusal has the time at which one accepts a request.
		return balancer.Choice{}, nil, fullError
	}
	if choice, passed := w.pass(now, full.request, full.room); passed {
		return choice, nil, nil
	}
	return balancer.Choice{}, full, nil
}

// enqueue adds the request to those that wait, unless the keeper refuses it. The caller holds
// mu.
func (w *waiter) enqueue(now time.Time, full fullEngines) roomkeeper.Decision {
	g := w.q.g
	decision := g.room.keeper.Arrive(now, full.request, full.room)
	for _, t := range decision.Evicted {
		g.endWait(t, errOvertaken)
	}
	if decision.Reason == roomkeeper.Waits {
		g.room.waiters[decision.Ticket] = w
		g.instruments.queued.Inc(1)
		g.room.keeper.OfferArrived(full.request.Group, full.room, &placer{g: g, now: now})
	}
	return decision
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
	var refused *refusedError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &refused):
		return err
	case errors.Is(err, errStoppedWaiting):
		return &refusedError{&gatewayResponse{status: http.StatusServiceUnavailable, reason: err.Error(), retryAfter: otherGatewayRetryAfter, closeConnection: true}}
	default:
		return w.q.refuseRoom(w.q.g.Now(), w, err.Error())
	}
}

// narrow completes what the balancer is asked for.
func (w *waiter) narrow(query *balancer.Query) {
	w.restrict(query)
	query.Counted = w.counted
}

// pickNow makes an attempt by the present loads. The caller holds the gateway's mu.
func (w *waiter) pickNow(now time.Time, not currantwood.UpstreamID) (balancer.Choice, error) {
	choice, err := w.q.pickNow(now, w.stallTimeout, func(query *balancer.Query) {
		w.narrow(query)
		query.Exclude = without(query.Exclude, not)
	})
	w.counted = true
	return choice, err
}

// pass picks an engine at once although others wait, if no engine has room for any that goes
// before this request. The caller holds mu.
func (w *waiter) pass(now time.Time, r roomkeeper.Request, room forecaster.Room) (balancer.Choice, bool) {
	g := w.q.g
	if room.Open == 0 || g.room.keeper.Waiting(r.Group) == 0 {
		return balancer.Choice{}, false
	}
	not, may := g.room.keeper.MayPass(r, &placer{g: g, now: now})
	if !may {
		return balancer.Choice{}, false
	}
	choice, err := w.pickNow(now, not)
	if err != nil {
		return balancer.Choice{}, false
	}
	g.room.keeper.Passed(r)
	return choice, true
}

// without returns the excluded upstreams and another one, which may be empty. It leaves the
// list as it is, as requests share it.
func without(excluded []currantwood.UpstreamID, id currantwood.UpstreamID) []currantwood.UpstreamID {
	if id == "" {
		return excluded
	}
	return append(slices.Clip(excluded), id)
}
