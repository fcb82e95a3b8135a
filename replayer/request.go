package replayer

import (
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/tracer"
)

// clientRequest is a client's request over all its attempts. An attempt lasts from
// its arrival at the entry until it is refused or the request ends.
type clientRequest struct {
	// index is the position of the request in the trace.
	index  int
	id     currantwood.RequestID
	traced *tracer.Request
	entry  *entry
	// arrived is the time of the first attempt, attempted that of the last.
	arrived   time.Time
	attempted time.Time
	deadline  time.Time
	// engine is set from when the entry sends the request to the engine's side until
	// the side's refusal reaches the entry or the request ends; otherwise nil.
	engine *engine
	// admitted is true while the entry's limiter counts the request.
	admitted bool
	// tried are the engines whose sides refused this attempt.
	tried []*engine
	// retryAfter is the shortest retry delay that a side stated in this attempt, or 0
	// if none did. A refusal without a delay resets it to 0.
	retryAfter time.Duration
	// promised is true if the attempt was made in the slot assigned to the request.
	promised bool
	// refusedBefore is true once an attempt was refused.
	refusedBefore bool
	// started is true once an admission has sent the request to its engine, startedAt
	// is when one last did.
	started   bool
	startedAt time.Time
	done      bool
	// tokens is the number of output tokens so far, tokensInSpan that of the tokens
	// that the client received no later than spanEnd.
	tokens       int
	tokensInSpan int
	lastTokenAt  time.Time
	// stall is the sum of the stall times so far; see stallThreshold.
	stall        time.Duration
	tokenSeconds float64
}

// demand returns what a policy may know of the request. The output length is not
// part of it.
func (req *clientRequest) demand() currantwood.Demand {
	class := currantwood.ClassStream
	if req.traced.IsCheck() {
		class = currantwood.ClassCheck
	}
	return currantwood.Demand{
		Request:      req.id,
		Customer:     req.traced.Customer,
		Rule:         req.traced.Rule,
		Class:        class,
		Priority:     req.traced.Priority,
		Model:        req.traced.Model,
		PromptTokens: req.traced.PromptTokens,
		Prefix:       req.traced.PrefixID,
		Deadline:     req.deadline,
		Region:       req.traced.Region,
		Promised:     req.promised,
		Refused:      len(req.tried),
	}
}

// fingerprint returns a unique number other than 0 in place of a hash of the input.
func (req *clientRequest) fingerprint() currantwood.Fingerprint {
	return currantwood.Fingerprint(req.index + 1)
}

func (req *clientRequest) hasTried(e *engine) bool {
	for _, other := range req.tried {
		if other == e {
			return true
		}
	}
	return false
}

// handleAttempt processes a client's first attempt or retry at its entry.
func (r *Replayer) handleAttempt(req *clientRequest) {
	if req.done {
		return
	}
	req.attempted = r.now
	req.tried = req.tried[:0]
	req.retryAfter = 0
	r.metrics.attempts++
	req.promised = req.entry.takeSlot(r.now, req)
	if refusal := req.entry.admit(r.now, req.demand()); refusal != nil {
		r.refuse(req, refusal.RetryAfter)
		return
	}
	req.admitted = true
	r.route(req)
}

// maxSidesTried is the maximum number of sides to which an attempt is sent.
const maxSidesTried = 3

// route sends an attempt to a side. It refuses the attempt if no side is suitable or
// maxSidesTried sides have refused it.
func (r *Replayer) route(req *clientRequest) {
	e := req.entry.pick(r, req)
	if e == nil || len(req.tried) >= maxSidesTried {
		r.refuse(req, req.retryAfter)
		return
	}
	if len(req.tried) > 0 {
		r.metrics.sideRetries++
	}
	req.engine = e
	req.entry.inFlight[e.index]++
	r.after(r.delay(req.entry.region, e.region), func() { r.offer(e, req) })
}

// handleRefusal routes an attempt again when a side's refusal has arrived at the
// entry. A retryAfter of 0 means that the side stated no retry delay.
func (r *Replayer) handleRefusal(e *engine, req *clientRequest, retryAfter time.Duration) {
	r.after(r.delay(e.region, req.entry.region), func() {
		if req.done || req.engine != e {
			return
		}
		r.detach(req)
		req.tried = append(req.tried, e)
		if req.retryAfter == 0 || retryAfter < req.retryAfter {
			req.retryAfter = retryAfter
		}
		r.route(req)
	})
}

// detach records that a request is no longer at an engine.
func (r *Replayer) detach(req *clientRequest) {
	if req.engine != nil {
		req.entry.inFlight[req.engine.index]--
		req.engine = nil
	}
}

// defaultRetryAfter is the retry delay if no side stated one, and the one that
// streamCountAdmission states.
const defaultRetryAfter = time.Second

// refuse ends an attempt with a refusal. The client retries after the stated delay,
// or gives up if that isn't before its deadline.
func (r *Replayer) refuse(req *clientRequest, retryAfter time.Duration) {
	r.limiterDone(req)
	r.metrics.refused++
	if req.refusedBefore {
		r.metrics.clientRetries++
	}
	if retryAfter <= 0 {
		retryAfter = defaultRetryAfter
	}
	retryAfter = req.entry.assignSlot(r.now, req, retryAfter)
	req.refusedBefore = true
	if r.now.Add(retryAfter).Before(req.deadline) {
		r.after(retryAfter, func() { r.handleAttempt(req) })
		return
	}
	r.end(req)
	r.metrics.expired++
}

// limiterDone tells the limiter that an attempt has ended, if the limiter counts it.
func (r *Replayer) limiterDone(req *clientRequest) {
	if req.admitted {
		req.entry.limiterDone(r.now, req)
		req.admitted = false
	}
}

// recordStart records that an admission has sent a request to its engine.
func (r *Replayer) recordStart(req *clientRequest) {
	req.started = true
	req.startedAt = r.now
	r.metrics.starts++
	if req.refusedBefore {
		r.metrics.clientRetries++
		r.metrics.clientRetriesStarted++
	}
}

// recordToken records a token that reaches the client at the given time.
func (r *Replayer) recordToken(req *clientRequest, at time.Time) {
	if req.tokens == 0 {
		r.metrics.recordFirstToken(req, at)
	} else {
		r.metrics.recordGap(req, at.Sub(req.lastTokenAt))
	}
	req.lastTokenAt = at
	req.tokens++
	if !at.After(r.spanEnd()) {
		req.tokensInSpan++
	}
}

// spanEnd returns the time of the trace's last arrival.
func (r *Replayer) spanEnd() time.Time { return traceStart.Add(r.scaled(r.trace.Duration())) }

// complete ends a request whose response is complete. Its last token reaches the
// client at the given time.
func (r *Replayer) complete(req *clientRequest, at time.Time) {
	r.metrics.recordCompletion(req, at)
	if !req.traced.IsCheck() {
		req.entry.streamFinished(r.now)
	}
	r.limiterDone(req)
	r.detach(req)
	r.end(req)
}

// expire ends a request at its deadline unless it is done.
func (r *Replayer) expire(req *clientRequest) {
	if req.done {
		return
	}
	if e := req.engine; e != nil {
		e.batch.Cancel(streamID(req))
		r.apply(e, e.admission.cancel(r.now, req.id))
	}
	r.metrics.expired++
	r.limiterDone(req)
	r.detach(req)
	r.end(req)
}

// end marks a request as done.
func (r *Replayer) end(req *clientRequest) {
	req.done = true
	r.pending--
}
