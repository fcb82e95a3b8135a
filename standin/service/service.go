// Package service is a stand-in for a plain service. It runs every call that
// reaches it and counts the runs of each Idempotency-Key, so that a test can
// compare what callers were told with what happened. It checks no keys itself.
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

// Faults says how the stand-in misbehaves. The zero value is a healthy service.
type Faults struct {
	// DelayMS is waited before each run.
	DelayMS int64 `json:"delay-ms"`
	// LoseAnswers counts down: that many next calls run and lose the answer.
	LoseAnswers int `json:"lose-answers"`
	// Refuse answers 503 without a run.
	Refuse bool `json:"refuse"`
	// Freeze holds calls back before their run, also those whose caller has
	// gone, until the faults are replaced.
	Freeze bool `json:"freeze"`
	// Status replaces 200 as the status of answers when it is not 0.
	Status int `json:"status"`
}

// KeyRuns is how often one key ran.
type KeyRuns struct {
	Key  string `json:"key"`
	Runs int    `json:"runs"`
}

// Counts is what the stand-in saw. Calls without a key stand under the empty
// key.
type Counts struct {
	// Calls counts the calls that arrived, with those that never ran.
	Calls int `json:"calls"`
	// RunsByKey is sorted by key.
	RunsByKey []KeyRuns `json:"runs-by-key"`
}

// Answer is the body of an answer.
type Answer struct {
	// Run counts all runs of the stand-in, from 1.
	Run    int    `json:"run"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Key    string `json:"key"`
	Body   string `json:"body"`
}

// Service is an http.Handler.
type Service struct {
	mux *http.ServeMux

	mu     sync.Mutex
	faults Faults
	// changed is closed and replaced whenever faults is.
	changed chan struct{}
	calls   int
	runs    int
	byKey   map[string]int
}

// New returns a healthy service that has run nothing.
func New() *Service {
	s := &Service{mux: http.NewServeMux(), changed: make(chan struct{}), byKey: map[string]int{}}
	s.mux.HandleFunc("POST /faults", s.serveFaults)
	s.mux.HandleFunc("GET /counts", s.serveCounts)
	s.mux.HandleFunc("/", s.serveCall)
	return s
}

// ServeHTTP answers calls and the stand-in's own two paths.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// SetFaults replaces the faults and lets frozen calls go on.
func (s *Service) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	close(s.changed)
	s.changed = make(chan struct{})
}

// Counts returns what was seen so far.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := Counts{Calls: s.calls, RunsByKey: []KeyRuns{}}
	for key, runs := range s.byKey {
		counts.RunsByKey = append(counts.RunsByKey, KeyRuns{Key: key, Runs: runs})
	}
	slices.SortFunc(counts.RunsByKey, func(a, b KeyRuns) int { return strings.Compare(a.Key, b.Key) })
	return counts
}

// Runs returns how often the key ran.
func (s *Service) Runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byKey[key]
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
	faults := s.arrive()
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
	writeJSON(w, status, Answer{Run: run, Method: r.Method, Path: r.URL.RequestURI(), Key: key, Body: string(body)})
}

// arrive counts a call and waits while the service is frozen.
func (s *Service) arrive() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	for s.faults.Freeze {
		changed := s.changed
		s.mu.Unlock()
		<-changed
		s.mu.Lock()
	}
	return s.faults
}

// run counts a run and says whether its answer gets lost.
func (s *Service) run(key string) (run int, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs++
	s.byKey[key]++
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return s.runs, true
	}
	return s.runs, false
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
