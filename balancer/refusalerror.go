package balancer

import "time"

// RefusalError says that no upstream may be chosen.
type RefusalError struct {
	// RetryAfter estimates the time until an upstream's queue of prompts is short
	// enough for Query.MaxPrefillWait; 0 if no upstream was ruled out for its
	// queue.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusalError) Error() string {
	if e.RetryAfter > 0 {
		return "no upstream reads the prompt in time"
	}
	return "no upstream"
}

// lowerRetryAfter sets RetryAfter to excess, the excess wait of an upstream, if
// RetryAfter is unset or longer than excess.
func (e *RefusalError) lowerRetryAfter(excess time.Duration) {
	if e.RetryAfter == 0 || excess < e.RetryAfter {
		e.RetryAfter = excess
	}
}
