// Package switcher keeps the fault settings of a stand-in and lets a test or a
// person replace them by an HTTP call.
package switcher

import (
	"encoding/json"
	"net/http"
	"sync"
)

// maxBodyBytes bounds the body of a call that replaces the settings.
const maxBodyBytes = 64 << 10

// Switcher holds one set of fault settings. F is a struct with JSON tags; its
// zero value means no faults.
type Switcher[F any] struct {
	mu     sync.Mutex
	faults F
	// changed is told of new settings under no lock; it may be nil.
	changed func(F)
}

// New returns a switcher without faults. The function, where it is not nil, is
// called with each new set.
func New[F any](changed func(F)) *Switcher[F] {
	return &Switcher[F]{changed: changed}
}

// Faults returns the settings in force.
func (s *Switcher[F]) Faults() F {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Set replaces the settings.
func (s *Switcher[F]) Set(faults F) {
	s.mu.Lock()
	s.faults = faults
	s.mu.Unlock()
	if s.changed != nil {
		s.changed(faults)
	}
}

// ServeHTTP replaces the settings by the JSON object in the body. Unknown keys
// are refused, so that a mistyped fault does not pass for a healthy run.
func (s *Switcher[F]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	var faults F
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Set(faults)
	w.WriteHeader(http.StatusNoContent)
}
