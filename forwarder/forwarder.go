// Package forwarder carries a caller's generation request to a side and its
// tokens back. It is the one owner of retries: a request that a side refused as
// not run goes on to another upstream within its deadline.
package forwarder

import (
	"context"
	"fmt"
	"hash/maphash"
	"sync"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/linker"
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

// Options says what a forwarder needs.
type Options struct {
	Tracker *tracker.Tracker
	Picker  currantwood.Picker
	// NewGeneration draws a generation id.
	NewGeneration func() currantwood.GenerationID
}

// Request is one generation to run.
type Request struct {
	Demand      currantwood.Demand
	Group       currantwood.GroupID
	Fingerprint currantwood.Fingerprint
	Body        []byte
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
	shards  [shardCount]shard
}

type shard struct {
	mu      sync.Mutex
	flights map[currantwood.RequestID]*flight
}

// New makes a forwarder without requests.
func New(options Options) *Forwarder {
	f := &Forwarder{options: options, seed: maphash.MakeSeed()}
	for i := range f.shards {
		f.shards[i].flights = make(map[currantwood.RequestID]*flight)
	}
	return f
}

// Forward runs a request to its end. Deliver is called with consecutive tokens
// from index 0 on. The refusal is nil exactly when the completion is whole.
func (f *Forwarder) Forward(ctx context.Context, request Request, deliver func(first currantwood.TokenIndex, texts []string) error) (Completion, *currantwood.Refusal) {
	ctx, cancel := context.WithDeadline(ctx, request.Demand.Deadline)
	defer cancel()
	fl := newFlight(request, deliver)
	f.add(fl)
	defer f.remove(fl)
	tried := make(map[currantwood.UpstreamID]bool)
	var last *currantwood.Refusal
	for {
		upstream, link := f.pick(request, tried)
		if link == nil {
			return Completion{}, f.noUpstream(last)
		}
		tried[upstream] = true
		completion, refusal := f.attempt(ctx, fl, upstream, link)
		if refusal == nil {
			return completion, nil
		}
		last = refusal
		if refusal.Ran != currantwood.NotRun || fl.next > 0 || ctx.Err() != nil {
			return Completion{}, refusal
		}
	}
}

// Frame takes in a frame of a side. It doesn't block.
func (f *Forwarder) Frame(link *linker.Link, frame *wire.Frame) {
	if fl := f.find(requestOf(frame)); fl != nil {
		fl.push(event{link: link, frame: frame})
	}
}

// LinkClosed tells the requests on a link that it is gone.
func (f *Forwarder) LinkClosed(link *linker.Link) {
	for i := range f.shards {
		s := &f.shards[i]
		s.mu.Lock()
		for _, fl := range s.flights {
			fl.push(event{link: link})
		}
		s.mu.Unlock()
	}
}

func (f *Forwarder) pick(request Request, tried map[currantwood.UpstreamID]bool) (currantwood.UpstreamID, *linker.Link) {
	all := f.options.Tracker.Candidates(request.Group)
	candidates := all[:0]
	for _, c := range all {
		if !tried[c.Upstream] {
			candidates = append(candidates, c)
		}
	}
	i := f.options.Picker.Pick(time.Now(), request.Demand, candidates)
	if i < 0 {
		return "", nil
	}
	upstream := candidates[i].Upstream
	return upstream, f.options.Tracker.Link(upstream)
}

func (f *Forwarder) noUpstream(last *currantwood.Refusal) *currantwood.Refusal {
	if last != nil {
		return last
	}
	return currantwood.Refuse(currantwood.KindNoUpstream, step, "no upstream of the rule's group is in view", retryAfterNoUpstream)
}

func (f *Forwarder) attempt(ctx context.Context, fl *flight, upstream currantwood.UpstreamID, link *linker.Link) (Completion, *currantwood.Refusal) {
	f.options.Tracker.Begin(upstream)
	defer f.options.Tracker.End(upstream)
	fl.bind(f.options.NewGeneration(), link)
	if err := link.Send(startFrame(fl)); err != nil {
		return Completion{}, linkLost(link, currantwood.NotRun)
	}
	for {
		select {
		case <-fl.wake:
		case <-ctx.Done():
			_ = link.Send(cancelFrame(fl, "deadline or caller gone"))
			return Completion{}, deadlinePassed(link)
		}
		if completion, refusal, ended := fl.drain(); ended {
			return completion, refusal
		}
	}
}

func (f *Forwarder) shard(id currantwood.RequestID) *shard {
	return &f.shards[maphash.String(f.seed, string(id))%shardCount]
}

func (f *Forwarder) add(fl *flight) {
	s := f.shard(fl.request.Demand.Request)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flights[fl.request.Demand.Request] = fl
}

func (f *Forwarder) remove(fl *flight) {
	s := f.shard(fl.request.Demand.Request)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.flights, fl.request.Demand.Request)
}

func (f *Forwarder) find(id currantwood.RequestID) *flight {
	s := f.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.flights[id]
}

func linkLost(link *linker.Link, ran currantwood.Ran) *currantwood.Refusal {
	return &currantwood.Refusal{
		Kind:       currantwood.KindLinkLost,
		Ran:        ran,
		RetryAfter: retryAfterLost,
		Step:       step,
		Peer:       link.Peer().Process,
		Detail:     "the link to the side was lost",
	}
}

func deadlinePassed(link *linker.Link) *currantwood.Refusal {
	return &currantwood.Refusal{
		Kind:       currantwood.KindDeadline,
		Ran:        currantwood.RanUnknown,
		RetryAfter: retryAfterLost,
		Step:       step,
		Peer:       link.Peer().Process,
		Detail:     fmt.Sprintf("the deadline passed while %s held the request", link.Peer().Upstream),
	}
}
