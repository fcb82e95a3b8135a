package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/currantwood/currantwood/platform/storeclient"
)

// heartbeat is the time between two records of a worker, heartbeatMs in the settings.
const heartbeat = 1200 * time.Millisecond

// run is a request that a worker began to work on.
type run struct {
	id, path, tenant string
	began            time.Time
	ended            time.Time
	// outcome is how it ended; empty while it is at work.
	outcome string
	// stop is closed when a move has stopped the run.
	stop chan struct{}
}

// workerOptions describes a worker.
type workerOptions struct {
	id, service, zone, version string
	slots                      int
	// work is how long a request without a stream takes.
	work time.Duration
	// events is the number of events of a stream, and interval the time before each.
	events   int
	interval time.Duration
}

// worker is a stand-in of an application server or a model worker.
type worker struct {
	world   *world
	options workerOptions

	mu       sync.Mutex
	address  string
	listener net.Listener
	server   *http.Server
	born     int64
	sequence int
	// generation rises with each start, so that goroutines of an earlier one end.
	generation int
	runs       []*run
	// leaving is whether the worker is draining.
	leaving bool
	// unwritten makes the worker leave its entry in the store as it is.
	unwritten bool
	// copies holds the copies of runs that it has, as source/handle, and handles counts those
	// that it has made.
	copies  map[string]bool
	handles int
	// spoils is whether the worker spoils some of its answers, of which it counts answered.
	spoils   bool
	answered int
	down     bool
}

// startWorker starts a worker and writes its entry.
func (w *world) startWorker(o workerOptions) *worker {
	k := &worker{world: w, options: o}
	w.mu.Lock()
	w.workers = append(w.workers, k)
	w.mu.Unlock()
	k.start(time.Now().UnixMilli())
	return k
}

// start begins an incarnation at the address of the one before.
func (k *worker) start(born int64) {
	address := k.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		unable("start a worker: %v", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", k.serveReport)
	mux.HandleFunc("GET /healthz", k.serveHealth)
	mux.HandleFunc("POST /kv-move", k.serveMove)
	mux.HandleFunc("DELETE /kv-handle/{handle}", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("POST /copied", k.serveCopied)
	mux.HandleFunc("/", k.serve)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	k.mu.Lock()
	k.address, k.listener, k.server, k.born = listener.Addr().String(), listener, server, born
	k.sequence, k.leaving, k.down, k.copies = 0, false, false, map[string]bool{}
	k.generation++
	generation := k.generation
	k.mu.Unlock()
	unwritten := k.unwritten
	go func() { _ = server.Serve(listener) }()
	if !unwritten {
		k.writeEntry()
	}
	go k.beat(generation)
}

// beat writes the entry at each heartbeat while an incarnation lives.
func (k *worker) beat(generation int) {
	for {
		time.Sleep(heartbeat)
		k.mu.Lock()
		ended := k.down || k.generation != generation
		unwritten := k.unwritten
		k.mu.Unlock()
		if ended {
			return
		}
		if !unwritten {
			k.writeEntry()
		}
	}
}

// writeEntry writes the worker's entry to the store, which acknowledges it at once.
func (k *worker) writeEntry() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sequence++
	state := "ready"
	if k.leaving {
		state = "draining"
	}
	entry, err := json.Marshal(map[string]any{
		"service": k.options.service, "address": k.address, "zone": k.options.zone, "version": k.options.version,
		"slots": k.options.slots, "state": state, "warmupLeftMs": 0, "sequence": k.sequence, "born": k.born,
	})
	if err != nil {
		unable("encode an entry: %v", err)
	}
	k.world.store.Put(storeclient.UpstreamTopic, k.options.id, entry)
}

// drain makes the worker report to the store that it is draining.
func (k *worker) drain() {
	k.mu.Lock()
	k.leaving = true
	k.mu.Unlock()
	k.writeEntry()
}

// removeEntry makes the worker leave without reporting draining: it goes on serving.
func (k *worker) removeEntry() {
	k.mu.Lock()
	k.unwritten = true
	k.mu.Unlock()
	k.world.store.Put(storeclient.UpstreamTopic, k.options.id, nil)
}

// end ends the worker: its connections break off and its entry is removed.
func (k *worker) end(removeEntry bool) {
	k.mu.Lock()
	k.down = true
	server := k.server
	k.mu.Unlock()
	_ = server.Close()
	if removeEntry {
		k.world.store.Put(storeclient.UpstreamTopic, k.options.id, nil)
	}
}

func (k *worker) isLeaving() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.leaving
}

