package discoverer

import (
	"sync"
	"time"
)

// schedule decides when a gateway announces itself.
type schedule struct {
	// settle is how long a gateway is the collector before it announces itself.
	settle time.Duration
	// mu protects the fields below.
	mu sync.Mutex
	// since is since when the gateway has been the collector; zero while it isn't.
	since time.Time
	// at is when it announced itself last; zero if it hasn't, or the store may have lost that.
	at time.Time
}

// due reports whether an announcement is due. collects is whether the gateway is the collector.
func (s *schedule) due(now time.Time, collects bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !collects {
		s.since = time.Time{}
		return false
	}
	if s.since.IsZero() {
		s.since = now
	}
	return now.Sub(s.since) >= s.settle && (s.at.IsZero() || now.Sub(s.at) >= Interval)
}

// announced notes an announcement that began at a time.
func (s *schedule) announced(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at = now
}

// forget makes an announcement due at once if the gateway is the collector.
func (s *schedule) forget() { s.announced(time.Time{}) }
