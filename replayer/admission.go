package replayer

import (
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/gatekeeper"
)

// admission decides when requests start on one engine. The actions must be carried
// out in order.
type admission interface {
	// offer submits a new request.
	offer(now time.Time, demand currantwood.Demand) []gatekeeper.Action
	// token records that the engine has produced a token.
	token(now time.Time, id currantwood.RequestID, index currantwood.TokenIndex) []gatekeeper.Action
	// finished records that a response is complete.
	finished(now time.Time, id currantwood.RequestID) []gatekeeper.Action
	// cancel records that a request ended before its response was complete.
	cancel(now time.Time, id currantwood.RequestID) []gatekeeper.Action
	// tick returns the actions that are due, among them the refusal of requests that
	// have waited too long. It is called every tickInterval.
	tick(now time.Time) []gatekeeper.Action
	// reportedLoad returns the load that the side reports.
	reportedLoad(now time.Time) sideLoad
}

// sideLoad is the load that a side reports.
type sideLoad struct {
	// headroom is the engine memory that is free for new requests; 0 unless the
	// admission is a gatekeeperAdmission.
	headroom currantwood.TokenCount
	// queued is the number of requests that wait at the side.
	queued int
	// predictedTTFT is the predicted time to first token, including the wait in the
	// queue; 0 unless the admission is a gatekeeperAdmission.
	predictedTTFT time.Duration
}

// unlimitedAdmission sends every request to the engine at once, where it may wait in
// the engine's own queue.
type unlimitedAdmission struct{}

func (unlimitedAdmission) offer(_ time.Time, demand currantwood.Demand) []gatekeeper.Action {
	return []gatekeeper.Action{{Kind: gatekeeper.ActionStart, Request: demand.Request}}
}

func (unlimitedAdmission) token(time.Time, currantwood.RequestID, currantwood.TokenIndex) []gatekeeper.Action {
	return nil
}
func (unlimitedAdmission) finished(time.Time, currantwood.RequestID) []gatekeeper.Action { return nil }
func (unlimitedAdmission) cancel(time.Time, currantwood.RequestID) []gatekeeper.Action   { return nil }
func (unlimitedAdmission) tick(time.Time) []gatekeeper.Action                            { return nil }
func (unlimitedAdmission) reportedLoad(time.Time) sideLoad                               { return sideLoad{} }

// streamCountAdmission limits the number of requests at the engine, checks included.
// The other requests wait in a FIFO queue.
type streamCountAdmission struct {
	limit   int
	running map[currantwood.RequestID]bool
	queue   []queuedRequest
}

// queuedRequest is a request in the queue of a streamCountAdmission.
type queuedRequest struct {
	id       currantwood.RequestID
	queuedAt time.Time
}

// maxQueueWait is how long a request may wait in a streamCountAdmission before it is
// refused. It equals MaxWait of gatekeeper.DefaultOptions.
const maxQueueWait = 300 * time.Millisecond

func newStreamCountLimit(limit int) *streamCountAdmission {
	return &streamCountAdmission{limit: limit, running: map[currantwood.RequestID]bool{}}
}

func (a *streamCountAdmission) offer(now time.Time, demand currantwood.Demand) []gatekeeper.Action {
	a.queue = append(a.queue, queuedRequest{id: demand.Request, queuedAt: now})
	return a.startQueued()
}

// startQueued starts queued requests while fewer than limit are running.
func (a *streamCountAdmission) startQueued() (actions []gatekeeper.Action) {
	for len(a.queue) > 0 && len(a.running) < a.limit {
		id := a.queue[0].id
		a.queue = a.queue[1:]
		a.running[id] = true
		actions = append(actions, gatekeeper.Action{Kind: gatekeeper.ActionStart, Request: id})
	}
	return actions
}

func (a *streamCountAdmission) token(time.Time, currantwood.RequestID, currantwood.TokenIndex) []gatekeeper.Action {
	return nil
}

func (a *streamCountAdmission) finished(now time.Time, id currantwood.RequestID) []gatekeeper.Action {
	return a.cancel(now, id)
}

func (a *streamCountAdmission) cancel(_ time.Time, id currantwood.RequestID) []gatekeeper.Action {
	delete(a.running, id)
	for i, queued := range a.queue {
		if queued.id == id {
			a.queue = append(a.queue[:i], a.queue[i+1:]...)
			break
		}
	}
	return a.startQueued()
}

func (a *streamCountAdmission) tick(now time.Time) (actions []gatekeeper.Action) {
	for len(a.queue) > 0 && now.Sub(a.queue[0].queuedAt) >= maxQueueWait {
		refusal := currantwood.NewRefusal(currantwood.KindNoCapacity, "count", "the number of streams is used up", defaultRetryAfter)
		actions = append(actions, gatekeeper.Action{Kind: gatekeeper.ActionRefuse, Request: a.queue[0].id, Refusal: refusal})
		a.queue = a.queue[1:]
	}
	return append(actions, a.startQueued()...)
}

func (a *streamCountAdmission) reportedLoad(time.Time) sideLoad {
	return sideLoad{queued: len(a.queue)}
}

// gatekeeperAdmission adapts a gatekeeper to admission.
type gatekeeperAdmission struct{ gatekeeper *gatekeeper.Gatekeeper }

func (a gatekeeperAdmission) offer(now time.Time, demand currantwood.Demand) []gatekeeper.Action {
	return a.gatekeeper.Offer(now, demand)
}

func (a gatekeeperAdmission) token(now time.Time, id currantwood.RequestID, index currantwood.TokenIndex) []gatekeeper.Action {
	return a.gatekeeper.Token(now, id, index)
}

func (a gatekeeperAdmission) finished(now time.Time, id currantwood.RequestID) []gatekeeper.Action {
	return a.gatekeeper.Finished(now, id)
}

func (a gatekeeperAdmission) cancel(now time.Time, id currantwood.RequestID) []gatekeeper.Action {
	return a.gatekeeper.Aborted(now, id)
}

func (a gatekeeperAdmission) tick(now time.Time) []gatekeeper.Action { return a.gatekeeper.Tick(now) }

func (a gatekeeperAdmission) reportedLoad(now time.Time) sideLoad {
	return sideLoad{headroom: a.gatekeeper.Headroom(now), queued: a.gatekeeper.Queued(), predictedTTFT: a.gatekeeper.PredictedWait(now)}
}
