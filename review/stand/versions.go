package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/currantwood/currantwood/platform/standin/store"
)

const (
	// versionWriters makes one worker the share of 0.17 that crashes.
	versionWriters = 6
	versionStreams = 96
	versionEvents  = 120
	// storeAwayFor is a little less than the 8 s for which the site's days take the store
	// down.
	storeAwayFor = 7500 * time.Millisecond
	// allowedJoined is the number of joined streams that the rule allows.
	allowedJoined = 2
)

// versions plays the update of one worker in place: it ends and starts again under its id
// with the next version of its software. Meanwhile the store is down, and later the
// worker crashes.
func versions(w *world) verdict {
	w.publishSmall()
	serve := func(k *worker, c *call) { versionedEvents(k, c) }
	updated := w.addWorker("i-7f3a91c0", writers, "v1", writerSlots, serve)
	for i := 1; i < versionWriters; i++ {
		w.addWorker(fmt.Sprintf("i-7f3a91c%d", i), writers, "v1", writerSlots, serve)
	}
	if err := w.addGateways(2); err != nil {
		return notRun("%v", err)
	}
	time.Sleep(2 * time.Second)
	away := time.Now()
	if w.trouble {
		w.setStoreAway(true)
	}
	time.Sleep(time.Second)
	updated.crash()
	time.Sleep(300 * time.Millisecond)
	updated.start("v2")
	time.Sleep(700 * time.Millisecond)
	outcomes := make([]outcome, versionStreams)
	var streams sync.WaitGroup
	for i := range outcomes {
		streams.Go(func() {
			outcomes[i] = w.once(w.gateways[i%len(w.gateways)], generation(classifyPath, versionEvents))
		})
		time.Sleep(12 * time.Millisecond)
	}
	time.Sleep(time.Second)
	if w.trouble {
		updated.crash()
		time.Sleep(time.Until(away.Add(storeAwayFor)))
		w.setStoreAway(false)
	}
	streams.Wait()
	joined, whole := 0, 0
	for _, o := range outcomes {
		seen := versionsIn(o.body)
		w.note("client: %s holds events of versions %v", o.id, seen)
		if len(seen) > 1 {
			joined++
		} else if o.err == nil && o.status == 200 {
			whole++
		}
	}
	return verdict{
		broken: joined > allowedJoined,
		seen:   fmt.Sprintf("of %d streams, %d hold events of two software versions and %d are whole and of one", len(outcomes), joined, whole),
	}
}

// setStoreAway takes the store down, or brings it back.
func (w *world) setStoreAway(away bool) {
	fault := store.NoFault
	if away {
		fault = store.RespondUnavailable
	}
	w.storeAway.Store(away)
	w.store.SetFault(fault)
	w.note("store down: %v", away)
}

// versionedEvents writes a stream whose events name the version of the worker. A stream
// that is taken up goes on after the last event.
func versionedEvents(k *worker, c *call) {
	e := k.begin(c)
	defer k.finish(e)
	k.mu.Lock()
	version := k.version
	k.mu.Unlock()
	first := 0
	if last := c.Header.Get("Last-Event-Id"); last != "" {
		_, _ = fmt.Sscan(last, &first)
		first++
	}
	time.Sleep(eventInterval)
	_, err := c.conn.Write([]byte("HTTP/1.1 200 OK\r\n" + k.seal(c) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
	for event := first; event < versionEvents && err == nil; event++ {
		select {
		case <-time.After(eventInterval):
		case <-c.gone:
			return
		}
		text := fmt.Sprintf("id: %d\ndata: %s %d\n\n", event, version, event)
		_, err = fmt.Fprintf(c.conn, "%x\r\n%s\r\n", len(text), text)
	}
	_, _ = c.conn.Write([]byte("0\r\n\r\n"))
}

// versionsIn returns the versions whose events a stream holds, in order.
func versionsIn(body string) []string {
	var seen []string
	for line := range strings.Lines(body) {
		rest, found := strings.CutPrefix(line, "data: ")
		if !found {
			continue
		}
		version, _, _ := strings.Cut(rest, " ")
		if len(seen) == 0 || seen[len(seen)-1] != version {
			seen = append(seen, version)
		}
	}
	return seen
}
