package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// unsafeResumable: calls of an unsafe route that has resumeStreams, at a worker that loses the
// answers to some requests that it ran.
func unsafeResumable(d *deployment) (bool, error) {
	if err := d.putConfiguration(route{"pay", "unsafe", "desk", 2000, 200, 2, true}); err != nil {
		return false, err
	}
	for i := range 3 {
		var more []string
		if d.trouble && i == 0 {
			more = []string{"-lose-each", "20"}
		}
		if _, err := d.startWorker(fmt.Sprintf("i-desk-%d", i+1), "desk", more...); err != nil {
			return false, err
		}
	}
	if err := d.startGateways(4); err != nil {
		return false, err
	}
	const requests = 200
	results := make([]result, requests)
	var group sync.WaitGroup
	for i := range requests {
		group.Go(func() {
			id := fmt.Sprintf("pay-%04d", i)
			results[i] = d.send(context.Background(), d.front(i), request{id: id, method: http.MethodPost, path: "/pay/" + id, body: "payment " + id, deadline: 2 * time.Second})
		})
		time.Sleep(25 * time.Millisecond)
	}
	group.Wait()
	time.Sleep(time.Second)
	runs := make(map[string][]string)
	lost := 0
	for _, l := range d.lines() {
		switch l.event {
		case "run":
			runs[l.request] = append(runs[l.request], l.worker)
		case "answer-lost":
			lost++
		}
	}
	twice, served := 0, 0
	for _, r := range results {
		if r.status == http.StatusOK && r.whole {
			served++
		}
		if len(runs[r.id]) > 1 {
			twice++
			d.note("%s ran %d times, at %s; its client got %d", r.id, len(runs[r.id]), strings.Join(runs[r.id], " and "), r.status)
		}
	}
	d.note("%d unsafe requests sent, %d served, %d answers lost by the worker, %d requests ran more than once", requests, served, lost, twice)
	if served < requests*8/10 {
		return false, fmt.Errorf("only %d of %d served", served, requests)
	}
	return twice > 0, nil
}

// unframedCrash: calls and streams whose answers end with their connection, at workers of which
// one is killed.
func unframedCrash(d *deployment) (bool, error) {
	err := d.putConfiguration(
		route{"look", "safe", "desk", 2000, 600, 2, false},
		route{"stream", "streaming", "writers", 39000, 1800, 1, false},
	)
	if err != nil {
		return false, err
	}
	var workers []*worker
	for i := range 6 {
		w, err := d.startWorker(fmt.Sprintf("i-desk-%d", i+1), "desk", "-unframed", "-work", "100ms")
		if err != nil {
			return false, err
		}
		workers = append(workers, w)
	}
	for i := range 6 {
		w, err := d.startWorker(fmt.Sprintf("i-writer-%d", i+1), "writers", "-unframed", "-events", "150")
		if err != nil {
			return false, err
		}
		workers = append(workers, w)
	}
	if err := d.startGateways(4); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var results []result
	var group sync.WaitGroup
	for i := range 120 {
		group.Go(func() {
			var r result
			if i%3 == 0 {
				id := fmt.Sprintf("stream-%04d", i)
				header := http.Header{"X-Model": {"m"}, "X-Token-Counts": {"1000,600"}, "X-Prefix-Hash": {fmt.Sprintf("aa%d:100", i)}}
				r = d.send(context.Background(), d.front(i), request{id: id, method: http.MethodPost, path: "/stream/" + id, body: "prompt " + id, deadline: 39 * time.Second, header: header})
			} else {
				id := fmt.Sprintf("look-%04d", i)
				r = d.send(context.Background(), d.front(i), request{id: id, method: http.MethodGet, path: "/look/" + id, deadline: 2 * time.Second})
			}
			mu.Lock()
			defer mu.Unlock()
			results = append(results, r)
		})
		if i == 100 && d.trouble {
			d.crash(workers[6])
			d.crash(workers[0])
		}
		time.Sleep(25 * time.Millisecond)
	}
	group.Wait()
	return d.judgeWhole(results), nil
}

