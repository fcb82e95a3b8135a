package main

import (
	"strings"
	"time"

	"github.com/currantwood/currantwood/platform/standin/store"
)

const (
	// checkStreams is the number of streams, and allowedJoins that of joined ones that the rule
	// lets pass.
	checkStreams = 72
	allowedJoins = 2
)

var checkRoutes = []route{{prefix: "/check/", kind: "streaming", service: "pages", attempts: 2, resumes: true}}

// playInPlace updates a worker of a service without engines in place, while the store is down,
// and lets it crash while it writes streams that may be resumed.
func playInPlace(w *world, trouble bool) bool {
	w.publish(checkRoutes, "key-1")
	for _, id := range []string{"i-pages-1", "i-pages-2", "i-pages-3", "i-pages-4", "i-pages-5", "i-pages-6"} {
		w.startWorker(workerOptions{id: id, service: "pages", zone: "kingston-a", version: "v1", slots: 24, events: 14, interval: 100 * time.Millisecond})
	}
	gateways := w.addGateways(gatewayIPs(2))
	for _, g := range gateways {
		g.start(true)
	}
	w.awaitReady(gateways...)
	time.Sleep(2 * time.Second)
	updated := w.workers[0]
	if trouble {
		w.store.SetFault(store.RespondUnavailable)
		w.note("the store answers 503")
		time.Sleep(500 * time.Millisecond)
	}
	updated.update("v2", !trouble)
	time.Sleep(700 * time.Millisecond)
	streams := w.openPath("/check/1", checkStreams, gateways...)
	time.Sleep(700 * time.Millisecond)
	updated.end(false)
	w.note("%s has crashed", updated.options.id)
	answers := streams()
	w.store.SetFault(store.NoFault)
	w.note("the store answers")
	w.summarize(answers)
	joined := 0
	for _, a := range answers {
		if strings.Contains(a.body, "data: v1 ") && strings.Contains(a.body, "data: v2 ") {
			joined++
			w.noteAt(a.sentAt, "client: %v: the answer holds events of v1 and of v2, %d in all", a, strings.Count(a.body, "data: "))
		}
	}
	w.note("streams joined from two versions: %d of %d", joined, len(answers))
	return joined > allowedJoins
}

// update starts the worker again under its id and address with another version of its software.
// It can't write its entry while the store is down.
func (k *worker) update(version string, writes bool) {
	k.end(false)
	time.Sleep(300 * time.Millisecond)
	k.mu.Lock()
	k.options.version = version
	k.unwritten = !writes
	k.mu.Unlock()
	k.start(time.Now().UnixMilli())
	k.world.note("%s runs again, as version %s", k.options.id, version)
}
