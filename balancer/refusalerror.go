package balancer

import (
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/noticekeeper"
)

// RefusalError says that no upstream may be chosen.
type RefusalError struct {
	// RetryAfter estimates the time until an upstream's queue of prompts is short
	// enough for Query.MaxPrefillWait, or until this gateway may send an upstream with a
	// rate limit or one that pauses another request; 0 if no upstream was ruled out for
	// any of these.
	RetryAfter time.Duration
	// RateLimited is the upstream whose rate limit RetryAfter is from; empty if none is.
	RateLimited currantwood.UpstreamID
	// Paused is whether RetryAfter is the end of an upstream's pause.
	Paused bool
	// Cold is the cold upstream whose rate RetryAfter is from; empty if none is.
	Cold currantwood.UpstreamID
	// Evacuated counts the upstreams that were ruled out since their availability zone is
	// evacuated, and OutsideRegions those outside the regions of the request.
	Evacuated, OutsideRegions int
	// Full is whether an engine was ruled out only as it lacks a free slot, memory or a
	// short queue of prompts now, or is cold and accepts no more requests this second, so
	// that waiting may help.
	Full bool
}

// Error implements error.
func (e *RefusalError) Error() string {
	switch {
	case e.RateLimited != "":
		return "no upstream accepts more requests a second"
	case e.Cold != "":
		return "cold upstreams accept no more requests a second"
	case e.Paused:
		return "all upstreams pause"
	case e.RetryAfter > 0:
		return "no upstream reads the prompt in time"
	case e.Evacuated > 0:
		return "no upstream outside the evacuated zones"
	case e.OutsideRegions > 0:
		return "no upstream in the allowed regions"
	}
	return "no upstream"
}

// lowerRetryAfter sets RetryAfter to excess, the excess wait of an upstream, if
// RetryAfter is unset or longer than excess. It reports whether it did.
func (e *RefusalError) lowerRetryAfter(excess time.Duration) bool {
	if e.RetryAfter > 0 && excess >= e.RetryAfter {
		return false
	}
	e.RetryAfter, e.RateLimited, e.Paused, e.Cold = excess, "", false, ""
	return true
}

// lowerRetryAfterNotice is lowerRetryAfter for an upstream that accepts no request now by
// what it has said. Without a time until it does, Verdict.Wait, it doesn't count.
func (e *RefusalError) lowerRetryAfterNotice(id currantwood.UpstreamID, verdict noticekeeper.Verdict) {
	if verdict.Reason == noticekeeper.Evacuated {
		e.Evacuated++
	}
	if verdict.Wait == 0 || !e.lowerRetryAfter(verdict.Wait) {
		return
	}
	switch verdict.Reason {
	case noticekeeper.Paused:
		e.Paused = true
	case noticekeeper.Cold:
		e.Cold, e.Full = id, true
	default:
		e.RateLimited = id
	}
}
