package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// worker is a worker process and its record.
type worker struct {
	id, service, address, version string
	log                           string
	born                          int64
	sequence                      int64
	// silent stops the heartbeat, as after a crash.
	silent  bool
	leaving bool
	process *process
}

// startWorker starts a worker process and registers it. more are flags of the process.
func (d *deployment) startWorker(id, service string, more ...string) (*worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	address := listener.Addr().String()
	_ = listener.Close()
	w := &worker{id: id, service: service, address: address, version: "v1", log: filepath.Join(d.scratch, id+".log"), born: time.Now().UnixMilli()}
	return w, d.launch(w, more...)
}

// launch starts the process of a worker, and waits until it listens.
func (d *deployment) launch(w *worker, more ...string) error {
	args := append([]string{"worker", "-id", w.id, "-listen", w.address, "-log", w.log, "-born", fmt.Sprint(w.born)}, more...)
	program, err := os.Executable()
	if err != nil {
		return err
	}
	command := exec.Command(program, args...)
	command.Stderr = os.Stderr
	p, err := startProcess(command, "")
	if err != nil {
		return err
	}
	for range 100 {
		conn, err := net.Dial("tcp", w.address)
		if err == nil {
			_ = conn.Close()
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	d.mu.Lock()
	w.process, w.silent = p, false
	d.workers[w.id] = w
	d.mu.Unlock()
	d.putRecord(w)
	return nil
}

// putRecord writes a worker's record.
func (d *deployment) putRecord(w *worker) {
	d.mu.Lock()
	w.sequence++
	state := "ready"
	if w.leaving {
		state = "draining"
	}
	value, _ := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": "kingston-a", "version": w.version, "slots": 24, "state": state,
		"warmupLeftMs": 0, "stage": "unified", "sequence": w.sequence, "born": w.born,
	})
	d.mu.Unlock()
	d.store.Put("keyed.servers", w.id, value)
}

// beat writes the records of the workers that live, at each heartbeat.
func (d *deployment) beat() {
	for {
		select {
		case <-d.stop:
			return
		case <-time.After(heartbeat):
		}
		d.mu.Lock()
		var live []*worker
		for _, w := range d.workers {
			if !w.silent {
				live = append(live, w)
			}
		}
		d.mu.Unlock()
		for _, w := range live {
			d.putRecord(w)
		}
	}
}

// line is a line of a worker's log.
type line struct {
	worker, event, request string
	at                     time.Time
}

// lines reads the logs of all workers.
func (d *deployment) lines() []line {
	var all []line
	paths, _ := filepath.Glob(filepath.Join(d.scratch, "*.log"))
	for _, path := range paths {
		id := strings.TrimSuffix(filepath.Base(path), ".log")
		if strings.HasPrefix(id, "gateway-") {
			continue
		}
		data, _ := os.ReadFile(path)
		for text := range strings.Lines(string(data)) {
			fields := strings.Fields(text)
			if len(fields) != 3 {
				continue
			}
			ns, _ := strconv.ParseInt(fields[0], 10, 64)
			all = append(all, line{worker: id, event: fields[1], request: fields[2], at: time.Unix(0, ns)})
		}
	}
	return all
}

// server is the state of a worker process.
type server struct {
	id       string
	born     int64
	loseEach int
	unframed bool
	events   int
	gap      time.Duration
	work     time.Duration
	padding  int
	// deadly is the part of a prompt that crashes the worker; empty for none.
	deadly string
	// keep is whether a run goes on when its connection has closed.
	keep    bool
	address string

	mu   sync.Mutex
	log  *os.File
	runs int
	// running holds the runs with the number of events made.
	running map[string]int
	// stops holds a function for each run that stops it.
	stops map[string]context.CancelFunc
	// copies holds the copies that have arrived, as source/handle.
	copies  map[string]bool
	handles int
	// leaving is whether the worker says that it leaves.
	leaving atomic.Bool
}

// runWorker is the main function of a worker process.
func runWorker(args []string) error {
	s := &server{running: make(map[string]int), stops: make(map[string]context.CancelFunc), copies: make(map[string]bool)}
	flags := flag.NewFlagSet("worker", flag.ContinueOnError)
	flags.StringVar(&s.id, "id", "", "ID of the worker")
	flags.Int64Var(&s.born, "born", 0, "start of the worker, in Unix milliseconds")
	flags.IntVar(&s.loseEach, "lose-each", 0, "loses the answer to each n-th request that it ran, by a reset")
	flags.BoolVar(&s.unframed, "unframed", false, "sends answers that end with their connection")
	flags.IntVar(&s.events, "events", 100, "events in a stream")
	flags.DurationVar(&s.gap, "gap", 40*time.Millisecond, "time between two events")
	flags.DurationVar(&s.work, "work", 15*time.Millisecond, "time that a call takes")
	flags.IntVar(&s.padding, "padding", 280, "bytes of an event")
	flags.StringVar(&s.deadly, "deadly", "", "part of a prompt, other than the last, that crashes the worker")
	flags.BoolVar(&s.keep, "keep", false, "works on when the connection of a request has closed")
	flags.StringVar(&s.address, "listen", "", "address")
	log := flags.String("log", "", "file for what was run")
	if err := flags.Parse(args); err != nil {
		return err
	}
	var err error
	if s.log, err = os.OpenFile(*log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", s.report)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Instance-Id", s.id) })
	mux.HandleFunc("POST /kv-move", s.move)
	mux.HandleFunc("POST /copied", s.copied)
	mux.HandleFunc("DELETE /kv-handle/{handle}", func(http.ResponseWriter, *http.Request) {})
	leave := make(chan os.Signal, 1)
	signal.Notify(leave, syscall.SIGUSR1)
	go func() {
		<-leave
		s.leaving.Store(true)
	}()
	mux.HandleFunc("/", s.serve)
	return (&http.Server{Addr: s.address, Handler: mux, ReadHeaderTimeout: time.Minute}).ListenAndServe()
}

