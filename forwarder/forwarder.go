// Package forwarder sends a client's generation request to a side and passes the
// tokens back. It runs at an entry, the process that clients connect to. A side is
// the sidecar process in front of an engine.
//
// At an entry, generations are retried here and nowhere else. Until the client has
// seen a token, a failed request is retried at another upstream within its deadline;
// after that, only if the generation is lost and the client has declared that it
// understands restart events. A stream whose link or side is lost is resumed from the
// next token's index.
package forwarder

import (
	"context"
	"hash/maphash"
	"math/rand"
	"sync"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/linker"
	"github.com/currantwood/currantwood/prefixtracker"
	"github.com/currantwood/currantwood/relayer"
	"github.com/currantwood/currantwood/retrier"
	"github.com/currantwood/currantwood/sleeper"
	"github.com/currantwood/currantwood/tracker"
	"github.com/currantwood/currantwood/wire"
)

const (
	// step names this pipeline stage in refusals.
	step = "forwarder"
	// shardCount is the number of locks over the active requests.
	shardCount = 64
	// defaultRetryAfter is the RetryAfter of a refusal after an attempt that was lost or
	// ran out of time.
	defaultRetryAfter = time.Second
	// retryAfterNoUpstream is the RetryAfter of a refusal while no upstream of the
	// group can be picked.
	retryAfterNoUpstream = 2 * time.Second
)

// DefaultLimits returns the limits used in production. LostAfter leaves time for a
// replacement of the side process to start. FirstTokenLostAfter is shorter, since before
// the first token another upstream can serve the client sooner. AckEvery is well
// below the side's window, which runner.DefaultLimits sets.
func DefaultLimits() relayer.Options {
	return relayer.Options{
		ResumeAfter:         time.Second,
		LostAfter:           15 * time.Second,
		FirstTokenLostAfter: 2500 * time.Millisecond,
		AckEvery:            64,
		RetryAfter:          defaultRetryAfter,
	}
}

// DefaultRetryOptions returns the retry options used in production, except Share, which the
// caller sets; 0 means the default of retrier. Reserve allows an entry to retry all
// requests that it had at one lost engine, if these were at most 64.
func DefaultRetryOptions() retrier.Options {
	return retrier.Options{MaxBudget: 64, MaxAttempts: 4}
}

// Options configures a Forwarder.
type Options struct {
	// Tracker knows the links to the upstreams, their load and health.
	Tracker *tracker.Tracker
	// Picker selects the upstream of each attempt.
	Picker currantwood.Picker
	// Prefixes estimates which upstreams have a prompt's prefix cached.
	Prefixes *prefixtracker.Tracker
	// RequestLink requests a link to an upstream for a limited time, longer than
	// linkRequestInterval, and doesn't wait for it. Forwarder.HandleLinkUp must be called
	// once the link is up.
	RequestLink func(now time.Time, upstream currantwood.UpstreamID)
	// Quarantine refuses requests that crash upstreams; nil refuses none.
	Quarantine Quarantine
	// Retries limits the retries after an attempt that may have run. Its MaxAttempts
	// also counts the attempts that did not run.
	Retries retrier.Options
	// Random is the source of retry delays.
	Random *rand.Rand
	// NewGeneration returns a new, unique generation ID.
	NewGeneration func() currantwood.GenerationID
	// Limits apply to each request. RestartDeclared and Whole are overwritten for
	// each one.
	Limits relayer.Options
	// IdleInterval is the time between calls of Idle of a sink that receives no tokens; > 0.
	IdleInterval time.Duration
}

// Quarantine records which requests crash upstreams.
type Quarantine interface {
	// Check returns a refusal if the request is quarantined, otherwise nil.
	Check(now time.Time, fingerprint currantwood.Fingerprint) *currantwood.Refusal
	// Announce tells a side if the request is suspected of crashing upstreams. It is
	// called before the request's start is sent on the same link.
	Announce(now time.Time, link *linker.Link, fingerprint currantwood.Fingerprint)
}

// Request is a client's request for one generation.
type Request struct {
	Demand      currantwood.Demand
	Group       currantwood.GroupID
	Fingerprint currantwood.Fingerprint
	Body        []byte
	// Resume is the position from which a reconnected client continues; nil for a
	// new request.
	Resume *currantwood.Position
	// Admit is called before a new generation is started for a reconnected client.
	// It returns nil to admit the request; a nil Admit admits all.
	Admit func(now time.Time) *currantwood.Refusal
	// Streamed is true if the client reads tokens as they arrive and may reconnect
	// after its connection breaks.
	Streamed bool
	// RestartDeclared is true if the client has declared that it understands restart
	// events.
	RestartDeclared bool
}

// Completion describes a complete generation.
type Completion struct {
	// Tokens is the number of tokens.
	Tokens       currantwood.TokenIndex
	FinishReason string
	// TokenSeconds is the engine memory that the generation held, integrated over time.
	TokenSeconds currantwood.TokenSeconds
}

