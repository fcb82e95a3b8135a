package replayer

import (
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/gatekeeper"
)

// gate is the admission to one engine.
type gate interface {
	offer(now time.Time, demand currantwood.Demand) []gatekeeper.Action
	token(now time.Time, id currantwood.RequestID, index currantwood.TokenIndex) []gatekeeper.Action
	finished(now time.Time, id currantwood.RequestID) []gatekeeper.Action
	cancel(now time.Time, id currantwood.RequestID) []gatekeeper.Action
	tick(now time.Time) []gatekeeper.Action
	// view is what the side reports of itself.
	view(now time.Time) view
}

// view is a side's report.
type view struct {
	headroom currantwood.TokenCount
	queued   int
	wait     time.Duration
}

// openGate starts everything at once and leaves the rest to the engine.
type openGate struct{}

func (openGate) offer(_ time.Time, demand currantwood.Demand) []gatekeeper.Action {
	return []gatekeeper.Action{{Kind: gatekeeper.ActionStart, Request: demand.Request}}
}

func (openGate) token(time.Time, currantwood.RequestID, currantwood.TokenIndex) []gatekeeper.Action {
	return nil
}
func (openGate) finished(time.Time, currantwood.RequestID) []gatekeeper.Action { return nil }
func (openGate) cancel(time.Time, currantwood.RequestID) []gatekeeper.Action   { return nil }
func (openGate) tick(time.Time) []gatekeeper.Action                            { return nil }
func (openGate) view(time.Time) view                                           { return view{} }

// countGate admits by the number of streams and queues the rest in order.
type countGate struct {
	limit   int
	running map[currantwood.RequestID]bool
	queue   []waiting
}

// waiting is one request in a countGate's queue.
type waiting struct {
	id    currantwood.RequestID
	since time.Time
}

// countGateWait is how long a countGate lets a request wait.
const countGateWait = 300 * time.Millisecond

func newCountGate(limit int) *countGate {
	return &countGate{limit: limit, running: map[currantwood.RequestID]bool{}}
}

func (g *countGate) offer(now time.Time, demand currantwood.Demand) []gatekeeper.Action {
	g.queue = append(g.queue, waiting{id: demand.Request, since: now})
	return g.fill()
}

func (g *countGate) fill() (actions []gatekeeper.Action) {
	for len(g.queue) > 0 && len(g.running) < g.limit {
		id := g.queue[0].id
		g.queue = g.queue[1:]
		g.running[id] = true
		actions = append(actions, gatekeeper.Action{Kind: gatekeeper.ActionStart, Request: id})
	}
	return actions
}

func (g *countGate) token(time.Time, currantwood.RequestID, currantwood.TokenIndex) []gatekeeper.Action {
	return nil
}

func (g *countGate) finished(now time.Time, id currantwood.RequestID) []gatekeeper.Action {
	return g.cancel(now, id)
}

func (g *countGate) cancel(_ time.Time, id currantwood.RequestID) []gatekeeper.Action {
	delete(g.running, id)
	for i, w := range g.queue {
		if w.id == id {
			g.queue = append(g.queue[:i], g.queue[i+1:]...)
			break
		}
	}
	return g.fill()
}

func (g *countGate) tick(now time.Time) (actions []gatekeeper.Action) {
	for len(g.queue) > 0 && now.Sub(g.queue[0].since) >= countGateWait {
		refusal := currantwood.NewRefusal(currantwood.KindNoCapacity, "count", "the number of streams is used up", usualRetryAfter)
		actions = append(actions, gatekeeper.Action{Kind: gatekeeper.ActionRefuse, Request: g.queue[0].id, Refusal: refusal})
		g.queue = g.queue[1:]
	}
	return append(actions, g.fill()...)
}

func (g *countGate) view(time.Time) view { return view{queued: len(g.queue)} }

// keeperGate is the gatekeeper itself.
type keeperGate struct{ keeper *gatekeeper.Gatekeeper }

func (g keeperGate) offer(now time.Time, demand currantwood.Demand) []gatekeeper.Action {
	return g.keeper.Offer(now, demand)
}

func (g keeperGate) token(now time.Time, id currantwood.RequestID, index currantwood.TokenIndex) []gatekeeper.Action {
	return g.keeper.Token(now, id, index)
}

func (g keeperGate) finished(now time.Time, id currantwood.RequestID) []gatekeeper.Action {
	return g.keeper.Finished(now, id)
}

func (g keeperGate) cancel(now time.Time, id currantwood.RequestID) []gatekeeper.Action {
	return g.keeper.Cancel(now, id)
}

func (g keeperGate) tick(now time.Time) []gatekeeper.Action { return g.keeper.Tick(now) }

func (g keeperGate) view(now time.Time) view {
	return view{headroom: g.keeper.Headroom(now), queued: g.keeper.Queued(), wait: g.keeper.PredictedWait(now)}
}
