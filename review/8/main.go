// Command 8 plays case 8 of the second review: it lets the open connections to
// one worker go silent while streams run on them.
package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/currantwood/currantwood/review/rig"
)

const (
	workers  = 4
	streams  = 8
	events   = 150
	interval = 100 * time.Millisecond
	counts   = "1460,800"
	deadline = 39 * time.Second
	calm     = 1500 * time.Millisecond
	// contact is contactMs in the settings: the machine is in touch again that long after
	// its connections were reset, as which their silence counts.
	contact = 4 * time.Second
	// leaveAfter is when the worker says that it leaves, counted from the silence. It serves
	// for drain and a little longer after that.
	leaveAfter = 4300 * time.Millisecond
	drain      = 2500 * time.Millisecond
	longer     = 500 * time.Millisecond
	// allowed is how long two workers may work on one request.
	allowed = 400 * time.Millisecond
)

func main() { os.Exit(rig.Main(play)) }

// publish writes a configuration with a route whose streams may be resumed, and one whose
// streams may not.
func publish(r *rig.Rig) error {
	route := func(name string, resume bool, attempts int) rig.Route {
		return rig.Route{
			"name": name, "host": rig.Host, "pathPrefix": "/" + name + "/", "kind": "streaming", "service": "brief-writers",
			"timeoutMs": 39000, "targetLatencyMs": 1800, "priority": 1, "maxAttempts": attempts, "gapAimMs": 180, "stickySessions": true, "resumeStreams": resume,
		}
	}
	return r.Publish([]rig.Route{route("matter-brief", false, 1), route("fee-classify", true, 2)},
		[]any{map[string]any{"name": "brief-writers", "maxConnections": 242, "engine": map[string]any{
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
	broken := 0
	for _, route := range []string{"matter-brief", "fee-classify"} {
		n, err := playRoute(r, g, all, route, trouble)
		if err != nil {
			return 0, err
		}
		broken += n
		all = all[1:]
	}
	return broken, nil
}

// playRoute lets the open connections of the first worker go silent while streams of a route
// run, and that worker leave later.
func playRoute(r *rig.Rig, g *rig.Gateway, all []*rig.Worker, route string, trouble bool) (int, error) {
	var wg sync.WaitGroup
	for i := range streams {
		wg.Go(func() {
			id := fmt.Sprintf("%s-%d", route, i)
			a := g.Send(rig.Request{ID: id, Path: "/" + route + "/1", Key: rig.Key, Counts: counts, Deadline: deadline})
			r.Log("client: request %s: %d, %d events, complete: %v", id, a.Status, a.Count("id: "), a.Complete)
		})
		time.Sleep(interval)
	}
	time.Sleep(calm)
	silentAt := time.Now()
	if trouble {
		r.Log("the open connections to worker %s go silent: %d of them; new ones work", all[0].ID, all[0].Proxy.Silence())
	}
	time.Sleep(leaveAfter)
	if err := all[0].Leave(); err != nil {
		return 0, err
	}
	r.Log("worker %s says that it leaves", all[0].ID)
	time.Sleep(drain + longer)
	all[0].Stop()
	all[0].EndRuns()
	r.Unregister(all[0].ID)
	r.Log("worker %s ends", all[0].ID)
	wg.Wait()
	return judge(r, all, route, silentAt), nil
}

// judge returns how many requests went on at a worker while another one worked on them.
func judge(r *rig.Rig, all []*rig.Worker, route string, silentAt time.Time) int {
	var runs []*rig.Run
	for _, w := range all {
		for _, run := range w.Runs() {
			if strings.HasPrefix(run.Request, route) {
				runs = append(runs, run)
			}
		}
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
