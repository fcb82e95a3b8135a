package main

import (
	"time"

	"github.com/currantwood/currantwood/platform/standin/store"
)

// playRewound withdraws a key. Later the store is away for a moment and comes back from a copy
// from before the withdrawal, and a gateway starts before the operator has written again.
func playRewound(w *world, trouble bool) bool {
	w.publish(deskRoutes, "key-1", "key-2")
	k := w.startDesk(15 * time.Millisecond)
	gateways := w.addGateways(gatewayIPs(2))
	first, late := gateways[0], gateways[1]
	first.start(true)
	w.awaitReady(first)
	w.note("client of %s: key-2: %v", first.name, w.send(first, "GET", "/view/1", "key-2", ""))
	time.Sleep(500 * time.Millisecond)
	older := w.store.TakeCopy()
	time.Sleep(300 * time.Millisecond)
	withdrawal := w.publish(deskRoutes, "key-1")
	withdrawn := time.Now()
	time.Sleep(revokeTime + 200*time.Millisecond)
	w.note("client of %s: key-2: %v", first.name, w.send(first, "GET", "/view/1", "key-2", ""))
	if trouble {
		w.store.SetFault(store.NeverRespond)
		w.note("store away")
		time.Sleep(500 * time.Millisecond)
		w.store.Restore(older)
		w.store.SetFault(store.NoFault)
		k.writeEntry()
		w.note("store back from a copy that is %.1f s old", time.Since(withdrawn).Seconds()+0.3)
	}
	late.start(false)
	broken := false
	for time.Since(withdrawn) < revokeTime+2500*time.Millisecond {
		a := w.send(late, "GET", "/view/1", "key-2", "")
		if a.err == nil {
			w.noteAt(a.sentAt, "client of %s: key-2: %v", late.name, a)
		}
		for _, r := range k.runsSince(a.sentAt) {
			if r.id == a.id {
				w.noteAt(r.began, "%s runs %s for tenant %s: its key was withdrawn %.1f s before it was sent", k.options.id, r.id, r.tenant, a.sentAt.Sub(withdrawn).Seconds())
				broken = broken || a.sentAt.Sub(withdrawn) > revokeTime
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.putConfiguration(withdrawal)
	w.note("operator: written again")
	time.Sleep(time.Second)
	w.note("client of %s: key-2: %v", late.name, w.send(late, "GET", "/view/1", "key-2", ""))
	return broken
}
