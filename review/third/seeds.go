package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// seedsFresh is how long after their start the settings of the gateways name seeds that
	// live: seedLagS of the settings.
	seedsFresh = 3 * time.Second
	// settled is how long after their start the streams begin: the gateways know each other
	// by then, if they ever will.
	settled = 13 * time.Second
	// retries is how often a client repeats an attempt that was refused.
	retries = 2
)

// staleSeeds: gateways that start with the addresses of seeds that are gone. Their settings name
// the new ones 3 s later. Then one of them is killed, and the clients of its streams take these
// up at the others.
func staleSeeds(d *deployment) (bool, error) {
	if err := d.putConfiguration(route{"check", "streaming", "writers", 30000, 1500, 2, true}); err != nil {
		return false, err
	}
	for i := range 4 {
		if _, err := d.startWorker(fmt.Sprintf("i-writer-%d", i+1), "writers", "-events", "120"); err != nil {
			return false, err
		}
	}
	const gateways = 4
	fresh := d.addresses(3)
	seeds := fresh
	if d.trouble {
		// Nobody is at these addresses: the machines that were the seeds were replaced.
		seeds = []string{d.network + ".201", d.network + ".202", d.network + ".203"}
	}
	started := time.Now()
	if err := d.startSeededGateways(gateways, seeds, false); err != nil {
		return false, err
	}
	time.Sleep(time.Until(started.Add(seedsFresh)))
	for i, g := range d.gateways {
		if _, err := d.writeSettings(i, fresh, false); err != nil {
			return false, err
		}
		g.signal(syscall.SIGHUP)
	}
	d.note("settings of all gateways name seeds that live; SIGHUP to all")
	time.Sleep(time.Until(started.Add(settled)))
	return d.takeUp()
}

// takeUp begins streams at the first gateway, kills that, and takes them up at the others, where
// new streams begin meanwhile.
func (d *deployment) takeUp() (bool, error) {
	const streams = 24
	var group sync.WaitGroup
	var mu sync.Mutex
	count := make(map[string]int)
	add := func(what string) {
		mu.Lock()
		defer mu.Unlock()
		count[what]++
	}
	for i := range streams {
		group.Go(func() {
			id := fmt.Sprintf("stream-%04d", i)
			r := d.send(context.Background(), d.front(0), checkRequest(id, i, nil))
			last := lastEvent(r.body)
			if r.whole || last < 0 {
				d.note("%s wasn't cut after its first event: status %d, whole %t, %v", id, r.status, r.whole, r.err)
				return
			}
			add("taken up")
			if d.tryAgain(id, i, last) {
				add("gone on")
			}
		})
	}
	time.Sleep(1200 * time.Millisecond)
	d.gateways[0].signal(syscall.SIGKILL)
	d.note("gateway 1 killed")
	for i := range streams {
		group.Go(func() {
			r := d.send(context.Background(), d.front(1+i%3), checkRequest(fmt.Sprintf("new-%04d", i), i, nil))
			add("new")
			if r.status == http.StatusOK && lastEvent(r.body) >= 0 {
				add("begun")
			}
		})
	}
	group.Wait()
	d.note("streams taken up: %d, of which %d went on; new streams: %d, of which %d began", count["taken up"], count["gone on"], count["new"], count["begun"])
	if count["taken up"] < 12 || count["begun"] < 12 {
		return false, fmt.Errorf("too few streams")
	}
	// The rule: the share that goes on is under half of the share that begins.
	return 2*count["gone on"]*count["new"] < count["begun"]*count["taken up"], nil
}

// tryAgain takes a stream up at the other gateways, after its last event, and reports whether it
// went on.
func (d *deployment) tryAgain(id string, i, last int) bool {
	for attempt := range 1 + retries {
		header := http.Header{"Last-Event-Id": {strconv.Itoa(last)}, "Resumes": {id}}
		q := checkRequest(fmt.Sprintf("%s-again-%d", id, attempt), i, header)
		r := d.send(context.Background(), d.front(1+(i+attempt)%3), q)
		if r.status == http.StatusOK && lastEvent(r.body) > last {
			return true
		}
		d.note("%s: status %d, %v", q.id, r.status, r.err)
		time.Sleep(r.retryAfter)
	}
	return false
}

func checkRequest(id string, i int, header http.Header) request {
	q := request{id: id, method: http.MethodPost, path: fmt.Sprintf("/check/%d", i), body: fmt.Sprintf("manifest %d", i), deadline: 25 * time.Second, header: http.Header{}}
	for name, values := range header {
		q.header[name] = values
	}
	q.header["X-Model"], q.header["X-Token-Counts"], q.header["X-Prefix-Hash"] = []string{"m"}, []string{"1000,480"}, []string{fmt.Sprintf("aa%d:100", i)}
	return q
}

// lastEvent returns the id of the last event in the body of a stream; -1 if there is none.
func lastEvent(body string) int {
	last := -1
	for text := range strings.Lines(body) {
		if rest, ok := strings.CutPrefix(text, "id: "); ok {
			if id, err := strconv.Atoi(strings.TrimSpace(rest)); err == nil {
				last = id
			}
		}
	}
	return last
}