func (k *worker) serveReport(w http.ResponseWriter, _ *http.Request) {
	k.mu.Lock()
	state := "ready"
	if k.leaving {
		state = "draining"
	}
	rows := [][]any{}
	for _, r := range k.runs {
		if r.outcome == "" {
			rows = append(rows, []any{r.id, 100, 0, 5})
		}
	}
	report := map[string]any{"stage": "unified", "state": state, "born": k.born, "sequence": 1, "queued": 0, "running": len(rows), "runs": rows}
	k.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}

func (k *worker) serveHealth(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Instance-Id", k.options.id)
	if k.isLeaving() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serveMove copies a run to another worker, and stops it first if it is the last copy.
func (k *worker) serveMove(w http.ResponseWriter, r *http.Request) {
	var order struct {
		ID   string `json:"id"`
		To   string `json:"to"`
		Last bool   `json:"last"`
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	k.mu.Lock()
	var found *run
	for _, candidate := range k.runs {
		if candidate.id == order.ID && candidate.outcome == "" {
			found = candidate
		}
	}
	k.handles++
	handle, address := fmt.Sprintf("h%d", k.handles), k.address
	k.mu.Unlock()
	if found == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if order.Last {
		close(found.stop)
	}
	response, err := http.Post("http://"+order.To+"/copied?from="+address+"/"+handle, "text/plain", nil)
	if err != nil || response.Body.Close() != nil || response.StatusCode != http.StatusOK {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"handle": handle, "createRev": 0})
}

// serveCopied takes a copy; only workers of this stand send it.
func (k *worker) serveCopied(_ http.ResponseWriter, r *http.Request) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.copies[r.URL.Query().Get("from")] = true
}

// takeCopy uses a copy up, and reports whether there is one.
func (k *worker) takeCopy(from string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	found := k.copies[from]
	delete(k.copies, from)
	return found
}

// serve runs a request, unless it expects another instance.
func (k *worker) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Instance-Id", k.options.id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != k.options.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if from := r.Header.Get("Kv-From"); from != "" && !k.takeCopy(from) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	began := k.begin(r)
	outcome := "broken off"
	defer func() { k.finish(began, outcome) }()
	w.Header().Set(sealName, "seal."+k.options.id+"."+id)
	if strings.HasPrefix(r.URL.Path, "/plan/") || strings.HasPrefix(r.URL.Path, "/check/") {
		if k.serveEvents(w, r, began) {
			outcome = "served"
		}
		return
	}
	select {
	case <-time.After(k.options.work):
	case <-r.Context().Done():
		return
	}
	body := "answer to " + id + " by " + k.options.id + "\n"
	if number := k.nextSpoiled(); number > 0 {
		if k.writeSpoiled(w, number, id, body) {
			outcome = "spoiled"
		}
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if _, err := io.WriteString(w, body); err == nil {
		outcome = "served"
	}
}

// serveEvents sends the events after Last-Event-Id. It reports whether all were sent.
func (k *worker) serveEvents(w http.ResponseWriter, r *http.Request, of *run) bool {
	last, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		last = 0
	}
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for id := last + 1; id <= k.options.events; id++ {
		select {
		case <-time.After(k.options.interval):
		case <-r.Context().Done():
			return false
		case <-of.stop:
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s %d\n\n", id, k.options.version, r.Header.Get("X-Request-Id"), id); err != nil {
			return false
		}
		if controller.Flush() != nil {
			return false
		}
	}
	return true
}

func (k *worker) begin(r *http.Request) *run {
	began := &run{id: r.Header.Get("X-Request-Id"), path: r.URL.Path, tenant: r.Header.Get("X-Tenant"), began: time.Now(), stop: make(chan struct{})}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.runs = append(k.runs, began)
	return began
}

func (k *worker) finish(r *run, outcome string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	r.ended, r.outcome = time.Now(), outcome
}

// runsSince returns copies of the runs that began at a time or later.
func (k *worker) runsSince(at time.Time) []run {
	k.mu.Lock()
	defer k.mu.Unlock()
	var found []run
	for _, r := range k.runs {
		if !r.began.Before(at) {
			found = append(found, *r)
		}
	}
	return found
}
