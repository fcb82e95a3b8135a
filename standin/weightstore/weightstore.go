// Package weightstore stands in for the platform's weight store in tests and
// demonstrations. docs/PROTOCOLS.md has its calls and faults.
package weightstore

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/standin/switcher"
	"golang.org/x/time/rate"
)

// Faults are the faults that the store shows. The zero value means none.
type Faults struct {
	Down bool `json:"down"`
	// LoadsPerMinute limits the loads of all models and regions together; 0
	// means no limit.
	LoadsPerMinute float64 `json:"loads-per-minute"`
}

// Counts is what the store saw.
type Counts struct {
	Granted int `json:"granted"`
	Limited int `json:"limited"`
}

// Store is the stand-in. It is an http.Handler.
type Store struct {
	mux    *http.ServeMux
	faults *switcher.Switcher[Faults]

	mu sync.Mutex
	// limiter is nil while loads are not limited.
	limiter *rate.Limiter
	counts  Counts
}

// New returns a store without faults.
func New() *Store {
	s := &Store{mux: http.NewServeMux()}
	s.faults = switcher.New(s.limit)
	s.mux.Handle("POST /faults", s.faults)
	s.mux.HandleFunc("GET /counts", s.serveCounts)
	s.mux.HandleFunc("POST /reserve", s.serveReserve)
	return s
}

// ServeHTTP serves the calls of the store.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// SetFaults replaces the faults, as POST /faults does.
func (s *Store) SetFaults(faults Faults) {
	s.faults.Set(faults)
}

func (s *Store) limit(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter = nil
	if faults.LoadsPerMinute > 0 {
		s.limiter = rate.NewLimiter(rate.Limit(faults.LoadsPerMinute/60), 1)
	}
}

// reserve returns how long the caller has to wait; 0 grants the load.
func (s *Store) reserve(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limiter == nil {
		s.counts.Granted++
		return 0
	}
	reservation := s.limiter.ReserveN(now, 1)
	wait := reservation.DelayFrom(now)
	if wait > 0 {
		reservation.CancelAt(now)
		s.counts.Limited++
		return wait
	}
	s.counts.Granted++
	return 0
}

func (s *Store) serveCounts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	counts := s.counts
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, counts)
}

func (s *Store) serveReserve(w http.ResponseWriter, r *http.Request) {
	if s.faults.Faults().Down {
		http.Error(w, "the weight store is down", http.StatusServiceUnavailable)
		return
	}
	var request struct {
		Model  currantwood.ModelID  `json:"model"`
		Region currantwood.RegionID `json:"region"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	type answer struct {
		Granted     bool    `json:"granted"`
		WaitSeconds float64 `json:"wait-seconds,omitempty"`
	}
	if wait := s.reserve(time.Now()); wait > 0 {
		writeJSON(w, http.StatusTooManyRequests, answer{WaitSeconds: wait.Seconds()})
		return
	}
	writeJSON(w, http.StatusOK, answer{Granted: true})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that has gone needs no answer.
	_ = json.NewEncoder(w).Encode(body)
}
