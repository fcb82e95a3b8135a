// Command n2 lets a worker start again with another version of its software while the store is
// down, and crash in the middle of streams.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/currantwood/currantwood/platform/standin/store"
	"github.com/currantwood/currantwood/review/rig"
)

const (
	workers  = 6
	streams  = 24
	events   = 100
	interval = 30 * time.Millisecond
	// calm is the time before the first disruption.
	calm = 1500 * time.Millisecond
	// restartAfter, streamsAfter, crashAfter and backAfter count from when the store falls
	// silent.
	restartAfter = 300 * time.Millisecond
	streamsAfter = time.Second
	crashAfter   = 3 * time.Second
	backAfter    = 4400 * time.Millisecond
	deadline     = 6 * time.Second
	heartbeat    = 1200 * time.Millisecond
	// allowed is how many streams may hold events of two versions.
	allowed = 2
)

func main() { os.Exit(rig.Main(play)) }

func publish(r *rig.Rig) error {
	return r.Publish([]rig.Route{{
		"name": "fee-classify", "host": rig.Host, "pathPrefix": "/fee-classify/", "kind": "streaming", "service": "classifiers",
		"timeoutMs": 6000, "targetLatencyMs": 1500, "priority": 0, "maxAttempts": 2, "gapAimMs": 180, "resumeStreams": true,
	}}, []any{map[string]any{"name": "classifiers", "maxConnections": 110}})
}

func startWorkers(r *rig.Rig) ([]*rig.Worker, error) {
	var all []*rig.Worker
	for i := range workers {
		w := &rig.Worker{ID: fmt.Sprintf("i-%d", i), Service: "classifiers", Events: events, Interval: interval}
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
	began := time.Now()
	if trouble {
		r.Store.SetFault(store.NeverRespond)
		r.Log("store: silent")
	}
	time.Sleep(restartAfter)
	all[0].Stop()
	if err := all[0].Restart("v2"); err != nil {
		return 0, err
	}
	r.Log("worker i-0 starts again under its id, with version v2")
	if !trouble {
		_ = all[0].Beat()
	}
	time.Sleep(time.Until(began.Add(streamsAfter)))
	var wg sync.WaitGroup
	answers := make([]rig.Answer, streams)
	for i := range streams {
		wg.Go(func() {
			answers[i] = g.Send(rig.Request{ID: fmt.Sprintf("r%02d", i), Path: "/fee-classify/1", Key: rig.Key, Deadline: deadline})
		})
	}
	time.Sleep(time.Until(began.Add(crashAfter)))
	all[0].Stop()
	r.Log("worker i-0 crashes")
	time.Sleep(time.Until(began.Add(backAfter)))
	if trouble {
		r.Store.SetFault(store.NoFault)
		r.Log("store: answers again")
		time.Sleep(heartbeat)
	}
	wg.Wait()
	return judge(r, answers), nil
}

// judge returns the number of streams beyond those allowed that hold events of two versions.
func judge(r *rig.Rig, answers []rig.Answer) int {
	joined := 0
	for i, a := range answers {
		old, newer := a.Count(" of v1"), a.Count(" of v2")
		r.Log("client: request r%02d: %d, %d events of v1, %d of v2, complete: %v", i, a.Status, old, newer, a.Complete)
		if old > 0 && newer > 0 {
			joined++
			r.Log("ORDER: request r%02d holds events of two software versions", i)
		}
	}
	return max(0, joined-allowed)
}
