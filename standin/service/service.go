// Package service is the stand-in for a plain service, that is, an upstream that
// isn't a model engine. It executes every request and counts the executions
// (runs) by Idempotency-Key, so that a test can compare the responses that
// clients received with what happened. It doesn't deduplicate by key.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const maxBodyBytes = 4 << 20

// Faults are the fault settings of the service. The zero value means no faults.
type Faults struct {
	// DelayMS delays each execution, in milliseconds.
	DelayMS int64 `json:"delay-ms"`
	// LoseResponses is the number of further requests that are executed but whose
	// response is lost: the connection is aborted. It counts down with each.
	LoseResponses int `json:"lose-answers"`
	// Refuse answers 503 without executing the request.
	Refuse bool `json:"refuse"`
	// Freeze holds requests back before they are executed, also those whose
	// client has disconnected, until Freeze is false.
	Freeze bool `json:"freeze"`
	// Status is the status of the responses to executed requests; 0 means 200.
	Status int `json:"status"`
}

// KeyRuns is the number of executions with one Idempotency-Key.
type KeyRuns struct {
	Key  string `json:"key"`
	Runs int    `json:"runs"`
}

// Counts are totals since the service was created. Requests without a key are
// counted under the empty key.
type Counts struct {
	// Calls counts the requests whose body was read, whether executed or not.
	Calls int `json:"calls"`
	// RunsByKey is sorted by key.
	RunsByKey []KeyRuns `json:"runs-by-key"`
}

// Response is the body of a response.
type Response struct {
	// Run is the sequence number of the execution over all keys, from 1.
	Run    int    `json:"run"`
	Method string `json:"method"`
	// Path is the path and query of the request.
	Path string `json:"path"`
	Key  string `json:"key"`
	Body string `json:"body"`
}

// Service is the plain service stand-in. It is an http.Handler.
type Service struct {
	mux *http.ServeMux

	mu     sync.Mutex
	faults Faults
	// faultsChanged is closed and replaced by SetFaults.
	faultsChanged chan struct{}
	calls         int
	runs          int
	runsByKey     map[string]int
}

// New returns a service without faults.
func New() *Service {
	s := &Service{mux: http.NewServeMux(), faultsChanged: make(chan struct{}), runsByKey: map[string]int{}}
	s.mux.HandleFunc("POST /faults", s.serveFaults)
	s.mux.HandleFunc("GET /counts", s.serveCounts)
	s.mux.HandleFunc("/", s.serveCall)
	return s
}

// ServeHTTP executes requests, and serves POST /faults and GET /counts.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// SetFaults replaces the faults, as POST /faults does. Requests held back go on
// unless the new faults freeze them too.
func (s *Service) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	close(s.faultsChanged)
	s.faultsChanged = make(chan struct{})
}

// Counts returns the totals so far.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := Counts{Calls: s.calls, RunsByKey: []KeyRuns{}}
	for key, runs := range s.runsByKey {
		counts.RunsByKey = append(counts.RunsByKey, KeyRuns{Key: key, Runs: runs})
	}
	slices.SortFunc(counts.RunsByKey, func(a, b KeyRuns) int { return strings.Compare(a.Key, b.Key) })
	return counts
}

// Runs returns the number of executions with the key.
func (s *Service) Runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runsByKey[key]
}

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
}

func (s *Service) serveCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Counts())
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	faults := s.countAndWait()
	if faults.Refuse {
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	time.Sleep(time.Duration(faults.DelayMS) * time.Millisecond)
	key := r.Header.Get("Idempotency-Key")
	run, lost := s.run(key)
	if lost {
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	if faults.Status != 0 {
		status = faults.Status
	}
	writeJSON(w, status, Response{Run: run, Method: r.Method, Path: r.URL.RequestURI(), Key: key, Body: string(body)})
}

// countAndWait counts a request, waits while the service is frozen and returns
// the faults that apply to it.
func (s *Service) countAndWait() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	for s.faults.Freeze {
		changed := s.faultsChanged
		s.mu.Unlock()
		<-changed
		s.mu.Lock()
	}
	return s.faults
}

// run executes a request by counting it. It returns the sequence number of the
// execution and whether the response is to be lost.
func (s *Service) run(key string) (run int, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs++
	s.runsByKey[key]++
	if s.faults.LoseResponses > 0 {
		s.faults.LoseResponses--
		return s.runs, true
	}
	return s.runs, false
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
