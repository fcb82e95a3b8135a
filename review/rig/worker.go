package rig

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
)

// Worker is a stand-in of a model worker, which also serves calls. Its fields are set before
// Start.
type Worker struct {
	ID, Service, Version string
	Events               int64
	// Interval is the time of an event, which each other run lengthens by PerRun.
	Interval, PerRun time.Duration
	// IgnoreClose is whether it works on when the connection of a request is closed.
	IgnoreClose bool
	// Proxied is whether a proxy stands before the worker; Proxy is that.
	Proxied bool
	Proxy   *Proxy
	// Work is the time of a call.
	Work time.Duration
	// LogRun, if set, is called at the begin and the end of runs.
	LogRun func(w *Worker, request, what string, event int64)

	rig *Rig
	// address is where the worker listens, advertised where it says that it does.
	address, advertised string
	listener            net.Listener
	born                int64

	mu       sync.Mutex
	leaving  bool
	sequence int
	runs     map[string]*Run
	ended    []*Run
	copies   map[string]bool
	handles  int
	conns    map[net.Conn]struct{}
}

// Run is a worker's work on a request.
type Run struct {
	Request    string
	Worker     string
	Began      time.Time
	Ended      time.Time
	From       string
	FirstEvent int64
	LastEvent  int64
	Complete   bool
	stop       chan struct{}
	stopped    sync.Once
}

var (
	workersMu sync.Mutex
	workers   = map[string]*Worker{}
)

// Start starts the worker at a free loopback port and registers it.
func (w *Worker) Start(r *Rig) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.rig, w.listener, w.address, w.born = r, l, l.Addr().String(), time.Now().UnixMilli()
	w.advertised = w.address
	if w.Proxied {
		if w.Proxy, err = NewProxy(w.address); err != nil {
			return err
		}
		w.advertised = w.Proxy.Address()
	}
	w.runs, w.copies, w.conns = map[string]*Run{}, map[string]bool{}, map[net.Conn]struct{}{}
	if w.Version == "" {
		w.Version = "v1"
	}
	workersMu.Lock()
	workers[w.advertised] = w
	workersMu.Unlock()
	server := &http.Server{Handler: w, ConnState: w.noteConn}
	go func() { _ = server.Serve(l) }()
	return w.Beat()
}

func (w *Worker) noteConn(c net.Conn, s http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s == http.StateClosed || s == http.StateHijacked {
		delete(w.conns, c)
		return
	}
	w.conns[c] = struct{}{}
}

// Stop ends the worker as the end of its process does.
func (w *Worker) Stop() {
	_ = w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Restart starts the worker again under its id and at its address, with nothing of before. It
// doesn't write its entry.
func (w *Worker) Restart(version string) error {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.listener, w.born, w.Version, w.sequence = l, time.Now().UnixMilli(), version, 0
	w.copies, w.conns = map[string]bool{}, map[net.Conn]struct{}{}
	w.mu.Unlock()
	server := &http.Server{Handler: w, ConnState: w.noteConn}
	go func() { _ = server.Serve(l) }()
	return nil
}

// Address returns the worker's address.
func (w *Worker) Address() string { return w.address }

// Beat writes the worker's entry.
func (w *Worker) Beat() error {
	w.mu.Lock()
	w.sequence++
	state := "ready"
	if w.leaving {
		state = "draining"
	}
	entry := map[string]any{"service": w.Service, "address": w.advertised, "zone": "kingston-a", "version": w.Version, "slots": 24, "state": state, "warmupLeftMs": 0, "sequence": w.sequence, "born": w.born}
	w.mu.Unlock()
	return w.rig.Register(w.ID, entry)
}

// Leave makes the worker say that it leaves, in its entry, its reports and its answers.
func (w *Worker) Leave() error {
	w.mu.Lock()
	w.leaving = true
	w.mu.Unlock()
	return w.Beat()
}

// LeaveUnsaid makes the worker leave without a word in its entry, which is removed.
func (w *Worker) LeaveUnsaid(inAnswers bool) {
	w.mu.Lock()
	w.leaving = inAnswers
	w.mu.Unlock()
	w.rig.Unregister(w.ID)
}

// EndRuns ends all runs, as the end of the worker's process does.
func (w *Worker) EndRuns() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, run := range w.runs {
		run.stopped.Do(func() { close(run.stop) })
	}
}

// Running returns the number of runs that go on.
func (w *Worker) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs)
}

// Runs returns all runs.
func (w *Worker) Runs() []*Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := append([]*Run(nil), w.ended...)
	for _, run := range w.runs {
		all = append(all, run)
	}
	return all
}

