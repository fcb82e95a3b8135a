// Package forwarder carries a caller's generation request to a side and its
// tokens back. It is the one owner of retries: a request of which the caller
// has seen nothing goes on to another upstream within its deadline, and a
// stream whose link or side is gone is resumed by index.
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
	step = "forwarder"
	// shardCount spreads the requests in flight over locks.
	shardCount = 64
	// retryAfterLost is when a caller whose generation was lost should ask again.
	retryAfterLost = time.Second
	// retryAfterNoUpstream is when to come back while no upstream is in view.
	retryAfterNoUpstream = 2 * time.Second
)

// DefaultLimits are the limits of a stream in service. LostAfter is the time
// that a replaced side has to come up.
func DefaultLimits() relayer.Options {
	return relayer.Options{
		ResumeAfter:     time.Second,
		LostAfter:       15 * time.Second,
		UnseenLostAfter: 2500 * time.Millisecond,
		AckEvery:        64,
		RetryAfter:      retryAfterLost,
	}
}

// DefaultRetries lets an entry run anew what it had at one lost engine, and a
// tenth of its requests beyond that.
func DefaultRetries() retrier.Options {
	return retrier.Options{Reserve: 64, MaxAttempts: 4}
}

// Options says what a forwarder needs.
type Options struct {
	Tracker *tracker.Tracker
	Picker  currantwood.Picker
	// Prefixes says which upstream is believed to hold a prompt's prefix.
	Prefixes *prefixtracker.Tracker
	// Reach asks for a link to an upstream that is not in view; LinkUp tells
	// that it is there.
	Reach func(now time.Time, upstream currantwood.UpstreamID)
	// Quarantine stops requests that crash upstreams; nil stops none.
	Quarantine Quarantine
	// Retries bounds the tries of requests that may have run.
	Retries retrier.Options
	// Random spreads retries in time.
	Random *rand.Rand
	// NewGeneration draws a generation id.
	NewGeneration func() currantwood.GenerationID
	// Limits are those of each stream; RestartDeclared is set by the request.
	Limits relayer.Options
	// IdleEvery is the time between two calls of Sink.Idle; > 0.
	IdleEvery time.Duration
}

// Quarantine knows the requests that crash upstreams.
type Quarantine interface {
	// Check refuses a quarantined request; nil lets it run.
	Check(now time.Time, fingerprint currantwood.Fingerprint) *currantwood.Refusal
	// Announce tells a side of a suspect, ahead of its start on the same link.
	Announce(now time.Time, link *linker.Link, fingerprint currantwood.Fingerprint)
}

// Request is one generation to run.
type Request struct {
	Demand      currantwood.Demand
	Group       currantwood.GroupID
	Fingerprint currantwood.Fingerprint
	Body        []byte
	// Resume is where a caller that reconnects goes on; nil for a new request.
	Resume *currantwood.Position
	// Admit is asked before a generation is started for a caller that
	// reconnected; nil admits it.
	Admit func(now time.Time) *currantwood.Refusal
	// Streamed says that the caller reads tokens as they come, and may
	// reconnect when it is cut off.
	Streamed bool
	// RestartDeclared says that the caller understands a restart event.
	RestartDeclared bool
}

// Completion is the end of a whole generation.
type Completion struct {
	Tokens       currantwood.TokenIndex
	FinishReason string
	TokenSeconds currantwood.TokenSeconds
}

// Forwarder is safe for concurrent use.
type Forwarder struct {
	options Options
	seed    maphash.Seed

	retryMu sync.Mutex
	retrier *retrier.Retrier
	shards  [shardCount]shard
}

type shard struct {
	mu      sync.Mutex
	flights map[currantwood.RequestID]*flight
}

// New makes a forwarder without requests.
func New(options Options) *Forwarder {
	f := &Forwarder{options: options, seed: maphash.MakeSeed()}
	f.retrier = retrier.New(options.Retries, options.Random)
	for i := range f.shards {
		f.shards[i].flights = make(map[currantwood.RequestID]*flight)
	}
	return f
}

