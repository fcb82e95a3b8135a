package gatekeeper

import (
	"time"

	"github.com/currantwood/currantwood"
)

// resume lets paused requests run on, then starts queued ones.
func (g *Gatekeeper) resume(now time.Time) []Action {
	var actions []Action
	for len(g.paused) > 0 {
		r := g.nextPaused()
		if !g.fits(now, r) {
			break
		}
		g.paused = remove(g.paused, r)
		g.run(r)
		actions = append(actions, Action{Kind: ActionUnpause, Request: r.demand.Request})
	}
	return append(actions, g.dispatch(now)...)
}

// nextPaused returns the paused request that is to run on first.
func (g *Gatekeeper) nextPaused() *request {
	first := g.paused[0]
	for _, r := range g.paused[1:] {
		if r.demand.Priority > first.demand.Priority {
			first = r
		}
	}
	return first
}

// dispatch starts queued requests in order while they fit. While a request is
// paused only checks are started.
func (g *Gatekeeper) dispatch(now time.Time) []Action {
	var actions []Action
	for {
		r := g.nextQueued()
		if r == nil || !g.fits(now, r) {
			return actions
		}
		g.queue = remove(g.queue, r)
		g.run(r)
		g.served.add(r)
		actions = append(actions, Action{Kind: ActionStart, Request: r.demand.Request})
	}
}

func (g *Gatekeeper) nextQueued() *request {
	var first *request
	for _, r := range g.queue {
		if len(g.paused) > 0 && !r.isCheck() {
			continue
		}
		if first == nil || g.goesBefore(r, first) {
			first = r
		}
	}
	return first
}

// goesBefore orders the queue: checks, then promised ones, then by priority,
// then the customer that was served least for its weight, then by arrival.
func (g *Gatekeeper) goesBefore(a, b *request) bool {
	if a.isCheck() != b.isCheck() {
		return a.isCheck()
	}
	if a.demand.Promised != b.demand.Promised {
		return a.demand.Promised
	}
	if a.demand.Priority != b.demand.Priority {
		return a.demand.Priority > b.demand.Priority
	}
	servedA, servedB := g.served.of(a), g.served.of(b)
	if servedA != servedB {
		return servedA < servedB
	}
	return a.order < b.order
}

// run counts a request among the running ones.
func (g *Gatekeeper) run(r *request) {
	r.state = stateRunning
	r.seen = time.Time{}
	g.running = append(g.running, r)
	g.used += r.context()
	if r.produced == 0 {
		g.prefill += r.demand.PromptTokens
	}
	g.forecast.add(r)
}

// forget removes a request wherever it stands.
func (g *Gatekeeper) forget(r *request) {
	switch r.state {
	case stateQueued:
		g.queue = remove(g.queue, r)
	case stateRunning:
		g.leave(r)
	case statePaused:
		g.paused = remove(g.paused, r)
	}
	delete(g.requests, r.demand.Request)
}

// leave takes a request from the running ones.
func (g *Gatekeeper) leave(r *request) {
	g.running = remove(g.running, r)
	g.used -= r.context()
	if r.produced == 0 {
		g.prefill -= r.demand.PromptTokens
	}
	g.stale = true
}

// pauseMargin is how many steps before memory is full a victim is paused,
// since the order takes time to reach the engine.
const pauseMargin = 2

// isFull reports whether the engine is about to preempt a stream by itself.
func (g *Gatekeeper) isFull() bool {
	growth := currantwood.TokenCount(len(g.running) * pauseMargin)
	return len(g.running) > 1 && g.used+growth > g.available()
}

// relieve pauses victims until memory is no longer about to fill.
func (g *Gatekeeper) relieve() []Action {
	var actions []Action
	for g.isFull() {
		r := g.victim()
		g.leave(r)
		r.state = statePaused
		r.pauses++
		g.paused = append(g.paused, r)
		actions = append(actions, Action{Kind: ActionPause, Request: r.demand.Request})
	}
	return actions
}

// victim returns the running request of the lowest priority whose pause loses
// the least work. One that was a victim before is spared.
func (g *Gatekeeper) victim() *request {
	chosen := g.running[0]
	for _, r := range g.running[1:] {
		if losesLess(r, chosen) {
			chosen = r
		}
	}
	return chosen
}

func losesLess(a, b *request) bool {
	if a.isCheck() != b.isCheck() {
		return b.isCheck()
	}
	if a.demand.Priority != b.demand.Priority {
		return a.demand.Priority < b.demand.Priority
	}
	if a.pauses != b.pauses {
		return a.pauses < b.pauses
	}
	return a.context() < b.context()
}

func remove(from []*request, r *request) []*request {
	for i, other := range from {
		if other == r {
			return append(from[:i], from[i+1:]...)
		}
	}
	return from
}
