package replayer

import (
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/tracer"
)

// flight is one caller's request over all its attempts.
type flight struct {
	index   int
	id      currantwood.RequestID
	request *tracer.Request
	entry   *entry
	// arrived is the first arrival, attempted the last.
	arrived   time.Time
	attempted time.Time
	deadline  time.Time
	// engine is where it is now; nil while at the entry or with the caller.
	engine *engine
	// admitted says that the entry's limiter counts it.
	admitted bool
	// tried are the engines that refused this attempt.
	tried []*engine
	// retryAfter is the shortest that a side named in this attempt; 0 is none.
	retryAfter time.Duration
	// promised says that the attempt comes in a slot of its customer.
	promised bool
	// cameBack says that the caller was refused and has come back.
	cameBack bool
	// started says that an engine runs or ran it in this attempt.
	started   bool
	startedAt time.Time
	over      bool
	tokens    int
	// inSpan counts the tokens that came before the last arrival.
	inSpan    int
	lastToken time.Time
	stall     time.Duration
	tokenSecs float64
}

// demand is what the policy may know.
func (f *flight) demand() currantwood.Demand {
	class := currantwood.ClassStream
	if f.request.IsCheck() {
		class = currantwood.ClassCheck
	}
	return currantwood.Demand{
		Request:      f.id,
		Customer:     f.request.Customer,
		Rule:         f.request.Rule,
		Class:        class,
		Priority:     f.request.Priority,
		Model:        f.request.Model,
		PromptTokens: f.request.PromptTokens,
		Prefix:       f.request.PrefixID,
		Deadline:     f.deadline,
		Region:       f.request.Region,
		Promised:     f.promised,
		Refused:      len(f.tried),
	}
}

// fingerprint stands for a hash of the input.
func (f *flight) fingerprint() currantwood.Fingerprint {
	return currantwood.Fingerprint(f.index + 1)
}

func (f *flight) hasTried(e *engine) bool {
	for _, other := range f.tried {
		if other == e {
			return true
		}
	}
	return false
}

// arrive takes in a caller's attempt.
func (r *Replayer) arrive(f *flight) {
	if f.over {
		return
	}
	f.attempted = r.now
	f.tried = f.tried[:0]
	f.retryAfter = 0
	r.measure.arrivals++
	f.promised = f.entry.promised(r.now, f)
	if refusal := f.entry.admit(r.now, f.demand()); refusal != nil {
		r.refuse(f, refusal.RetryAfter)
		return
	}
	f.admitted = true
	r.route(f)
}

// maxTries bounds the sides that one attempt asks.
const maxTries = 3

// route sends an attempt to a side.
func (r *Replayer) route(f *flight) {
	e := f.entry.pick(r, f)
	if e == nil || len(f.tried) >= maxTries {
		r.refuse(f, f.retryAfter)
		return
	}
	if len(f.tried) > 0 {
		r.measure.retries++
	}
	f.engine = e
	f.entry.inFlight[e.index]++
	r.after(r.delay(f.entry.region, e.region), func() { r.offer(e, f) })
}

// declined takes in that a side refused an attempt.
func (r *Replayer) declined(e *engine, f *flight, retryAfter time.Duration) {
	r.after(r.delay(e.region, f.entry.region), func() {
		if f.over || f.engine != e {
			return
		}
		r.detach(f)
		f.tried = append(f.tried, e)
		if f.retryAfter == 0 || retryAfter < f.retryAfter {
			f.retryAfter = retryAfter
		}
		r.route(f)
	})
}

func (r *Replayer) detach(f *flight) {
	if f.engine != nil {
		f.entry.inFlight[f.engine.index]--
		f.engine = nil
	}
}

// usualRetryAfter is what a caller is told where no side named a time.
const usualRetryAfter = time.Second

// refuse gives the caller a final refusal of this attempt. The caller comes
// back when it was told to, unless that is past its deadline.
func (r *Replayer) refuse(f *flight, retryAfter time.Duration) {
	r.leaveEntry(f)
	r.measure.refused++
	if f.cameBack {
		r.measure.comeBacks++
	}
	if retryAfter <= 0 {
		retryAfter = usualRetryAfter
	}
	retryAfter = f.entry.comeBack(r.now, f, retryAfter)
	f.cameBack = true
	if r.now.Add(retryAfter).Before(f.deadline) {
		r.after(retryAfter, func() { r.arrive(f) })
		return
	}
	r.end(f)
	r.measure.neverServed++
}

// leaveEntry tells the limiter that an attempt is over.
func (r *Replayer) leaveEntry(f *flight) {
	if f.admitted {
		f.entry.done(r.now, f)
		f.admitted = false
	}
}

// start notes that an engine runs the attempt.
func (r *Replayer) start(f *flight) {
	f.started = true
	f.startedAt = r.now
	r.measure.started++
	if f.cameBack {
		r.measure.comeBacks++
		r.measure.comeBacksServed++
	}
}

// token takes in a token as the caller sees it.
func (r *Replayer) token(f *flight, at time.Time) {
	if f.tokens == 0 {
		r.measure.first(f, at)
	} else {
		r.measure.gap(f, at.Sub(f.lastToken))
	}
	f.lastToken = at
	f.tokens++
	if !at.After(r.spanEnd()) {
		f.inSpan++
	}
}

func (r *Replayer) spanEnd() time.Time { return traceStart.Add(r.scaled(r.trace.Span())) }

// complete ends a flight whose answer is whole.
func (r *Replayer) complete(f *flight, at time.Time) {
	r.measure.complete(f, at)
	if !f.request.IsCheck() {
		f.entry.finished(r.now)
	}
	r.leaveEntry(f)
	r.detach(f)
	r.end(f)
}

// expire ends a flight at its deadline.
func (r *Replayer) expire(f *flight) {
	if f.over {
		return
	}
	if e := f.engine; e != nil {
		e.batch.Cancel(streamOf(f))
		r.apply(e, e.gate.cancel(r.now, f.id))
	}
	r.measure.neverServed++
	r.leaveEntry(f)
	r.detach(f)
	r.end(f)
}

func (r *Replayer) end(f *flight) {
	f.over = true
	r.open--
}