// Forward runs a request to its end. The refusal is nil exactly when the
// completion is whole, that is when the sink was handed every token.
func (f *Forwarder) Forward(ctx context.Context, request Request, sink Sink) (Completion, *currantwood.Refusal) {
	ctx, cancel := context.WithDeadline(ctx, request.Demand.Deadline)
	defer cancel()
	fl := newFlight(f.options, request, sink)
	f.add(fl)
	defer f.remove(fl)
	if request.Resume != nil {
		refusal, again := f.resume(ctx, fl)
		if !again {
			return fl.completion, refusal
		}
	}
	return f.startAnew(ctx, fl)
}

// resume goes on with the generation that a reconnected caller names. It
// returns true when a new generation may be started in its place.
func (f *Forwarder) resume(ctx context.Context, fl *flight) (*currantwood.Refusal, bool) {
	at := fl.request.Resume
	// Also a link that is there may be one that was reached for an earlier
	// caller and is let go while this one still needs it.
	defer f.keepReached(ctx, at.Upstream)()
	link := f.options.Tracker.Link(at.Upstream)
	refusal, again := fl.run(ctx, target{upstream: at.Upstream, link: link, generation: at.Generation, next: at.Next})
	if !again {
		return refusal, false
	}
	if fl.request.Admit == nil {
		return nil, true
	}
	if refused := fl.request.Admit(time.Now()); refused != nil {
		return refused, false
	}
	return nil, true
}

// reachEvery is less than the time for which a link is wanted after one call of
// Options.Reach.
const reachEvery = 4 * time.Second

// keepReached wants a link to an upstream until the returned function is called.
func (f *Forwarder) keepReached(ctx context.Context, upstream currantwood.UpstreamID) context.CancelFunc {
	ctx, stop := context.WithCancel(ctx)
	f.options.Reach(time.Now(), upstream)
	go func() {
		ticker := time.NewTicker(reachEvery)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case now := <-ticker.C:
				f.options.Reach(now, upstream)
			}
		}
	}()
	return stop
}

// startAnew tries one upstream after the other until a generation is whole or
// must not be run again.
func (f *Forwarder) startAnew(ctx context.Context, fl *flight) (Completion, *currantwood.Refusal) {
	tried := make(map[currantwood.UpstreamID]bool)
	var last *currantwood.Refusal
	f.firstTry()
	for {
		if refusal := f.quarantined(fl.request, last); refusal != nil {
			return Completion{}, refusal
		}
		upstream, link := f.pick(fl.request, tried)
		if link == nil {
			return Completion{}, noUpstream(last)
		}
		tried[upstream] = true
		refusal, again := f.attempt(ctx, fl, target{
			upstream: upstream, link: link, generation: f.options.NewGeneration(), start: true,
		})
		if !again || !f.tryAgain(ctx, fl, refusal, len(tried)) {
			return fl.completion, refusal
		}
		last = refusal
	}
}

func (f *Forwarder) firstTry() {
	f.retryMu.Lock()
	defer f.retryMu.Unlock()
	f.retrier.RecordFirstAttempt()
}

// tryAgain waits until a request may be tried at another upstream. One that no
// upstream was asked to run adds no load there and is not held to the budget.
func (f *Forwarder) tryAgain(ctx context.Context, fl *flight, refusal *currantwood.Refusal, tries int) bool {
	if refusal.Ran == currantwood.NotRun {
		return true
	}
	f.retryMu.Lock()
	delay, reason := f.retrier.Decide(time.Now(), retrier.Failure{
		Attempts: tries, Ran: refusal.Ran, Repeatable: true, Deadline: fl.request.Demand.Deadline,
	})
	f.retryMu.Unlock()
	if reason != retrier.None {
		return false
	}
	return sleeper.Sleep(ctx, delay)
}

