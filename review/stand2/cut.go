package main

import (
	"fmt"
	"strconv"
	"time"
)

// playCut cuts one gateway, which reads the list of workers for the others, from the store.
// Meanwhile a worker leaves without reporting draining: its entry is removed, and it goes
// on serving for drainMs and a little longer.
func playCut(w *world, trouble bool) bool {
	w.publish(deskRoutes, "key-1")
	var workers []*worker
	for range 3 {
		workers = append(workers, w.startDesk(60*time.Millisecond))
	}
	gateways := w.addGateways(gatewayIPs(4))
	reader := gateways[0]
	for _, g := range gateways {
		g.start(true)
	}
	w.awaitReady(gateways...)
	leaver, calm := workers[0], gateways[1:]
	bookings := w.startTraffic(10*time.Millisecond, "POST", "/book/1", "key-1", calm...)
	time.Sleep(contactTime + time.Second)
	if trouble {
		reader.store.cut.Store(true)
		w.note("%s is cut from the store", reader.name)
	}
	time.Sleep(300 * time.Millisecond)
	leaver.removeEntry()
	removed := time.Now()
	w.note("the store has acknowledged that the entry of %s is removed", leaver.options.id)
	time.Sleep(drainTime + 400*time.Millisecond)
	leaver.end(false)
	w.note("%s has ended", leaver.options.id)
	time.Sleep(time.Second)
	reader.store.cut.Store(false)
	w.note("%s reaches the store again", reader.name)
	return w.judgeDrain(leaver, bookings.end(), removed)
}

var deskRoutes = []route{
	{prefix: "/book/", kind: "unsafe", service: "desk", attempts: 1},
	{prefix: "/view/", kind: "safe", service: "desk", attempts: 2},
}

// startDesk starts a worker of the service desk with a new id.
func (w *world) startDesk(work time.Duration) *worker {
	w.mu.Lock()
	id := fmt.Sprintf("i-desk-%d", len(w.workers)+1)
	w.mu.Unlock()
	return w.startWorker(workerOptions{id: id, service: "desk", zone: "kingston-a", version: "v1", slots: 6, work: work})
}

// judgeDrain notes the requests that clients sent later than drainMs after an acknowledgement
// and that reached a worker, and reports whether there are any. The answers hold all requests.
func (w *world) judgeDrain(k *worker, answers []answer, acknowledged time.Time) bool {
	sent := make(map[string]answer, len(answers))
	for _, a := range answers {
		sent[a.id] = a
	}
	late, lost := 0, 0
	for _, r := range k.runsSince(acknowledged) {
		a, known := sent[r.id]
		if !known || a.sentAt.Sub(acknowledged) <= drainTime {
			continue
		}
		late++
		if a.status != 200 || a.err != nil {
			lost++
		}
		w.noteAt(r.began, "%s runs %s (%s), sent by its client %.2f s after the acknowledgement: %s; the client: %v", k.options.id, r.id, r.path, a.sentAt.Sub(acknowledged).Seconds(), r.outcome, a)
	}
	w.summarize(answers)
	w.note("requests that reached %s later than drainMs after the acknowledgement: %d, of which %d have no answer of the worker", k.options.id, late, lost)
	return late > 0
}

// summarize notes how many requests were sent, what was answered and what was run where.
func (w *world) summarize(answers []answer) {
	statuses := make(map[string]int)
	for _, a := range answers {
		if a.err != nil {
			statuses["no whole answer"]++
			continue
		}
		statuses[strconv.Itoa(a.status)]++
	}
	w.note("requests sent: %d; answered: %v", len(answers), statuses)
	for _, k := range w.workers {
		w.note("%s ran %d requests", k.options.id, len(k.runsSince(w.began)))
	}
}