// Forwarder forwards requests to sides. It is safe for concurrent use.
type Forwarder struct {
	options Options
	seed    maphash.Seed

	retryMu sync.Mutex // guards retrier
	retrier *retrier.Retrier
	shards  [shardCount]shard
}

type shard struct {
	mu       sync.Mutex // guards requests
	requests map[currantwood.RequestID]*activeRequest
}

// New returns a forwarder without requests.
func New(options Options) *Forwarder {
	f := &Forwarder{options: options, seed: maphash.MakeSeed()}
	f.retrier = retrier.New(options.Retries, options.Random)
	for i := range f.shards {
		f.shards[i].requests = make(map[currantwood.RequestID]*activeRequest)
	}
	return f
}

// Forward runs a request and returns when it has ended. The refusal is nil if and only if
// the generation is complete and the sink was handed every token.
func (f *Forwarder) Forward(ctx context.Context, request Request, sink Sink) (Completion, *currantwood.Refusal) {
	ctx, cancel := context.WithDeadline(ctx, request.Demand.Deadline)
	defer cancel()
	r := newActiveRequest(f.options, request, sink)
	f.add(r)
	defer f.remove(r)
	if request.Resume != nil {
		refusal, retryable := f.resume(ctx, r)
		if !retryable {
			return r.completion, refusal
		}
	}
	return f.runWithRetries(ctx, r)
}

// resume continues the generation that a reconnected client names. It returns true if a
// new generation may be started in its place.
func (f *Forwarder) resume(ctx context.Context, r *activeRequest) (*currantwood.Refusal, bool) {
	position := r.request.Resume
	// The link is requested even if it is up: it may have been opened for another
	// client and be closed while this one still needs it.
	defer f.keepLinkRequested(ctx, position.Upstream)()
	link := f.options.Tracker.Link(position.Upstream)
	refusal, retryable := r.readRun(ctx, run{upstream: position.Upstream, link: link, generation: position.Generation, next: position.Next})
	if !retryable {
		return refusal, false
	}
	if r.request.Admit == nil {
		return nil, true
	}
	if refused := r.request.Admit(time.Now()); refused != nil {
		return refused, false
	}
	return nil, true
}

// linkRequestInterval is the time between two requests for the same link. It must be less
// than the time for which one of them keeps the link.
const linkRequestInterval = 4 * time.Second

// keepLinkRequested requests a link to an upstream now and at every linkRequestInterval
// until the returned function is called or ctx is done.
func (f *Forwarder) keepLinkRequested(ctx context.Context, upstream currantwood.UpstreamID) context.CancelFunc {
	ctx, stop := context.WithCancel(ctx)
	f.options.RequestLink(time.Now(), upstream)
	go func() {
		ticker := time.NewTicker(linkRequestInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case now := <-ticker.C:
				f.options.RequestLink(now, upstream)
			}
		}
	}()
	return stop
}

// runWithRetries attempts the request at one upstream after the other until a generation
// is complete or no retry is allowed.
func (f *Forwarder) runWithRetries(ctx context.Context, r *activeRequest) (Completion, *currantwood.Refusal) {
	tried := make(map[currantwood.UpstreamID]bool)
	var last *currantwood.Refusal
	f.recordFirstAttempt()
	for {
		if refusal := f.checkQuarantine(r.request, last); refusal != nil {
			return Completion{}, refusal
		}
		upstream, link := f.pick(r.request, tried)
		if link == nil {
			return Completion{}, noUpstreamRefusal(last)
		}
		tried[upstream] = true
		refusal, retryable := f.attempt(ctx, r, run{
			upstream: upstream, link: link, generation: f.options.NewGeneration(), start: true,
		})
		if !retryable || !f.waitForRetry(ctx, r, refusal, len(tried)) {
			return r.completion, refusal
		}
		last = refusal
	}
}

func (f *Forwarder) recordFirstAttempt() {
	f.retryMu.Lock()
	defer f.retryMu.Unlock()
	f.retrier.RecordFirstAttempt()
}

// waitForRetry waits until the request may be retried at another upstream. It returns
// false if it must not be retried. A request that was not dispatched has put no load on an
// upstream, so it is retried at once and isn't charged to the retry budget.
func (f *Forwarder) waitForRetry(ctx context.Context, r *activeRequest, refusal *currantwood.Refusal, attempts int) bool {
	if refusal.Ran == currantwood.NotRun {
		return true
	}
	f.retryMu.Lock()
	delay, reason := f.retrier.Decide(time.Now(), retrier.Failure{
		Attempts: attempts, Ran: refusal.Ran, Repeatable: true, Deadline: r.request.Demand.Deadline,
	})
	f.retryMu.Unlock()
	if reason != retrier.None {
		return false
	}
	return sleeper.Sleep(ctx, delay)
}