// quarantined refuses a request that is known to crash upstreams, be it known
// from its own tries.
func (f *Forwarder) quarantined(request Request, last *currantwood.Refusal) *currantwood.Refusal {
	if f.options.Quarantine == nil {
		return nil
	}
	refusal := f.options.Quarantine.Check(time.Now(), request.Fingerprint)
	if refusal != nil && last != nil {
		refusal.Ran = last.Ran
	}
	return refusal
}

func (f *Forwarder) attempt(ctx context.Context, fl *flight, t target) (*currantwood.Refusal, bool) {
	f.options.Tracker.Started(t.upstream)
	if f.options.Quarantine != nil {
		f.options.Quarantine.Announce(time.Now(), t.link, fl.request.Fingerprint)
	}
	refusal, again := fl.run(ctx, t)
	switch {
	case refusal == nil:
		f.options.Tracker.Ended(t.upstream, true)
	case blames(refusal.Kind):
		f.options.Tracker.Ended(t.upstream, false)
	default:
		f.options.Tracker.EndedNeutral(t.upstream)
	}
	return refusal, again
}

// blames tells the kinds of refusal that speak against the upstream.
func blames(kind currantwood.Kind) bool {
	switch kind {
	case currantwood.KindGenerationLost, currantwood.KindLinkLost, currantwood.KindNoUpstream,
		currantwood.KindUpstreamCrash, currantwood.KindUpstreamError:
		return true
	}
	return false
}

// Frame takes in a frame of a side. It doesn't block.
func (f *Forwarder) Frame(link *linker.Link, frame *wire.Frame) {
	if fl := f.find(requestOf(frame)); fl != nil {
		fl.push(event{link: link, frame: frame})
	}
}

// LinkUp tells the requests that wait for an upstream of a new link to it.
func (f *Forwarder) LinkUp(link *linker.Link) { f.pushAll(event{link: link, up: true}) }

// LinkClosed tells the requests on a link that it is gone.
func (f *Forwarder) LinkClosed(link *linker.Link) { f.pushAll(event{link: link, down: true}) }

func (f *Forwarder) pushAll(e event) {
	for i := range f.shards {
		s := &f.shards[i]
		s.mu.Lock()
		for _, fl := range s.flights {
			fl.push(e)
		}
		s.mu.Unlock()
	}
}

func (f *Forwarder) pick(request Request, tried map[currantwood.UpstreamID]bool) (currantwood.UpstreamID, *linker.Link) {
	all := f.options.Tracker.Candidates(request.Group)
	now := time.Now()
	demand := request.Demand
	demand.Refused = len(tried)
	candidates := all[:0]
	for _, c := range all {
		if !tried[c.Upstream] {
			c.CachedTokens = min(f.options.Prefixes.Cached(now, c.Upstream, demand.Prefix), demand.PromptTokens)
			candidates = append(candidates, c)
		}
	}
	i := f.options.Picker.Pick(now, demand, candidates)
	if i < 0 {
		return "", nil
	}
	upstream := candidates[i].Upstream
	f.options.Prefixes.Hold(now, upstream, demand.Prefix, demand.PromptTokens)
	return upstream, f.options.Tracker.Link(upstream)
}

func noUpstream(last *currantwood.Refusal) *currantwood.Refusal {
	if last != nil {
		return last
	}
	return currantwood.NewRefusal(currantwood.KindNoUpstream, step, "no upstream of the rule's group is in view", retryAfterNoUpstream)
}

func (f *Forwarder) shard(id currantwood.RequestID) *shard {
	return &f.shards[maphash.String(f.seed, string(id))%shardCount]
}

// add makes fl the reader of its request. A reader that was there before, whose
// caller has reconnected, ends.
func (f *Forwarder) add(fl *flight) {
	id := fl.request.Demand.Request
	s := f.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if previous := s.flights[id]; previous != nil {
		previous.push(event{takenOver: true})
	}
	s.flights[id] = fl
}

func (f *Forwarder) remove(fl *flight) {
	id := fl.request.Demand.Request
	s := f.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.flights[id] == fl {
		delete(s.flights, id)
	}
}

func (f *Forwarder) find(id currantwood.RequestID) *flight {
	s := f.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.flights[id]
}
