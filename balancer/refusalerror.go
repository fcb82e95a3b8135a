package balancer

import "time"

// RefusalError says that no upstream may be chosen.
type RefusalError struct {
	// RetryAfter estimates the time until the first of the upstreams that would read
	// the prompt too late can read it in time; 0 if none was refused for that.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusalError) Error() string {
	if e.RetryAfter > 0 {
		return "no upstream reads the prompt in time"
	}
	return "no upstream"
}

// observe lowers Wait to the excess of an upstream if that is shorter.
func (e *RefusalError) observe(excess time.Duration) {
	if e.RetryAfter == 0 || excess < e.RetryAfter {
		e.RetryAfter = excess
	}
}
