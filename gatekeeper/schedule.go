package gatekeeper

import (
	"time"

	"github.com/currantwood/currantwood"
)

// unpauseAndDispatch unpauses requests while they fit, then starts queued ones
// that fit.
func (g *Gatekeeper) unpauseAndDispatch(now time.Time) []Action {
	var actions []Action
	for len(g.paused) > 0 {
		r := g.nextPaused()
		if !g.fits(now, r) {
			break
		}
		g.paused = remove(g.paused, r)
		g.addRunning(r)
		actions = append(actions, Action{Kind: ActionUnpause, Request: r.demand.Request})
	}
	return append(actions, g.dispatch(now)...)
}

// nextPaused returns the paused request to unpause first: by priority, then by
// the time at which it was paused.
func (g *Gatekeeper) nextPaused() *request {
	first := g.paused[0]
	for _, r := range g.paused[1:] {
		if r.demand.Priority > first.demand.Priority {
			first = r
		}
	}
	return first
}

// dispatch starts queued requests in the order of startsBefore while they fit.
// While any request is paused, it starts only checks.
func (g *Gatekeeper) dispatch(now time.Time) []Action {
	var actions []Action
	for {
		r := g.nextQueued()
		if r == nil || !g.fits(now, r) {
			return actions
		}
		g.queue = remove(g.queue, r)
		g.addRunning(r)
		g.fairQueue.add(r)
		actions = append(actions, Action{Kind: ActionStart, Request: r.demand.Request})
	}
}

// nextQueued returns the queued request to start next, or nil.
func (g *Gatekeeper) nextQueued() *request {
	var first *request
	for _, r := range g.queue {
		if len(g.paused) > 0 && !r.isCheck() {
			continue
		}
		if first == nil || g.startsBefore(r, first) {
			first = r
		}
	}
	return first
}

// startsBefore orders the queue: checks first, then promised requests (see
// Demand.Promised), then by priority, then the customer with the lowest start
// tag, then by arrival.
func (g *Gatekeeper) startsBefore(a, b *request) bool {
	if a.isCheck() != b.isCheck() {
		return a.isCheck()
	}
	if a.demand.Promised != b.demand.Promised {
		return a.demand.Promised
	}
	if a.demand.Priority != b.demand.Priority {
		return a.demand.Priority > b.demand.Priority
	}
	startA, startB := g.fairQueue.startTag(a), g.fairQueue.startTag(b)
	if startA != startB {
		return startA < startB
	}
	return a.arrivalNumber < b.arrivalNumber
}

// addRunning adds a request to the running ones.
func (g *Gatekeeper) addRunning(r *request) {
	r.state = stateRunning
	r.lastTokenAt = time.Time{}
	g.running = append(g.running, r)
	g.usedTokens += r.context()
	if r.produced == 0 {
		g.prefillTokens += r.demand.PromptTokens
	}
	g.forecast.add(r)
}

// removeRequest removes a request in any state.
func (g *Gatekeeper) removeRequest(r *request) {
	switch r.state {
	case stateQueued:
		g.queue = remove(g.queue, r)
	case stateRunning:
		g.removeRunning(r)
	case statePaused:
		g.paused = remove(g.paused, r)
	}
	delete(g.requests, r.demand.Request)
}

// removeRunning removes a request from the running ones.
func (g *Gatekeeper) removeRunning(r *request) {
	g.running = remove(g.running, r)
	g.usedTokens -= r.context()
	if r.produced == 0 {
		g.prefillTokens -= r.demand.PromptTokens
	}
	g.forecastStale = true
}

// pauseMarginSteps is the number of steps before memory is full at which a
// stream is paused, since the pause takes time to reach the engine.
const pauseMarginSteps = 2

// isNearlyFull reports whether the engine would preempt a stream within
// pauseMarginSteps.
func (g *Gatekeeper) isNearlyFull() bool {
	growth := currantwood.TokenCount(len(g.running) * pauseMarginSteps)
	return len(g.running) > 1 && g.usedTokens+growth > g.availableTokens()
}

// pauseVictims pauses requests until memory is no longer nearly full.
func (g *Gatekeeper) pauseVictims() []Action {
	var actions []Action
	for g.isNearlyFull() {
		r := g.victim()
		g.removeRunning(r)
		r.state = statePaused
		r.pauseCount++
		g.paused = append(g.paused, r)
		actions = append(actions, Action{Kind: ActionPause, Request: r.demand.Request})
	}
	return actions
}

// victim returns the running request to pause.
func (g *Gatekeeper) victim() *request {
	chosen := g.running[0]
	for _, r := range g.running[1:] {
		if isBetterVictim(r, chosen) {
			chosen = r
		}
	}
	return chosen
}

// isBetterVictim reports whether a should be paused rather than b. Checks are
// paused last, then the lowest priority first, then requests that were paused
// less often, then those with the smallest context, since they lose the least
// work.
func isBetterVictim(a, b *request) bool {
	if a.isCheck() != b.isCheck() {
		return b.isCheck()
	}
	if a.demand.Priority != b.demand.Priority {
		return a.demand.Priority < b.demand.Priority
	}
	if a.pauseCount != b.pauseCount {
		return a.pauseCount < b.pauseCount
	}
	return a.context() < b.context()
}

func remove(requests []*request, r *request) []*request {
	for i, other := range requests {
		if other == r {
			return append(requests[:i], requests[i+1:]...)
		}
	}
	return requests
}
