// Package switcher holds the fault settings of the log service and VM list
// stand-ins, which tests and operators replace by an HTTP request.
package switcher

import (
	"encoding/json"
	"net/http"
	"sync"
)

// maxBodyBytes is the maximum size of a request that replaces the settings.
const maxBodyBytes = 64 << 10

// Switcher holds one set of fault settings. F is a struct with JSON tags; its
// zero value means no faults.
type Switcher[F any] struct {
	mu     sync.Mutex
	faults F
	// onChange is called with new settings, without mu held; it may be nil.
	onChange func(F)
}

// New returns a switcher without faults. If onChange is not nil, it is called
// with the new settings on each replacement; it must then be safe for concurrent
// use.
func New[F any](onChange func(F)) *Switcher[F] {
	return &Switcher[F]{onChange: onChange}
}

// Faults returns the current settings.
func (s *Switcher[F]) Faults() F {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Set replaces the settings and calls the function given to New.
func (s *Switcher[F]) Set(faults F) {
	s.mu.Lock()
	s.faults = faults
	s.mu.Unlock()
	if s.onChange != nil {
		s.onChange(faults)
	}
}

// ServeHTTP replaces the settings by the JSON object in the body. It answers 400
// to unknown keys, as a test with a misspelled fault would otherwise run without
// that fault.
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
