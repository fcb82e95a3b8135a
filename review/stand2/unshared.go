package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// lingerTime is how long a worker goes on serving beyond drainMs.
	lingerTime = 1500 * time.Millisecond
	// planEvents and planInterval describe the streams: each lasts 6 s.
	planEvents   = 120
	planInterval = 50 * time.Millisecond
	// unsharedRounds bounds the rounds, so that the case ends within 120 s.
	unsharedRounds = 5
)

var planRoutes = []route{{prefix: "/plan/", kind: "streaming", service: "writers", attempts: 1}}

// playUnshared cuts one gateway, which reads the list of workers for the others, from the
// store. Before another one takes over, a model worker reports draining. The one that takes over
// has heard it from the worker's own report by then. It depends on which of two messages is first
// whether the others read the record themselves, so this is played up to unsharedRounds times.
func playUnshared(w *world, trouble bool) bool {
	w.publish(planRoutes, "key-1")
	for range 4 {
		w.startWriter()
	}
	gateways := w.addGateways(gatewayIPs(4))
	for _, g := range gateways {
		g.start(true)
	}
	w.awaitReady(gateways...)
	for round := range unsharedRounds {
		w.note("round %d", round+1)
		if w.playUnsharedRound(gateways, w.workers[round], trouble) {
			return true
		}
		w.startWriter()
	}
	return false
}

// startWriter starts a model worker with a new id.
func (w *world) startWriter() {
	id := fmt.Sprintf("i-writer-%d", len(w.workers)+1)
	w.startWorker(workerOptions{id: id, service: "writers", zone: "kingston-a", version: "v1", slots: 24, events: planEvents, interval: planInterval})
}

// playUnsharedRound reports whether requests reached a worker too late after it had reported
// draining.
func (w *world) playUnsharedRound(gateways []*gateway, leaver *worker, trouble bool) bool {
	reader := gateways[0]
	time.Sleep(contactTime + time.Second)
	early := w.openStreams(12, gateways[1])
	time.Sleep(time.Second)
	if trouble {
		reader.store.cut.Store(true)
		w.note("%s is cut from the store", reader.name)
	}
	time.Sleep(300 * time.Millisecond)
	leaver.drain()
	acknowledged := time.Now()
	w.note("the store has acknowledged the entry of %s with state draining", leaver.options.id)
	time.Sleep(drainTime + 100*time.Millisecond)
	late := w.openStreams(24, gateways[2], gateways[3])
	time.Sleep(time.Until(acknowledged.Add(drainTime + lingerTime)))
	leaver.end(true)
	w.note("%s has ended", leaver.options.id)
	reader.store.cut.Store(false)
	w.note("%s reaches the store again", reader.name)
	answers := append(early(), late()...)
	return w.judgeDrain(leaver, answers, acknowledged)
}

// openStreams sends requests for streams at once, to each of the gateways in turn. The function
// that it returns waits for their ends.
func (w *world) openStreams(count int, gateways ...*gateway) func() []answer {
	return w.openPath("/plan/1", count, gateways...)
}

// openPath is openStreams for a path.
func (w *world) openPath(path string, count int, gateways ...*gateway) func() []answer {
	answers := make([]answer, count)
	var done sync.WaitGroup
	for i := range answers {
		done.Go(func() { answers[i] = w.send(gateways[i%len(gateways)], "POST", path, "key-1", "a plan") })
	}
	return func() []answer {
		done.Wait()
		return answers
	}
}
