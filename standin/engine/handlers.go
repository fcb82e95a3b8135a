package engine

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/standin/batcher"
)

// routes registers the API that docs/PROTOCOLS.md describes.
func (e *Engine) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams", e.start)
	mux.HandleFunc("GET /v1/streams/{id}", e.resume)
	mux.HandleFunc("DELETE /v1/streams/{id}", e.cancel)
	mux.HandleFunc("POST /v1/streams/{id}/pause", e.pause)
	mux.HandleFunc("POST /v1/streams/{id}/unpause", e.unpause)
	mux.HandleFunc("GET /load", e.load)
	mux.HandleFunc("GET /cache-events", e.cacheEvents)
	mux.HandleFunc("POST /orders", e.order)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	return mux
}

// ServeHTTP serves the API. A crashed engine aborts the connection; a frozen one
// doesn't respond. /faults and /counts always respond.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/faults":
		e.setFaults(w, r)
		return
	case "/counts":
		writeJSON(w, e.Counts())
		return
	}
	e.waitWhileFrozen(r)
	if e.isDown(time.Now()) {
		panic(http.ErrAbortHandler)
	}
	e.mux.ServeHTTP(w, r)
}

func (e *Engine) waitWhileFrozen(r *http.Request) {
	e.mu.Lock()
	unfrozen := e.unfrozen
	e.mu.Unlock()
	select {
	case <-unfrozen:
	case <-r.Context().Done():
	case <-e.stop:
	}
}

func (e *Engine) isDown(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return now.Before(e.downUntil)
}

func (e *Engine) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, "faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(faults)
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Freeze && !faults.Freeze {
		close(e.unfrozen)
	}
	if !e.faults.Freeze && faults.Freeze {
		e.unfrozen = make(chan struct{})
	}
	e.faults = faults
	e.signalWork()
}

// Counts returns the totals over all incarnations.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts, totals := e.counts, e.totals()
	counts.Tokens = totals.Tokens
	counts.Preemptions = totals.Preemptions
	counts.Pauses = totals.Pauses
	counts.RepeatedTokens = totals.RepeatedTokens
	return counts
}

// signalWork wakes an idle step loop. It never blocks, and the caller need not
// hold mu.
func (e *Engine) signalWork() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *Engine) start(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return
	}
	job := parseJob(r, body)
	if job.Stream == "" {
		http.Error(w, "X-Stream-Id is missing", http.StatusBadRequest)
		return
	}
	s, incarnation, status := e.addStream(job, body)
	switch status {
	case http.StatusOK:
		e.relay(w, r, s, incarnation, 0)
	case 0:
		panic(http.ErrAbortHandler)
	default:
		http.Error(w, http.StatusText(status), status)
	}
}

// addStream starts a stream with one reader. It returns the stream, the
// incarnation and the response's status; status 0 means that the engine crashed
// on the body.
func (e *Engine) addStream(job batcher.Job, body []byte) (*stream, chan struct{}, int) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Reject {
		return nil, nil, http.StatusServiceUnavailable
	}
	if _, known := e.streams[job.Stream]; known {
		return nil, nil, http.StatusConflict
	}
	e.counts.Streams++
	if e.faults.CrashOn != "" && bytes.Contains(body, []byte(e.faults.CrashOn)) {
		e.crash(now)
		return nil, nil, 0
	}
	s := &stream{id: job.Stream, idHash: hashID(job.Stream), readers: 1, changed: make(chan struct{})}
	e.streams[job.Stream] = s
	e.batch.Add(job)
	e.signalWork()
	return s, e.incarnation, http.StatusOK
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.FormValue("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: "+err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	s, known := e.streams[streamID(r)]
	if known {
		s.readers++
	}
	incarnation := e.incarnation
	e.mu.Unlock()
	if !known {
		http.NotFound(w, r)
		return
	}
	e.relay(w, r, s, incarnation, from)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	id := streamID(r)
	e.mu.Lock()
	defer e.mu.Unlock()
	s, known := e.streams[id]
	if !known {
		http.NotFound(w, r)
		return
	}
	e.batch.Cancel(id)
	delete(e.streams, id)
	if !s.done {
		e.counts.Canceled++
	}
	s.canceled = true
	s.notifyReaders()
}

func (e *Engine) pause(w http.ResponseWriter, r *http.Request) {
	e.applyToStream(w, r, func(id currantwood.EngineStreamID) { e.batch.Pause(id) })
}

func (e *Engine) unpause(w http.ResponseWriter, r *http.Request) {
	e.applyToStream(w, r, func(id currantwood.EngineStreamID) { e.batch.Unpause(id) })
}

// applyToStream calls apply with the id of a known stream, or answers 404. apply
// does nothing to a complete stream.
func (e *Engine) applyToStream(w http.ResponseWriter, r *http.Request, apply func(currantwood.EngineStreamID)) {
	id := streamID(r)
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, known := e.streams[id]; !known {
		http.NotFound(w, r)
		return
	}
	apply(id)
	e.signalWork()
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	load := e.laggedLoad(time.Now())
	e.mu.Unlock()
	writeJSON(w, load)
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	e.mu.Lock()
	events := e.batch.CacheEvents(after)
	share := e.faults.DropEvents
	e.mu.Unlock()
	writeJSON(w, dropEvents(events, share))
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var order currantwood.EngineOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, "order: "+err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if stale := order.Fencing < e.highestFencing; stale {
		if e.faults.CheckFencing {
			http.Error(w, "a higher fencing number was seen", http.StatusConflict)
			return
		}
		e.counts.StaleOrders++
	}
	e.highestFencing = max(e.highestFencing, order.Fencing)
	e.applyOrder(order)
}

func (e *Engine) applyOrder(order currantwood.EngineOrder) {
	e.counts.Orders++
	switch order.KindText {
	case currantwood.OrderLoadModel.String():
		e.model = order.Model
	case currantwood.OrderSetVersion.String():
		e.version = order.Version
	case currantwood.OrderSetPool.String():
		e.pool = order.Pool
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
