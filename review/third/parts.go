package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// deadlyPart crashes each worker that begins to write an answer on it.
	deadlyPart = "dead0bad"
	// partCount is the number of parts of each prompt, and deadlyAt the place of the deadly one.
	partCount = 20
	deadlyAt  = 17
	// backAfter is how long a worker is away after a crash.
	backAfter = 2 * time.Second
	// contact is contactMs of the settings.
	contact = 4 * time.Second
	// crashesBefore is the number of crashes from which on the rule counts, after contact, and
	// mayReach how many requests may still reach workers then.
	crashesBefore = 5
	mayReach      = 3
)

// deadlyParts: prompts of many parts, one of which crashes the workers in some requests.
func deadlyParts(d *deployment) (bool, error) {
	if err := d.putConfiguration(route{"stream", "streaming", "writers", 39000, 1800, 1, false}); err != nil {
		return false, err
	}
	for i := range 6 {
		if err := d.keepWorker(fmt.Sprintf("i-writer-%d", i+1)); err != nil {
			return false, err
		}
	}
	if err := d.startGateways(4); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	var group sync.WaitGroup
	for i := range 600 {
		group.Go(func() {
			d.send(context.Background(), d.front(i), promptRequest(fmt.Sprintf("sound-%04d", i), i, false))
		})
		if i%33 == 16 && d.trouble {
			group.Go(func() {
				d.send(context.Background(), d.front(i/33), promptRequest(fmt.Sprintf("deadly-%04d", i), i, true))
			})
		}
		time.Sleep(33 * time.Millisecond)
	}
	group.Wait()
	return d.judgeParts(), nil
}

// keepWorker starts a worker, and starts another one in its place after each crash.
func (d *deployment) keepWorker(id string) error {
	w, err := d.startWorker(id, "writers", "-events", "25", "-deadly", deadlyPart)
	if err != nil {
		return err
	}
	go func() {
		for generation := 2; ; generation++ {
			select {
			case <-d.stop:
				return
			case <-w.process.ended:
			}
			d.mu.Lock()
			w.silent = true
			d.mu.Unlock()
			select {
			case <-d.stop:
				return
			case <-time.After(backAfter):
			}
			old := w.id
			if w, err = d.startWorker(fmt.Sprintf("%s-%d", id, generation), "writers", "-events", "25", "-deadly", deadlyPart); err != nil {
				return
			}
			time.AfterFunc(3*heartbeat-backAfter, func() { d.store.Put("keyed.servers", old, nil) })
		}
	}()
	return nil
}

// promptRequest returns a stream with a prompt of partCount parts. Sound ones share all parts but
// the last with each other, deadly ones with these all but one.
func promptRequest(id string, i int, deadly bool) request {
	var parts []string
	for n := range partCount - 1 {
		name := fmt.Sprintf("5c1e%04x", n)
		if deadly && n == deadlyAt {
			name = deadlyPart
		}
		parts = append(parts, name+":40")
	}
	parts = append(parts, fmt.Sprintf("%s%04x:100", id[:1], i))
	header := http.Header{"X-Model": {"m"}, "X-Token-Counts": {"860,100"}, "X-Prefix-Hash": {strings.Join(parts, ",")}}
	return request{id: id, method: http.MethodPost, path: "/stream/" + id, body: "prompt " + id, deadline: 39 * time.Second, header: header}
}

// judgeParts reports whether more requests with the deadly part reached workers than the rule
// allows.
func (d *deployment) judgeParts() bool {
	var crashes, arrivals []time.Time
	broken := 0
	for _, l := range d.lines() {
		switch {
		case l.event == "crash":
			crashes = append(crashes, l.at)
		case l.event == "run" && strings.HasPrefix(l.request, "deadly-"):
			arrivals = append(arrivals, l.at)
		}
	}
	d.mu.Lock()
	for _, text := range d.kept {
		if strings.Contains(text, "sent sound-") && !strings.Contains(text, "status 503") && strings.Contains(text, "whole false") {
			broken++
		}
	}
	d.mu.Unlock()
	slices.SortFunc(crashes, time.Time.Compare)
	late := 0
	if len(crashes) >= crashesBefore {
		from := crashes[crashesBefore-1].Add(contact)
		d.note("the fifth crash came at %.1f s", crashes[crashesBefore-1].Sub(d.began).Seconds())
		for _, at := range arrivals {
			if at.After(from) {
				late++
			}
		}
	}
	d.note("%d crashes; %d requests with the part reached workers, %d of them later than 4 s after the fifth crash; %d sound streams broke off", len(crashes), len(arrivals), late, broken)
	return late > mayReach
}
