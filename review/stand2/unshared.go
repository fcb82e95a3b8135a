package main

import (
	"sync"
	"time"
)

const (
	// lingerTime is how long a worker goes on serving beyond drainMs.
	lingerTime = 1500 * time.Millisecond
	// planEvents and planInterval describe the streams: each lasts 6 s.
	planEvents   = 120
	planInterval = 50 * time.Millisecond
)

var planRoutes = []route{{prefix: "/plan/", kind: "streaming", service: "writers", attempts: 1}}

// playUnshared cuts one gateway, which reads the list of workers for the others, from the
// store. Before another one takes over, a model worker reports draining. The one that takes over
// has heard it from the worker's own report by then.
func playUnshared(w *world, trouble bool) bool {
	w.publish(planRoutes, "key-1")
	for _, id := range []string{"i-writer-1", "i-writer-2", "i-writer-3", "i-writer-4"} {
		w.startWorker(workerOptions{id: id, service: "writers", zone: "kingston-a", version: "v1", slots: 24, events: planEvents, interval: planInterval})
	}
	gateways := w.addGateways(gatewayIPs(4))
	for _, g := range gateways {
		g.start(true)
	}
	w.awaitReady(gateways...)
	time.Sleep(contactTime + time.Second)
	early := w.openStreams(12, gateways[1])
	time.Sleep(time.Second)
	leaver := w.workers[0]
	if trouble {
		gateways[0].store.cut.Store(true)
		w.note("%s is cut from the store", gateways[0].name)
	}
	time.Sleep(900 * time.Millisecond)
	leaver.drain()
	acknowledged := time.Now()
	w.note("the store has acknowledged the entry of %s with state draining", leaver.options.id)
	time.Sleep(drainTime + 100*time.Millisecond)
	late := w.openStreams(24, gateways[2], gateways[3])
	time.Sleep(time.Until(acknowledged.Add(drainTime + lingerTime)))
	leaver.end(true)
	w.note("%s has ended", leaver.options.id)
	gateways[0].store.cut.Store(false)
	w.note("%s reaches the store again", gateways[0].name)
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