func (s *server) note(event, request string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.log, "%d %s %s\n", time.Now().UnixNano(), event, request)
}

// report answers with the state of the worker.
func (s *server) report(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	runs := [][]any{}
	state := "ready"
	if s.leaving.Load() {
		state = "draining"
	}
	for id, events := range s.running {
		runs = append(runs, []any{id, 1000, events, 5})
	}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "unified", "models": []any{}, "busy": false, "sequence": 1, "queued": 0, "running": len(runs), "kvUsed": 0, "kvTotal": 34319,
		"handles": 0, "state": state, "runs": runs, "born": s.born,
	})
}

// serve runs a request.
func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.leaving.Load() {
		w.Header().Set("Server-Leaving", "1")
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	ctx, stop := context.WithCancel(r.Context())
	if s.keep {
		ctx, stop = context.WithCancel(context.Background())
	}
	defer stop()
	from := r.Header.Get("Kv-From")
	lose, accepted := s.begin(id, from, stop)
	if !accepted {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.note("run", id)
	if from != "" {
		s.note("goes-on", id)
	}
	defer s.end(id)
	w.Header().Set("X-Response-Seal", "seal-"+s.id)
	s.crashOnPart(w, r, id)
	if s.unframed {
		w.Header().Set("Transfer-Encoding", "identity")
		w.Header().Set("Connection", "close")
	}
	if strings.HasPrefix(r.URL.Path, "/stream/") || strings.HasPrefix(r.URL.Path, "/check/") {
		s.stream(ctx, w, r, id)
		return
	}
	time.Sleep(s.work)
	if lose {
		s.note("answer-lost", id)
		s.reset(w)
		return
	}
	s.answer(w, id)
}

// crashOnPart ends the process as it begins to write the answer, if the prompt has the deadly part
// other than as its last one.
func (s *server) crashOnPart(w http.ResponseWriter, r *http.Request, id string) {
	parts := strings.Split(r.Header.Get("X-Prefix-Hash"), ",")
	for _, part := range parts[:len(parts)-1] {
		if name, _, _ := strings.Cut(part, ":"); s.deadly != "" && name == s.deadly {
			s.note("crash", id)
			_ = http.NewResponseController(w).Flush()
			os.Exit(exitNotRun)
		}
	}
}

// begin notes a run. It returns whether its answer is lost, and whether the run is accepted: one
// that goes on from a copy needs that.
func (s *server) begin(id, from string, stop context.CancelFunc) (lose, accepted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from != "" {
		if !s.copies[from] {
			return false, false
		}
		delete(s.copies, from)
	}
	s.runs++
	s.running[id], s.stops[id] = 0, stop
	return s.loseEach > 0 && s.runs%s.loseEach == 0, true
}

// move copies a run to another worker, and stops it before if that is asked for.
func (s *server) move(w http.ResponseWriter, r *http.Request) {
	var order struct {
		ID, To string
		Last   bool
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	events, runs := s.running[order.ID]
	stop := s.stops[order.ID]
	s.handles++
	handle := fmt.Sprintf("h%d-%d", s.born, s.handles)
	s.mu.Unlock()
	if !runs {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if order.Last {
		s.note("stopped-by-order", order.ID)
		stop()
	}
	time.Sleep(30 * time.Millisecond)
	response, err := http.Post("http://"+order.To+"/copied", "text/plain", strings.NewReader(s.address+"/"+handle))
	if err != nil || response.StatusCode != http.StatusOK {
		w.WriteHeader(http.StatusServiceUnavailable)
	} else {
		s.note("copied", order.ID)
	}
	if err == nil {
		_ = response.Body.Close()
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"handle": handle, "createRev": events})
}

// copied takes the copy of a run.
func (s *server) copied(_ http.ResponseWriter, r *http.Request) {
	from, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copies[string(from)] = true
}

func (s *server) end(id string) {
	s.note("end", id)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, id)
	delete(s.stops, id)
}

// reset resets the connection of a request.
func (s *server) reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// answer writes the answer to a call in two halves, as a worker that makes it piece by piece.
func (s *server) answer(w http.ResponseWriter, id string) {
	body := answerTo(id)
	half := len(body) / 2
	_, _ = io.WriteString(w, body[:half])
	if s.unframed {
		_ = http.NewResponseController(w).Flush()
		time.Sleep(s.work)
	}
	_, _ = io.WriteString(w, body[half:])
}

// answerTo returns the whole body of the answer to a call.
func answerTo(id string) string {
	return "answer to " + id + " " + strings.Repeat("a", 700) + " end"
}

// stream writes the events of a stream.
func (s *server) stream(ctx context.Context, w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	first := 0
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	for n := first; n < s.events; n++ {
		select {
		case <-time.After(s.gap):
		case <-ctx.Done():
			panic(http.ErrAbortHandler)
		}
		text := fmt.Sprintf("id: %d\ndata: %s %d of %d ", n, id, n+1, s.events)
		_, _ = io.WriteString(w, text+strings.Repeat("a", max(0, s.padding-len(text)))+"\n\n")
		if http.NewResponseController(w).Flush() != nil && !s.keep {
			return
		}
		s.mu.Lock()
		s.running[id] = n + 1
		s.mu.Unlock()
	}
	s.note("finished", id)
}
