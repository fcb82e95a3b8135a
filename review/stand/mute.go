package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	muteWriters  = 7
	muteStreams  = 140
	muteEvents   = 250
	muteInterval = 80 * time.Millisecond
	muteReleases = 9
	releaseGap   = 3300 * time.Millisecond
	// leaveTime is how long a worker serves after it has reported that it is draining:
	// drainMs and a little longer.
	leaveTime = 3500 * time.Millisecond
	// copyTime is how long a copy of a run takes.
	copyTime = 150 * time.Millisecond
	// muteWorkers of the workers give no answer to mutePart in muteOf of the requests that
	// they run, for muteFor at a time and then for mutePause to none.
	muteWorkers = 1
	mutePart    = 9
	muteOf      = 20
	muteFor     = 6500 * time.Millisecond
	mutePause   = 3500 * time.Millisecond
	// overlapAllowed is how long two workers may work on one request.
	overlapAllowed = 400 * time.Millisecond
)

// runCopies are the copies of runs that no request has used yet.
type runCopies struct {
	mu     sync.Mutex
	next   int
	unused map[string]bool
}

// mute plays a release, in which workers leave one after the other and their runs go on
// at others, while one worker answers only part of the requests that it runs.
func mute(w *world) verdict {
	w.publishSmall()
	runCopy := &runCopies{unused: map[string]bool{}}
	var troubles atomic.Bool
	// served counts the requests that the worker in trouble has run meanwhile.
	var served atomic.Int64
	serve := func(troubled bool) func(k *worker, c *call) {
		return func(k *worker, c *call) {
			runs := c.URL.Path != "/kv-move" && c.Method != "DELETE"
			silent := troubled && runs && troubles.Load() && served.Add(1)%muteOf < mutePart
			movableEvents(k, c, runCopy, silent)
		}
	}
	var running []leaver
	for i := range muteWriters {
		troubled := i < muteWorkers
		running = append(running, leaver{w.addWorker(fmt.Sprintf("i-7f3a91c%d", i), writers, "v1", writerSlots, serve(troubled)), troubled})
	}
	if err := w.addGateways(2); err != nil {
		return notRun("%v", err)
	}
	stop := make(chan struct{})
	for i := range muteStreams {
		go keepGenerating(w, w.gateways[i%2], stop)
		time.Sleep(20 * time.Millisecond)
	}
	if w.trouble {
		go switchInTurn(w, &troubles, stop)
	}
	for i := range muteReleases {
		old := running[len(running)-1]
		running = running[:len(running)-1]
		next := w.addWorker(fmt.Sprintf("i-8a11d4%02d", i), writers, "v1", writerSlots, serve(old.troubled))
		running = append([]leaver{{next, old.troubled}}, running...)
		time.Sleep(300 * time.Millisecond)
		old.leave()
		time.Sleep(releaseGap)
	}
	time.Sleep(leaveTime)
	close(stop)
	overlaps := w.overlaps()
	return verdict{broken: overlaps > 0, seen: fmt.Sprintf("%d requests went on at another worker while the worker before still worked on them %v later", overlaps, overlapAllowed)}
}

// leaver is a worker and whether it is in trouble.
type leaver struct {
	*worker
	troubled bool
}

// switchInTurn sets on for muteFor and unsets it for mutePause, in turn.
func switchInTurn(w *world, on *atomic.Bool, stop <-chan struct{}) {
	for {
		on.Store(true)
		w.note("the worker in trouble answers only part of its requests")
		time.Sleep(muteFor)
		on.Store(false)
		w.note("all workers answer")
		select {
		case <-stop:
			return
		case <-time.After(mutePause):
		}
	}
}

// leave reports that the worker is draining, serves for leaveTime and ends.
func (k *worker) leave() {
	k.mu.Lock()
	k.state = "draining"
	k.mu.Unlock()
	k.writeRecord()
	k.w.note("worker %s: draining", k.id)
	time.AfterFunc(leaveTime, func() {
		k.crash()
		k.w.store.Put(workerTopic, k.id, nil)
	})
}

// overlaps returns how many requests went on at a worker while the worker before still
// worked on them for longer than the rule allows.
func (w *world) overlaps() int {
	byID := make(map[string][]execution)
	for _, k := range w.workers {
		for _, e := range k.ran() {
			byID[e.id] = append(byID[e.id], e)
		}
	}
	count := 0
	for id, all := range byID {
		for _, before := range all {
			for _, after := range all {
				if after.began.After(before.began) && (before.ended.IsZero() || before.ended.Sub(after.began) > overlapAllowed) {
					count++
					w.note("%s: began at %s %d ms after %s, which still worked on it for %d ms", id, after.worker, after.began.Sub(before.began).Milliseconds(), before.worker, before.ended.Sub(after.began).Milliseconds())
				}
			}
		}
	}
	return count
}

// movableEvents serves copies of runs and streams. If silent is set, the worker works on
// the request and gives no answer.
func movableEvents(k *worker, c *call, runCopy *runCopies, silent bool) {
	if c.URL.Path == "/kv-move" {
		time.Sleep(copyTime)
		runCopy.mu.Lock()
		runCopy.next++
		handle := fmt.Sprintf("h%d", runCopy.next)
		runCopy.unused[k.address+"/"+handle] = true
		runCopy.mu.Unlock()
		body, _ := json.Marshal(map[string]any{"handle": handle, "createRev": 1})
		k.write(c, "200 OK", "Content-Type: application/json\r\n", body)
		return
	}
	if c.Method == "DELETE" {
		k.write(c, "200 OK", "", nil)
		return
	}
	if from := c.Header.Get("Kv-From"); from != "" {
		runCopy.mu.Lock()
		known := runCopy.unused[from]
		delete(runCopy.unused, from)
		runCopy.mu.Unlock()
		if !known {
			k.write(c, "503 Service Unavailable", "X-Not-Executed: 1\r\nX-Request-Id: "+c.id+"\r\n", nil)
			return
		}
	}
	k.writeEvents(c, muteEvents, muteInterval, silent)
}

// writeEvents works on a stream from the event after the last one that the client has.
func (k *worker) writeEvents(c *call, events int, interval time.Duration, silent bool) {
	e := k.begin(c)
	defer k.finish(e)
	if silent {
		k.w.note("worker %s: runs %s and gives no answer, resumed from %q", k.id, c.id, c.Header.Get("Kv-From"))
	}
	first := 0
	if last := c.Header.Get("Last-Event-Id"); last != "" {
		_, _ = fmt.Sscan(last, &first)
		first++
	}
	write := func(text string) error {
		if silent {
			return nil
		}
		_, err := c.conn.Write([]byte(text))
		return err
	}
	err := write("HTTP/1.1 200 OK\r\n" + k.seal(c) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	for event := first; event < events && err == nil; event++ {
		text := fmt.Sprintf("id: %d\ndata: %s %d\n\n", event, c.id, event)
		err = write(fmt.Sprintf("%x\r\n%s\r\n", len(text), text))
		select {
		case <-time.After(interval):
		case <-c.gone:
			return
		}
	}
	_ = write("0\r\n\r\n")
}

// keepGenerating asks for one generation after the other.
func keepGenerating(w *world, g *gateway, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		_ = w.once(g, generation(briefPath, muteEvents))
		time.Sleep(200 * time.Millisecond)
	}
}
