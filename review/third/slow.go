package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// stopAfter is when the gateway is stopped: the workers have sent all events before.
	stopAfter = 13 * time.Second
	// grace is graceS of the settings.
	grace = 8 * time.Second
	// readBytes is what a slow client reads each readPause.
	readBytes = 2 << 10
	readPause = 400 * time.Millisecond
)

// slowReaderStop: streams whose clients read slowly, at a gateway that is stopped as planned.
func slowReaderStop(d *deployment) (bool, error) {
	if err := d.putConfiguration(route{"stream", "streaming", "writers", 39000, 1800, 1, false}); err != nil {
		return false, err
	}
	for i := range 4 {
		if _, err := d.startWorker(fmt.Sprintf("i-writer-%d", i+1), "writers", "-events", "551", "-gap", "18ms"); err != nil {
			return false, err
		}
	}
	if err := d.startGateways(4); err != nil {
		return false, err
	}
	results := make([]result, 8)
	var group sync.WaitGroup
	for i := range results {
		group.Go(func() { results[i] = d.readSlowly(i) })
	}
	time.Sleep(stopAfter)
	stopped := time.Now()
	if d.trouble {
		d.note("SIGTERM to gateway 1")
		d.gateways[0].signal(syscall.SIGTERM)
		go func() {
			<-d.gateways[0].ended
			d.note("gateway 1 has ended, %.1f s after SIGTERM", time.Since(stopped).Seconds())
		}()
	}
	group.Wait()
	return d.judgeStop(results, stopped), nil
}

// judgeStop reports whether a stream was cut off that the rule doesn't leave out: its worker had
// sent all of it before the last sixth of the grace period.
func (d *deployment) judgeStop(results []result, stopped time.Time) bool {
	finished := make(map[string]time.Time)
	for _, l := range d.lines() {
		if l.event == "finished" {
			finished[l.request] = l.at
		}
	}
	broken := 0
	for _, r := range results {
		at, done := finished[r.id]
		counts := done && at.Before(stopped.Add(grace*5/6))
		whole := r.whole && strings.Contains(r.body, " 551 of 551 ")
		d.note("%s: status %d, whole %t, %d bytes, after %.1f s; its worker had sent all: %t, at %.1f s", r.id, r.status, whole, len(r.body), r.took.Seconds(), done, at.Sub(d.began).Seconds())
		if r.status == http.StatusOK && !whole && counts {
			broken++
		}
	}
	d.note("%d of %d streams cut off though their workers had sent all of them", broken, len(results))
	return broken > 0
}

// readSlowly takes a stream at gateway 1 with a small window, readBytes each readPause.
func (d *deployment) readSlowly(i int) result {
	q := request{
		id: fmt.Sprintf("stream-%04d", i), method: http.MethodPost, path: "/stream/1", body: "prompt", deadline: 39 * time.Second,
		header: http.Header{"X-Model": {"m"}, "X-Token-Counts": {"1000,2204"}, "X-Prefix-Hash": {fmt.Sprintf("aa%d:100", i)}},
	}
	began, address := time.Now(), d.front(0)
	out := takeSlowly(address, q)
	out.took = time.Since(began)
	d.keep(began, address, q, out)
	return out
}

func takeSlowly(address string, q request) result {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		return result{id: q.id, err: err}
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write([]byte(q.text())); err != nil {
		return result{id: q.id, err: err}
	}
	return readAnswer(&slowReader{conn: conn}, q, result{id: q.id})
}

// slowReader reads at most readBytes each readPause.
type slowReader struct{ conn net.Conn }

func (s *slowReader) Read(p []byte) (int, error) {
	n, err := s.conn.Read(p[:min(len(p), readBytes)])
	time.Sleep(readPause)
	return n, err
}
