// Command n4 lets the open connections to one worker go silent while streams run on them.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/currantwood/currantwood/review/rig"
)

const (
	workers  = 3
	streams  = 6
	events   = 200
	interval = 60 * time.Millisecond
	counts   = "1460,800"
	deadline = 39 * time.Second
	calm     = 1500 * time.Millisecond
	// contact is contactMs in the settings: the machine is in touch again that long after
	// its connections were reset, as which their silence counts.
	contact = 4 * time.Second
	// allowed is how long two workers may work on one request.
	allowed = 400 * time.Millisecond
)

func main() { os.Exit(rig.Main(play)) }

func publish(r *rig.Rig) error {
	return r.Publish([]rig.Route{{
		"name": "matter-brief", "host": rig.Host, "pathPrefix": "/matter-brief/", "kind": "streaming", "service": "brief-writers",
		"timeoutMs": 39000, "targetLatencyMs": 1500, "priority": 1, "maxAttempts": 2, "gapAimMs": 180, "stickySessions": true, "resumeStreams": true,
	}}, []any{map[string]any{"name": "brief-writers", "maxConnections": 242, "engine": map[string]any{
		"slots": 24, "kvCapacityTokens": 34319, "kvTokenBytes": 327680, "linkMbps": 47000, "moves": true, "stride": 4,
	}}})
}

func startWorkers(r *rig.Rig) ([]*rig.Worker, error) {
	var all []*rig.Worker
	for i := range workers {
		w := &rig.Worker{ID: fmt.Sprintf("i-%d", i), Service: "brief-writers", Events: events, Interval: interval, Proxied: true}
		w.LogRun = func(w *rig.Worker, id, what string, event int64) {
			r.Log("worker %s: request %s %s %d", w.ID, id, what, event)
		}
		if err := w.Start(r); err != nil {
			return nil, err
		}
		all = append(all, w)
	}
	return all, nil
}

func play(r *rig.Rig, trouble bool) (int, error) {
	if err := publish(r); err != nil {
		return 0, err
	}
	all, err := startWorkers(r)
	if err != nil {
		return 0, err
	}
	g, err := r.AddGateway("edge-1", 1, 134, r.Store.Address(), nil)
	if err != nil {
		return 0, err
	}
	time.Sleep(calm)
	var wg sync.WaitGroup
	for i := range streams {
		wg.Go(func() {
			a := g.Send(rig.Request{ID: fmt.Sprintf("r%02d", i), Path: "/matter-brief/1", Key: rig.Key, Counts: counts, Deadline: deadline})
			r.Log("client: request r%02d: %d, %d events, complete: %v", i, a.Status, a.Count("id: "), a.Complete)
		})
		time.Sleep(interval)
	}
	time.Sleep(calm)
	silentAt := time.Now()
	if trouble {
		r.Log("the open connections to worker i-0 go silent: %d of them; new ones work", all[0].Proxy.Silence())
	}
	wg.Wait()
	for all[0].Running() > 0 {
		time.Sleep(interval)
	}
	return judge(r, all, silentAt), nil
}

// judge returns how many requests went on at a worker while another one worked on them.
func judge(r *rig.Rig, all []*rig.Worker, silentAt time.Time) int {
	var runs []*rig.Run
	for _, w := range all {
		runs = append(runs, w.Runs()...)
	}
	broken := 0
	for _, before := range runs {
		for _, after := range runs {
			if before == after || before.Request != after.Request || after.Began.Before(before.Began) {
				continue
			}
			beside, inTouch := before.Ended.Sub(after.Began), after.Began.Sub(silentAt) > contact
			r.Log("request %s went on at %s %v after the silence, %s worked on it %v longer", after.Request, after.Worker, after.Began.Sub(silentAt), before.Worker, beside)
			if beside > allowed && inTouch {
				broken++
				r.Log("TWICE: request %s went on at %s while %s still worked on it", after.Request, after.Worker, before.Worker)
			}
		}
	}
	return broken
}
