package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// host is the host of all routes.
const host = "ficu95.example"

// requestTime is how long a client waits.
const requestTime = 20 * time.Second

// answer is what a client got.
type answer struct {
	id     string
	sentAt time.Time
	status int
	seal   string
	body   string
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("%s: no answer (%v)", a.id, a.err)
	}
	return fmt.Sprintf("%s: %d, seal %q", a.id, a.status, a.seal)
}

// newID returns an id that no other request of the case has.
func (w *world) newID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests++
	return fmt.Sprintf("q%06x", w.requests)
}

// send sends one request to a gateway on a connection of its own.
func (w *world) send(g *gateway, method, path, key, body string) answer {
	a := answer{id: w.newID(), sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), requestTime)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", g.ip, frontendPort, path), bytes.NewReader([]byte(body)))
	if err != nil {
		a.err = err
		return a
	}
	request.Host = host
	request.Close = true
	request.Header.Set("X-Request-Id", a.id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(requestTime.Milliseconds(), 10))
	if strings.HasPrefix(path, "/plan/") {
		request.Header.Set("X-Model", "m")
		request.Header.Set("X-Token-Counts", "600,480")
		request.Header.Set("X-Prefix-Hash", "5c1e07a2:400,"+a.id+":200")
	}
	request.Header.Set("X-Api-Key", key)
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}).Do(request)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	a.status, a.seal, a.body, a.err = response.StatusCode, response.Header.Get(sealName), string(data), err
	return a
}

// traffic sends requests at a rate to some gateways until it is stopped.
type traffic struct {
	stop chan struct{}
	done sync.WaitGroup

	mu      sync.Mutex
	answers []answer
}

// startTraffic sends to each of the gateways in turn, a request each interval.
func (w *world) startTraffic(interval time.Duration, method, path, key string, gateways ...*gateway) *traffic {
	t := &traffic{stop: make(chan struct{})}
	t.done.Add(1)
	go func() {
		defer t.done.Done()
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-t.stop:
				return
			case <-ticker.C:
			}
			g := gateways[i%len(gateways)]
			t.done.Add(1)
			go func() {
				defer t.done.Done()
				a := w.send(g, method, path, key, "")
				t.mu.Lock()
				defer t.mu.Unlock()
				t.answers = append(t.answers, a)
			}()
		}
	}()
	return t
}

// end stops the traffic and returns all answers.
func (t *traffic) end() []answer {
	close(t.stop)
	t.done.Wait()
	return t.answers
}
