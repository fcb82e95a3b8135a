package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	stopClients = 16
	// stopEvents take 6 s.
	stopEvents = 150
	// sentAfterStop is when the streams are sent after SIGTERM. Those that are sent in the
	// first 3 s may be cut off at the end of the grace period.
	sentAfterStop = 3100 * time.Millisecond
	graceTime     = 8 * time.Second
)

// stop plays a planned stop of one gateway, whose clients use the connections that they
// have kept open.
func stop(w *world) verdict {
	w.publishSmall()
	for i := range 3 {
		w.addWorker(fmt.Sprintf("i-7f3a91c%d", i), writers, "v1", writerSlots, func(k *worker, c *call) { k.writeEvents(c, stopEvents, eventInterval, false) })
	}
	w.addWorker("i-02d9e6b0", desk, "v1", deskSlots, func(k *worker, c *call) { k.serveCall(c, 15*time.Millisecond) })
	if err := w.addGateways(2); err != nil {
		return notRun("%v", err)
	}
	time.Sleep(5 * time.Second)
	stopped := w.gateways[0]
	var kept []*connection
	for range stopClients {
		c, err := w.connect(stopped)
		if err != nil {
			return notRun("%v", err)
		}
		kept = append(kept, c)
		if o := c.send(payment()); o.status != 200 {
			return notRun("payment before the stop: status %d, %v", o.status, o.err)
		}
	}
	if w.trouble {
		stopped.signal(syscall.SIGTERM)
		time.AfterFunc(graceTime, func() { stopped.signal(syscall.SIGKILL) })
	}
	time.Sleep(sentAfterStop)
	outcomes := make([]outcome, len(kept))
	var streams sync.WaitGroup
	for i, c := range kept {
		streams.Go(func() { outcomes[i] = c.send(generation(classifyPath, stopEvents)) })
	}
	streams.Wait()
	cut, refused, whole := 0, 0, 0
	for _, o := range outcomes {
		switch {
		case o.err != nil && w.runs(o.id) > 0:
			cut++
			w.note("client: %s was read and passed on to a worker, and its connection ended without a complete answer", o.id)
		case o.status == 200 && o.err == nil:
			whole++
		default:
			refused++
		}
	}
	return verdict{
		broken: cut > 0,
		seen:   fmt.Sprintf("of %d streams over kept connections, sent %v after SIGTERM, %d were passed on and cut off, %d are whole and %d were refused or not read", len(outcomes), sentAfterStop, cut, whole, refused),
	}
}