// crash kills a worker.
func (d *deployment) crash(w *worker) {
	d.mu.Lock()
	w.silent = true
	d.mu.Unlock()
	w.process.signal(syscall.SIGKILL)
	d.note("worker %s killed", w.id)
}

// judgeWhole reports whether an answer looked complete and wasn't what its worker had to send.
func (d *deployment) judgeWhole(results []result) bool {
	broken, whole := 0, 0
	for _, r := range results {
		if r.status != http.StatusOK || !r.whole {
			d.note("%s: status %d, cut %t, %v", r.id, r.status, !r.whole, r.err)
			continue
		}
		complete := r.body == answerTo(r.id)
		if strings.HasPrefix(r.id, "stream") {
			complete = strings.Contains(r.body, " 150 of 150 ")
		}
		if complete {
			whole++
			continue
		}
		broken++
		d.note("%s: 200 with seal %s, looks complete, has %d bytes and lacks its end", r.id, r.seal, len(r.body))
	}
	d.note("%d answers whole, %d that looked complete and weren't", whole, broken)
	return broken > 0
}

// moveKeeps: streams at a worker that leaves and doesn't drop a request when its connection
// closes.
func moveKeeps(d *deployment) (bool, error) {
	if err := d.putConfiguration(route{"stream", "streaming", "writers", 39000, 1800, 1, false}); err != nil {
		return false, err
	}
	var workers []*worker
	for i := range 6 {
		more := []string{"-events", "200"}
		if i == 0 {
			more = append(more, "-keep")
		}
		w, err := d.startWorker(fmt.Sprintf("i-writer-%d", i+1), "writers", more...)
		if err != nil {
			return false, err
		}
		workers = append(workers, w)
	}
	if err := d.startGateways(4); err != nil {
		return false, err
	}
	results := make([]result, 24)
	var group sync.WaitGroup
	for i := range results {
		group.Go(func() {
			id := fmt.Sprintf("stream-%04d", i)
			header := http.Header{"X-Model": {"m"}, "X-Token-Counts": {"1000,800"}, "X-Prefix-Hash": {fmt.Sprintf("aa%d:100", i)}}
			results[i] = d.send(context.Background(), d.front(i), request{id: id, method: http.MethodPost, path: "/stream/" + id, body: "prompt " + id, deadline: 39 * time.Second, header: header})
		})
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(time.Second)
	if d.trouble {
		d.leave(workers[0])
	}
	group.Wait()
	time.Sleep(time.Second)
	whole := 0
	for _, r := range results {
		if r.status == http.StatusOK && r.whole && strings.Contains(r.body, " 200 of 200 ") {
			whole++
		}
	}
	twice := d.judgeOverlap()
	d.note("%d of %d streams whole, %d went on elsewhere while the worker before worked on for over 400 ms", whole, len(results), twice)
	return twice > 0, nil
}

// leave lets a worker say that it leaves, in its record and in its answers.
func (d *deployment) leave(w *worker) {
	w.process.signal(syscall.SIGUSR1)
	d.mu.Lock()
	w.leaving = true
	d.mu.Unlock()
	d.putRecord(w)
	d.note("worker %s leaves", w.id)
}

// judgeOverlap counts the requests that went on at another worker while the one before still
// worked on them 400 ms later.
func (d *deployment) judgeOverlap() int {
	type span struct {
		worker   string
		from, to time.Time
	}
	runs := make(map[string][]span)
	goesOn := make(map[string]line)
	for _, l := range d.lines() {
		switch l.event {
		case "run":
			runs[l.request] = append(runs[l.request], span{worker: l.worker, from: l.at, to: time.Now()})
		case "end":
			for i, s := range runs[l.request] {
				if s.worker == l.worker {
					runs[l.request][i].to = l.at
				}
			}
		case "goes-on":
			goesOn[l.request] = l
		}
	}
	twice := 0
	for id, l := range goesOn {
		for _, s := range runs[id] {
			overlap := s.to.Sub(l.at)
			if s.worker == l.worker || s.from.After(l.at) {
				continue
			}
			d.note("%s went on at %s; %s worked on it for %d ms after that", id, l.worker, s.worker, overlap.Milliseconds())
			if overlap > 400*time.Millisecond {
				twice++
			}
		}
	}
	return twice
}
