package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bodyBytes is a little less than maxBodyBytes of the configuration.
	bodyBytes = 4_000_000
	uploaders = 72
	// uploadRate is that of one client, in bytes per second. All clients of a machine
	// together stay below its link of 1,000 Mbit/s.
	uploadRate      = 3_000_000
	paymentClients  = 48
	allowedUnanswer = 3
)

// uploadTimeout is how long a client with a long body waits.
const uploadTimeout = 8 * time.Second

// bodies plays many users who come at once with long bodies.
func bodies(w *world) verdict {
	w.publishSmall()
	for i := range 5 {
		w.addWorker(fmt.Sprintf("i-02d9e6b%d", i), desk, "v1", 24, func(k *worker, c *call) { k.serveCall(c, 100*time.Millisecond) })
	}
	if err := w.addGateways(2); err != nil {
		return notRun("%v", err)
	}
	stop := make(chan struct{})
	var payments sync.WaitGroup
	unanswered := atomic.Int64{}
	for i := range paymentClients {
		payments.Go(func() { unanswered.Add(int64(keepPaying(w, w.gateways[i%2], stop))) })
	}
	time.Sleep(5 * time.Second)
	body := "x"
	if w.trouble {
		body = strings.Repeat("x", bodyBytes)
	}
	w.note("many users come at once")
	var uploads sync.WaitGroup
	for i := range uploaders {
		uploads.Go(func() {
			for range 3 {
				a := payment()
				a.body, a.rate, a.deadline = body, uploadRate, uploadTimeout
				_ = w.once(w.gateways[i%2], a)
			}
		})
	}
	uploads.Wait()
	time.Sleep(3 * time.Second)
	close(stop)
	payments.Wait()
	kills := 0
	for _, g := range w.gateways {
		k, peak := g.memory()
		kills += k
		w.note("%s: at most %.0f MB of %d MB, killed %d times", g.name, peak, memoryMb, k)
	}
	return verdict{
		broken: unanswered.Load() > allowedUnanswer,
		seen:   fmt.Sprintf("%d payments over kept connections ran at sound workers and were closed without an answer; %d ends of a process over its memory", unanswered.Load(), kills),
	}
}

// keepPaying sends payments over kept connections and returns how many of them ran and
// ended with the connection.
func keepPaying(w *world, g *gateway, stop <-chan struct{}) (unanswered int) {
	var c *connection
	for {
		select {
		case <-stop:
			return unanswered
		default:
		}
		if c == nil {
			opened, err := w.connect(g)
			if err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
			c = opened
		}
		kept := c.served > 0
		o := c.send(payment())
		if o.err == nil && o.header.Get("Connection") != "close" {
			continue
		}
		if o.err != nil && kept && !timedOut(o.err) && w.runs(o.id) > 0 {
			unanswered++
			w.note("client: %s ran and its kept connection was closed without an answer", o.id)
		}
		c.close()
		c = nil
	}
}
