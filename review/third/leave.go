package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// giveUpAfter is when a client that gives up does so: half the objective of its route.
const giveUpAfter = 75 * time.Millisecond

// halfClose: some clients give up. They close their side of the connection and read what still
// comes until the gateway closes the other side.
func halfClose(d *deployment) (bool, error) {
	err := d.putConfiguration(
		route{"pay", "unsafe", "desk", 800, 150, 1, false},
		route{"look", "safe", "desk", 800, 150, 2, false},
		route{"stream", "streaming", "writers", 39000, 150, 1, false},
	)
	if err != nil {
		return false, err
	}
	for i := range 3 {
		if _, err := d.startWorker(fmt.Sprintf("i-desk-%d", i+1), "desk", "-work", "110ms"); err != nil {
			return false, err
		}
	}
	for i := range 4 {
		if _, err := d.startWorker(fmt.Sprintf("i-writer-%d", i+1), "writers", "-events", "20", "-gap", "110ms"); err != nil {
			return false, err
		}
	}
	if err := d.startGateways(4); err != nil {
		return false, err
	}
	const requests = 150
	results := make([]result, requests)
	left := make([]bool, requests)
	var group sync.WaitGroup
	for i := range requests {
		left[i] = d.trouble && i%5 < 1
		group.Go(func() {
			q := d.mixedRequest(i)
			if left[i] {
				results[i] = d.sendAndLeave(d.front(i), q)
			} else {
				results[i] = d.send(context.Background(), d.front(i), q)
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	group.Wait()
	forged, served, gone := 0, 0, 0
	for i, r := range results {
		switch {
		case r.status/100 == 2 && r.seal == "":
			forged++
			d.note("%s (left: %t): status %d without a seal, whole %t, %d bytes", r.id, left[i], r.status, r.whole, len(r.body))
		case r.status == http.StatusOK && r.whole:
			served++
		case left[i]:
			gone++
		default:
			d.note("%s: status %d, whole %t, %v", r.id, r.status, r.whole, r.err)
		}
	}
	d.note("%d requests, %d served whole, %d left without an answer, %d answered with a success without the seal of a worker", requests, served, gone, forged)
	return forged > 0, nil
}

// mixedRequest returns the i-th request of a mix of calls and streams.
func (d *deployment) mixedRequest(i int) request {
	switch i / 5 % 3 {
	case 0:
		id := fmt.Sprintf("pay-%04d", i)
		return request{id: id, method: http.MethodPost, path: "/pay/" + id, body: "payment " + id, deadline: 800 * time.Millisecond}
	case 1:
		id := fmt.Sprintf("look-%04d", i)
		return request{id: id, method: http.MethodGet, path: "/look/" + id, deadline: 800 * time.Millisecond}
	}
	id := fmt.Sprintf("stream-%04d", i)
	header := http.Header{"X-Model": {"m"}, "X-Token-Counts": {"100,80"}, "X-Prefix-Hash": {fmt.Sprintf("aa%d:100", i)}}
	return request{id: id, method: http.MethodPost, path: "/stream/" + id, body: "prompt " + id, deadline: 20 * time.Second, header: header}
}

// sendAndLeave sends a request, closes its side of the connection after giveUpAfter and reads
// until the other side is closed, too.
func (d *deployment) sendAndLeave(address string, q request) result {
	began := time.Now()
	out := leaveEarly(address, q)
	out.took = time.Since(began)
	d.keep(began, address, q, out)
	return out
}

// leaveEarly is sendAndLeave without the record.
func leaveEarly(address string, q request) result {
	out := result{id: q.id}
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		out.err = err
		return out
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(q.deadline + 2*time.Second))
	if _, out.err = io.WriteString(conn, q.text()); out.err != nil {
		return out
	}
	time.Sleep(giveUpAfter)
	if out.err = conn.(*net.TCPConn).CloseWrite(); out.err != nil {
		return out
	}
	return readAnswer(bufio.NewReader(conn), q, out)
}
