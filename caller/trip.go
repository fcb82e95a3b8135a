package caller

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/linker"
	"github.com/currantwood/currantwood/retrier"
	"github.com/currantwood/currantwood/sleeper"
	"github.com/currantwood/currantwood/wire"
)

const (
	// regionCost is how many calls in flight an upstream of the own region may
	// have more than one of another region.
	regionCost = 8
	// triedCost is more than any number of calls in flight.
	triedCost = 1 << 30
)

// trip is one call from its arrival to its final answer.
type trip struct {
	request    currantwood.RequestID
	group      currantwood.GroupID
	deadline   time.Time
	repeatable bool
	// ask is true for a question about an operation, which runs nothing.
	ask bool
	// operation is the id to ask about; empty where there is nothing to ask.
	operation string
	// frame returns the frame of a try with its id and the time that it has.
	frame func(id string, left time.Duration) *wire.Frame

	tries int
	tried map[currantwood.UpstreamID]bool
	// maybeRun is set once a try was sent and ended without an answer.
	maybeRun bool
}

// try is one frame on a link. Its channel gets the answer, or is closed when
// none will come.
type try struct {
	link   *linker.Link
	answer chan *wire.Answer
}

// run tries one upstream after the other until there is a final answer.
func (c *Caller) run(ctx context.Context, t *trip) (*currantwood.ServiceResponse, *currantwood.Refusal) {
	t.tried = make(map[currantwood.UpstreamID]bool)
	c.first()
	for {
		answer, refusal := c.tryOnce(ctx, t)
		if refusal == nil {
			return served(answer), nil
		}
		if !t.worthRetrying(refusal) || !c.elsewhere(t, refusal) && !c.again(ctx, t) {
			return nil, t.settle(refusal)
		}
	}
}

// tryOnce sends the call to one side and waits for its answer.
func (c *Caller) tryOnce(ctx context.Context, t *trip) (*wire.Answer, *currantwood.Refusal) {
	upstream, link := c.pick(t)
	if link == nil {
		return nil, currantwood.NewRefusal(currantwood.KindNoUpstream, step, "No upstream of the rule's group is in view.", retryAfterNoUpstream)
	}
	t.tries++
	t.tried[upstream] = true
	c.options.Tracker.Started(upstream)
	defer c.options.Tracker.EndedNeutral(upstream)
	answer, refusal := c.send(ctx, t, link)
	if refusal != nil {
		refusal.Peer = string(upstream)
	}
	return answer, refusal
}

func (c *Caller) send(ctx context.Context, t *trip, link *linker.Link) (*wire.Answer, *currantwood.Refusal) {
	id := fmt.Sprintf("%s#%d", t.request, t.tries)
	sent := &try{link: link, answer: make(chan *wire.Answer, 1)}
	c.add(id, sent)
	defer c.remove(id)
	left := time.Until(t.deadline)
	frame := t.frame(id, left-min(answerReserve, left/4))
	if link.Send(proto.Clone(frame).(*wire.Frame)) != nil {
		return nil, currantwood.NewRefusal(currantwood.KindLinkLost, step, "The link to the side was closed.", retryAfterUnknown)
	}
	select {
	case answer, whole := <-sent.answer:
		if !whole {
			return nil, t.lost(currantwood.KindLinkLost, "The link to the side was lost before it answered.")
		}
		return answer, wire.ToRefusal(answer.Refusal)
	case <-ctx.Done():
		return nil, t.lost(currantwood.KindDeadline, "The side did not answer within the deadline.")
	}
}

// lost is the refusal of a try that was sent and not answered.
func (t *trip) lost(kind currantwood.Kind, detail string) *currantwood.Refusal {
	t.maybeRun = true
	refusal := currantwood.NewRefusal(kind, step, detail, retryAfterUnknown)
	refusal.Ran = currantwood.RanUnknown
	return refusal
}

// worthRetrying says whether another upstream may do better.
func (t *trip) worthRetrying(refusal *currantwood.Refusal) bool {
	switch refusal.Kind {
	case currantwood.KindLinkLost, currantwood.KindNoUpstream, currantwood.KindShuttingDown, currantwood.KindNoCapacity:
		return true
	case currantwood.KindUpstreamError:
		return t.repeatable || refusal.Ran == currantwood.NotRun
	default:
		return false
	}
}

// settle makes the final refusal. Where an earlier try may have run, it says so
// whatever the last one was told.
func (t *trip) settle(refusal *currantwood.Refusal) *currantwood.Refusal {
	if (t.maybeRun || t.ask) && refusal.Ran == currantwood.NotRun {
		refusal.Ran = currantwood.RanUnknown
	}
	if refusal.Ran != currantwood.RanUnknown {
		return refusal
	}
	refusal.Operation = t.operation
	if !t.repeatable && refusal.Kind != currantwood.KindInProgress {
		refusal.Kind = currantwood.KindOutcomeUnknown
	}
	return refusal
}

// elsewhere says whether a call that a leaving side refused can go on to a side
// that was not tried. That costs no upstream any work, so it is not counted as a
// retry; when a side leaves, all calls under way to it are refused at once.
func (c *Caller) elsewhere(t *trip, refusal *currantwood.Refusal) bool {
	if refusal.Kind != currantwood.KindShuttingDown || refusal.Ran != currantwood.NotRun {
		return false
	}
	return slices.ContainsFunc(c.options.Tracker.Candidates(t.group), func(candidate currantwood.Candidate) bool {
		return !t.tried[candidate.Upstream]
	})
}

// again waits for the next try; false when there is none. A try at an operation
// counts as repeatable, because the log lets one of them run at most.
func (c *Caller) again(ctx context.Context, t *trip) bool {
	if t.tries == 0 {
		return false
	}
	c.mu.Lock()
	delay, reason := c.retrier.Decide(time.Now(), retrier.Failure{
		Attempts: t.tries, Ran: currantwood.RanUnknown, Repeatable: true, Deadline: t.deadline,
	})
	c.mu.Unlock()
	if reason != retrier.None {
		return false
	}
	return sleeper.Sleep(ctx, delay)
}

// pick returns the upstream with the lowest cost.
func (c *Caller) pick(t *trip) (currantwood.UpstreamID, *linker.Link) {
	candidates := c.options.Tracker.Candidates(t.group)
	if len(candidates) == 0 {
		return "", nil
	}
	c.mu.Lock()
	c.options.Random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	c.mu.Unlock()
	best := slices.MinFunc(candidates, func(a, b currantwood.Candidate) int {
		return cmp.Compare(c.cost(t, a), c.cost(t, b))
	})
	return best.Upstream, c.options.Tracker.Link(best.Upstream)
}

// cost orders upstreams: those not tried yet first, then by calls in flight,
// where another region counts like some calls more.
func (c *Caller) cost(t *trip, candidate currantwood.Candidate) int {
	cost := candidate.InFlight
	if candidate.Region != c.options.Region {
		cost += regionCost
	}
	if t.tried[candidate.Upstream] {
		cost += triedCost
	}
	return cost
}

func (c *Caller) first() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retrier.RecordFirstAttempt()
}

func (c *Caller) add(id string, sent *try) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending[id] = sent
}

func (c *Caller) remove(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

func served(answer *wire.Answer) *currantwood.ServiceResponse {
	header := wire.ToHeader(answer.Headers)
	if answer.Replayed {
		header.Set(headerReplayed, "true")
	}
	return &currantwood.ServiceResponse{Status: int(answer.Status), Header: header, Body: answer.Body}
}
