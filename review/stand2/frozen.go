package main

import "time"

var deskRoutes = []route{
	{prefix: "/book/", kind: "unsafe", service: "desk", attempts: 1},
	{prefix: "/view/", kind: "safe", service: "desk", attempts: 2},
}

// playFrozen freezes one gateway. Meanwhile a worker leaves: it says so in its answers and in the
// store. Once the gateway has been awake for contactMs, it is sent requests.
func playFrozen(w *world, trouble bool) bool {
	w.publish(deskRoutes, "key-1")
	var workers []*worker
	for _, id := range []string{"i-desk-1", "i-desk-2", "i-desk-3"} {
		workers = append(workers, w.startWorker(workerOptions{id: id, service: "desk", zone: "kingston-a", version: "v1", slots: 6, work: 15 * time.Millisecond}))
	}
	gateways := w.addGateways(gatewayIPs(4))
	for _, g := range gateways {
		g.start(true)
	}
	w.awaitReady(gateways...)
	leaver, frozen := workers[0], gateways[1]
	calm := w.startTraffic(20*time.Millisecond, "GET", "/view/1", "key-1", gateways[0], gateways[2], gateways[3])
	warm := w.startTraffic(20*time.Millisecond, "GET", "/view/1", "key-1", frozen)
	time.Sleep(3 * time.Second)
	warm.end()
	if trouble {
		frozen.freeze()
	}
	time.Sleep(1700 * time.Millisecond)
	leaver.leave(40 * time.Millisecond)
	acknowledged := time.Now()
	time.Sleep(2250 * time.Millisecond)
	if trouble {
		frozen.wake()
	}
	time.Sleep(contactTime + 200*time.Millisecond)
	w.note("%s is in touch again; clients send to it", frozen.name)
	from := time.Now()
	after := w.startTraffic(20*time.Millisecond, "POST", "/book/1", "key-1", frozen)
	time.Sleep(1500 * time.Millisecond)
	leaver.end(true)
	w.note("%s has ended", leaver.options.id)
	time.Sleep(300 * time.Millisecond)
	answers := after.end()
	calm.end()
	broken := false
	for _, r := range leaver.runsSince(from) {
		w.noteAt(r.began, "%s runs %s (%s), %.1f s after the acknowledgement: %s", leaver.options.id, r.id, r.path, r.began.Sub(acknowledged).Seconds(), r.outcome)
		if r.began.Sub(acknowledged) > drainTime && r.path == "/book/1" {
			broken = true
		}
	}
	for _, a := range answers {
		if a.status != 200 {
			w.noteAt(a.sentAt, "client of %s: %v", frozen.name, a)
		}
	}
	return broken
}
