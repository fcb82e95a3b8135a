// Command n1 starts a gateway while the store has come back from a copy that is older than
// the withdrawal of a key, and sends it requests with that key.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/currantwood/currantwood/platform/standin/store"
	"github.com/currantwood/currantwood/review/rig"
)

const (
	withdrawn = "key-of-bob"
	// revokeTime is revokeMs in the settings, and margin what the case leaves beyond it.
	revokeTime = 5 * time.Second
	margin     = time.Second
	// away is how long the store is away.
	away = 500 * time.Millisecond
	// rewrittenAfter is how long after the store's return the operator has written again
	// what was lost.
	rewrittenAfter = 2 * time.Second
	deadline       = 800 * time.Millisecond
	pause          = 10 * time.Millisecond
	heartbeat      = 1200 * time.Millisecond
)

func main() { os.Exit(rig.Main(play)) }

func routes() []rig.Route {
	return []rig.Route{{
		"name": "fee-remit", "host": rig.Host, "pathPrefix": "/fee-remit/", "kind": "unsafe", "service": "payments-desk",
		"timeoutMs": 800, "targetLatencyMs": 150, "priority": 2, "maxAttempts": 1,
	}}
}

func play(r *rig.Rig, trouble bool) (int, error) {
	services := []any{map[string]any{"name": "payments-desk", "maxConnections": 100}}
	if err := r.PublishVersion(3, routes(), services, rig.Key, withdrawn); err != nil {
		return 0, err
	}
	w := &rig.Worker{ID: "d-0", Service: "payments-desk", Work: 15 * time.Millisecond}
	w.LogRun = func(w *rig.Worker, id, what string, _ int64) { r.Log("worker %s: request %s %s", w.ID, id, what) }
	if err := w.Start(r); err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(heartbeat):
				_ = w.Beat()
			}
		}
	}()
	seeds := []string{r.IP(1), r.IP(2)}
	var gateways []*rig.Gateway
	for i := range 2 {
		g, err := r.AddGateway(fmt.Sprintf("edge-%d", i+1), i+1, 134, r.Store.Address(), seeds)
		if err != nil {
			return 0, err
		}
		gateways = append(gateways, g)
	}
	send := func(g *rig.Gateway, id string) rig.Answer {
		a := g.Send(rig.Request{ID: id, Path: "/fee-remit/1", Key: withdrawn, Deadline: deadline})
		if a.Status != 0 {
			r.Log("client: request %s with the key %s to %s: %d", id, withdrawn, g.Name, a.Status)
		}
		return a
	}
	send(gateways[0], "before-1")
	older := r.Store.TakeCopy()
	time.Sleep(margin / 2)
	if err := r.PublishVersion(7, routes(), services, rig.Key); err != nil {
		return 0, err
	}
	acknowledged := time.Now()
	r.Log("operator: version 7, without the key %s, is acknowledged", withdrawn)
	time.Sleep(revokeTime + margin)
	for _, g := range gateways {
		send(g, "after-"+g.Name)
	}
	if trouble {
		r.Log("store: away")
		r.Store.SetFault(store.NeverRespond)
		time.Sleep(away)
		r.Store.Restore(older)
		r.Store.SetFault(store.NoFault)
		r.Log("store: back from a copy of before version 7, with the next era")
		_ = w.Beat()
	}
	back := time.Now()
	added := make(chan error, 1)
	var third *rig.Gateway
	go func() {
		var err error
		third, err = r.AddGateway("edge-3", 3, 134, r.Store.Address(), seeds)
		added <- err
	}()
	if err := <-added; err != nil {
		return 0, err
	}
	r.Log("edge-3, a machine that is added, is ready")
	for i := 0; time.Since(back) < rewrittenAfter; i++ {
		send(third, fmt.Sprintf("late-%d", i))
		time.Sleep(pause)
	}
	if trouble {
		if err := r.PublishVersion(7, routes(), services, rig.Key); err != nil {
			return 0, err
		}
		r.Log("operator: version 7 is written again")
	}
	time.Sleep(margin)
	send(third, "last")
	broken := 0
	for _, run := range w.Runs() {
		if late := run.Began.Sub(acknowledged); late > revokeTime {
			broken++
			r.Log("CONFIG: request %s ran %v after version 7 was acknowledged (revokeMs %v)", run.Request, late, revokeTime)
		}
	}
	return broken, nil
}