// checkQuarantine refuses a request that is known to crash upstreams, possibly from its own
// earlier attempts. last is the refusal of the last attempt, or nil if there was none; the
// new refusal takes its Ran.
func (f *Forwarder) checkQuarantine(request Request, last *currantwood.Refusal) *currantwood.Refusal {
	if f.options.Quarantine == nil {
		return nil
	}
	refusal := f.options.Quarantine.Check(time.Now(), request.Fingerprint)
	if refusal != nil && last != nil {
		refusal.Ran = last.Ran
	}
	return refusal
}

// attempt starts the request at one upstream and records the result with the tracker.
func (f *Forwarder) attempt(ctx context.Context, r *activeRequest, current run) (*currantwood.Refusal, bool) {
	f.options.Tracker.Started(current.upstream)
	if f.options.Quarantine != nil {
		f.options.Quarantine.Announce(time.Now(), current.link, r.request.Fingerprint)
	}
	refusal, retryable := r.readRun(ctx, current)
	switch {
	case refusal == nil:
		f.options.Tracker.Ended(current.upstream, true)
	case countsAsFailure(refusal.Kind):
		f.options.Tracker.Ended(current.upstream, false)
	default:
		f.options.Tracker.EndedNeutral(current.upstream)
	}
	return refusal, retryable
}

// countsAsFailure reports whether a refusal kind counts as a failure of the upstream.
// KindLinkLost does, also in the refusal of a client that has disconnected.
func countsAsFailure(kind currantwood.Kind) bool {
	switch kind {
	case currantwood.KindGenerationLost, currantwood.KindLinkLost, currantwood.KindNoUpstream,
		currantwood.KindUpstreamCrash, currantwood.KindUpstreamError:
		return true
	}
	return false
}

// HandleFrame passes a frame from a side to the active request whose ID it carries, and drops it if
// there is none. It doesn't block.
func (f *Forwarder) HandleFrame(link *linker.Link, frame *wire.Frame) {
	if r := f.find(requestIDOf(frame)); r != nil {
		r.enqueue(event{link: link, frame: frame})
	}
}

// HandleLinkUp must be called for each new link to a side. Requests at its upstream resume over it.
func (f *Forwarder) HandleLinkUp(link *linker.Link) { f.enqueueAll(event{link: link, linkUp: true}) }

// HandleLinkClosed must be called for each link to a side that has closed.
func (f *Forwarder) HandleLinkClosed(link *linker.Link) {
	f.enqueueAll(event{link: link, linkClosed: true})
}

// enqueueAll passes an event to all active requests.
func (f *Forwarder) enqueueAll(e event) {
	for i := range f.shards {
		s := &f.shards[i]
		s.mu.Lock()
		for _, r := range s.requests {
			r.enqueue(e)
		}
		s.mu.Unlock()
	}
}

// pick selects an upstream that was not tried yet. The link is nil if there is no such
// upstream, or if its link has just closed.
func (f *Forwarder) pick(request Request, tried map[currantwood.UpstreamID]bool) (currantwood.UpstreamID, *linker.Link) {
	all := f.options.Tracker.Candidates(request.Group)
	now := time.Now()
	demand := request.Demand
	// Attempts that failed in another way count as refused, too.
	demand.Refused = len(tried)
	candidates := all[:0]
	for _, c := range all {
		if !tried[c.Upstream] {
			c.CachedTokens = min(f.options.Prefixes.CachedTokens(now, c.Upstream, demand.Prefix), demand.PromptTokens)
			candidates = append(candidates, c)
		}
	}
	i := f.options.Picker.Pick(now, demand, candidates)
	if i < 0 {
		return "", nil
	}
	upstream := candidates[i].Upstream
	// The whole prompt counts as cached from now on, not just its prefix.
	f.options.Prefixes.RecordCached(now, upstream, demand.Prefix, demand.PromptTokens)
	return upstream, f.options.Tracker.Link(upstream)
}

// noUpstreamRefusal returns the refusal of the last attempt, or one of KindNoUpstream if
// there was no attempt.
func noUpstreamRefusal(last *currantwood.Refusal) *currantwood.Refusal {
	if last != nil {
		return last
	}
	return currantwood.NewRefusal(currantwood.KindNoUpstream, step, "no upstream of the rule's group is in view", retryAfterNoUpstream)
}

func (f *Forwarder) shard(id currantwood.RequestID) *shard {
	return &f.shards[maphash.String(f.seed, string(id))%shardCount]
}

// add registers r under its request ID. If another activeRequest has the same ID, the
// client has reconnected, and r takes over from it.
func (f *Forwarder) add(r *activeRequest) {
	id := r.request.Demand.Request
	s := f.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if previous := s.requests[id]; previous != nil {
		previous.enqueue(event{takenOver: true})
	}
	s.requests[id] = r
}

// remove unregisters r unless another has taken over from it.
func (f *Forwarder) remove(r *activeRequest) {
	id := r.request.Demand.Request
	s := f.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.requests[id] == r {
		delete(s.requests, id)
	}
}

// find returns the active request with an ID, or nil if there is none.
func (f *Forwarder) find(id currantwood.RequestID) *activeRequest {
	s := f.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests[id]
}