func (w *Worker) log(request, what string, event int64) {
	if w.LogRun != nil {
		w.LogRun(w, request, what, event)
	}
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	if w.leaving {
		out.Header().Set("Server-Leaving", "1")
	}
	w.mu.Unlock()
	switch {
	case r.URL.Path == "/report":
		w.report(out)
	case r.URL.Path == "/kv-move":
		w.move(out, r)
	case strings.HasPrefix(r.URL.Path, "/kv-handle/"):
		w.free(strings.TrimPrefix(r.URL.Path, "/kv-handle/"))
	default:
		w.request(out, r)
	}
}

func (w *Worker) report(out http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	rows := [][]any{}
	for id, run := range w.runs {
		rows = append(rows, []any{id, 100, run.LastEvent, 5})
	}
	state := "ready"
	if w.leaving {
		state = "draining"
	}
	_ = json.NewEncoder(out).Encode(map[string]any{"state": state, "born": w.born, "runs": rows, "queued": 0, "running": len(rows)})
}

func (w *Worker) move(out http.ResponseWriter, r *http.Request) {
	var order struct {
		ID   string `json:"id"`
		To   string `json:"to"`
		Last bool   `json:"last"`
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	run := w.runs[order.ID]
	w.handles++
	handle := "h" + strconv.Itoa(w.handles)
	w.mu.Unlock()
	workersMu.Lock()
	target := workers[order.To]
	workersMu.Unlock()
	if run == nil {
		out.WriteHeader(http.StatusNotFound)
		return
	}
	if order.Last {
		run.stopped.Do(func() { close(run.stop) })
	}
	time.Sleep(30 * time.Millisecond)
	if target == nil {
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	target.mu.Lock()
	target.copies[w.advertised+"/"+handle] = true
	target.mu.Unlock()
	w.log(order.ID, "copied to "+target.ID, run.LastEvent)
	_ = json.NewEncoder(out).Encode(map[string]any{"handle": handle, "createRev": run.LastEvent})
}

func (w *Worker) free(handle string) {
	workersMu.Lock()
	defer workersMu.Unlock()
	for _, other := range workers {
		other.mu.Lock()
		delete(other.copies, w.advertised+"/"+handle)
		other.mu.Unlock()
	}
}

func (w *Worker) request(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	out.Header().Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.ID {
		out.Header().Set("X-Instance-Id", w.ID)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	run := &Run{Request: id, Worker: w.ID, Began: time.Now(), From: r.Header.Get("Kv-From"), stop: make(chan struct{})}
	w.mu.Lock()
	if run.From != "" && !w.copies[run.From] || len(w.runs) >= 24 {
		w.mu.Unlock()
		out.Header().Set("X-Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	delete(w.copies, run.From)
	w.runs[id] = run
	w.mu.Unlock()
	defer w.endRun(run)
	out.Header().Set("X-Response-Seal", "seal-"+w.ID+"-"+id)
	if w.Events == 0 {
		w.log(id, "runs", 0)
		time.Sleep(w.Work)
		run.Complete = true
		_, _ = fmt.Fprintf(out, "answer to %s", id)
		return
	}
	w.stream(out, r, run)
}

func (w *Worker) stream(out http.ResponseWriter, r *http.Request, run *Run) {
	last, err := strconv.ParseInt(r.Header.Get("Last-Event-Id"), 10, 64)
	if err != nil {
		last = 0
	}
	run.FirstEvent = last + 1
	w.mu.Lock()
	version := w.Version
	w.mu.Unlock()
	w.log(run.Request, "runs from event", last+1)
	out.Header().Set("Content-Type", "text/event-stream")
	for event := last + 1; event <= w.Events; event++ {
		closed := r.Context().Done()
		if w.IgnoreClose {
			closed = nil
		}
		select {
		case <-run.stop:
			panic(http.ErrAbortHandler)
		case <-closed:
			return
		case <-time.After(w.eventTime()):
		}
		w.mu.Lock()
		run.LastEvent = event
		w.mu.Unlock()
		_, _ = fmt.Fprintf(out, "id: %d\ndata: word %d of %s\n\n", event, event, version)
		_ = http.NewResponseController(out).Flush()
	}
	run.Complete = true
}

// eventTime is the time of an event: the more requests run, the slower each of them is.
func (w *Worker) eventTime() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Interval + time.Duration(len(w.runs)-1)*w.PerRun
}

func (w *Worker) endRun(run *Run) {
	w.mu.Lock()
	run.Ended = time.Now()
	delete(w.runs, run.Request)
	w.ended = append(w.ended, run)
	w.mu.Unlock()
	w.log(run.Request, "run ends after event", run.LastEvent)
}
