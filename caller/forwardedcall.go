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
	// otherRegionCost is added to the calls in flight of an upstream in another
	// region: one in this entry's region is preferred while it has fewer than that
	// many more.
	otherRegionCost = 8
	// triedUpstreamCost is larger than any number of calls in flight, so that an
	// upstream is tried again only if no other is left.
	triedUpstreamCost = 1 << 30
)

// forwardedCall is a call or an outcome query on its way through one or more
// attempts.
type forwardedCall struct {
	requestID currantwood.RequestID
	group     currantwood.GroupID
	deadline  time.Time
	// repeatable is whether a side may handle the frame more than once; always true
	// for an outcome query.
	repeatable bool
	// outcomeQuery is set for Ask, which doesn't run the operation.
	outcomeQuery bool
	// operationID is the ID under which the client can ask for the outcome; empty
	// for a repeatable call, whose outcome is not recorded.
	operationID string
	// newFrame returns the frame of an attempt. id becomes the frame's RequestId;
	// timeLeft is the time left for the attempt. All frames share one message.
	newFrame func(id string, timeLeft time.Duration) *wire.Frame

	attempts       int
	triedUpstreams map[currantwood.UpstreamID]bool
	// mayHaveRun is set once an attempt was sent and ended without an answer.
	mayHaveRun bool
}

// attempt is one frame sent on a link.
type attempt struct {
	link *linker.Link
	// answer receives the answer, or is closed if the link closes before.
	answer chan *wire.Answer
}

// callWithRetries makes attempts until one gets a response or a final refusal.
func (c *Caller) callWithRetries(ctx context.Context, f *forwardedCall) (*currantwood.ServiceResponse, *currantwood.Refusal) {
	f.triedUpstreams = make(map[currantwood.UpstreamID]bool)
	c.recordFirstAttempt()
	for {
		answer, refusal := c.callOneSide(ctx, f)
		if refusal == nil {
			return toServiceResponse(answer), nil
		}
		if !f.retryable(refusal) || !c.canRetryUncharged(f, refusal) && !c.waitForRetry(ctx, f) {
			return nil, f.finalRefusal(refusal)
		}
	}
}

// callOneSide sends the call to one side and waits for the answer. The result doesn't
// count toward the upstream's health.
func (c *Caller) callOneSide(ctx context.Context, f *forwardedCall) (*wire.Answer, *currantwood.Refusal) {
	upstream, link := c.pickUpstream(f)
	if link == nil {
		return nil, currantwood.NewRefusal(currantwood.KindNoUpstream, step, "No upstream of the rule's group is in view.", retryAfterNoUpstream)
	}
	f.attempts++
	f.triedUpstreams[upstream] = true
	c.options.Tracker.Started(upstream)
	defer c.options.Tracker.EndedNeutral(upstream)
	answer, refusal := c.send(ctx, f, link)
	if refusal != nil {
		refusal.Peer = string(upstream)
	}
	return answer, refusal
}

func (c *Caller) send(ctx context.Context, f *forwardedCall, link *linker.Link) (*wire.Answer, *currantwood.Refusal) {
	id := fmt.Sprintf("%s#%d", f.requestID, f.attempts)
	sent := &attempt{link: link, answer: make(chan *wire.Answer, 1)}
	c.addPending(id, sent)
	defer c.removePending(id)
	timeLeft := time.Until(f.deadline)
	frame := f.newFrame(id, timeLeft-min(answerReserve, timeLeft/4))
	// The link encodes the frame later, when the next attempt may have changed the
	// message that all frames share.
	if link.Send(proto.Clone(frame).(*wire.Frame)) != nil {
		return nil, currantwood.NewRefusal(currantwood.KindLinkLost, step, "The link to the side was closed.", retryAfterNoAnswer)
	}
	select {
	case answer, ok := <-sent.answer:
		if !ok {
			return nil, f.failUnanswered(currantwood.KindLinkLost, "The link to the side was lost before it answered.")
		}
		return answer, wire.ToRefusal(answer.Refusal)
	case <-ctx.Done():
		return nil, f.failUnanswered(currantwood.KindDeadline, "The side did not answer within the deadline.")
	}
}

// failUnanswered records that an attempt was sent and not answered, and returns its
// refusal.
func (f *forwardedCall) failUnanswered(kind currantwood.Kind, detail string) *currantwood.Refusal {
	f.mayHaveRun = true
	refusal := currantwood.NewRefusal(kind, step, detail, retryAfterNoAnswer)
	refusal.Ran = currantwood.RanUnknown
	return refusal
}

// retryable reports whether another upstream may serve the call after the refusal.
func (f *forwardedCall) retryable(refusal *currantwood.Refusal) bool {
	switch refusal.Kind {
	case currantwood.KindLinkLost, currantwood.KindNoUpstream, currantwood.KindShuttingDown, currantwood.KindNoCapacity:
		return true
	case currantwood.KindUpstreamError:
		// If a call that must not run twice did run, its outcome is recorded, and
		// a retry would get the same refusal.
		return f.repeatable || refusal.Ran == currantwood.NotRun
	default:
		return false
	}
}

// finalRefusal returns the refusal for the client. If an earlier attempt may have
// run, it says so, even if the last attempt was refused without having run. An
// outcome query that is refused says nothing about the operation, which therefore
// may have run too.
func (f *forwardedCall) finalRefusal(refusal *currantwood.Refusal) *currantwood.Refusal {
	if (f.mayHaveRun || f.outcomeQuery) && refusal.Ran == currantwood.NotRun {
		refusal.Ran = currantwood.RanUnknown
	}
	if refusal.Ran != currantwood.RanUnknown {
		return refusal
	}
	refusal.Operation = f.operationID
	if !f.repeatable && refusal.Kind != currantwood.KindInProgress {
		refusal.Kind = currantwood.KindOutcomeUnknown
	}
	return refusal
}

// canRetryUncharged reports whether a call that a leaving side refused can be sent
// to an upstream that was not tried. This is not charged to the retry budget: such a
// refusal has cost no upstream any work, and a leaving side refuses many calls at the
// same time, which would use the budget up.
func (c *Caller) canRetryUncharged(f *forwardedCall, refusal *currantwood.Refusal) bool {
	if refusal.Kind != currantwood.KindShuttingDown || refusal.Ran != currantwood.NotRun {
		return false
	}
	return slices.ContainsFunc(c.options.Tracker.Candidates(f.group), func(candidate currantwood.Candidate) bool {
		return !f.triedUpstreams[candidate.Upstream]
	})
}

// waitForRetry waits until the next attempt is due. It reports false if there is
// none, as for a call that found no upstream for its first attempt. All calls count
// as repeatable here, because the operations log lets at most one attempt at an
// operation run.
func (c *Caller) waitForRetry(ctx context.Context, f *forwardedCall) bool {
	if f.attempts == 0 {
		return false
	}
	c.mu.Lock()
	delay, reason := c.retrier.Decide(time.Now(), retrier.Failure{
		Attempts: f.attempts, Ran: currantwood.RanUnknown, Repeatable: true, Deadline: f.deadline,
	})
	c.mu.Unlock()
	if reason != retrier.None {
		return false
	}
	return sleeper.Sleep(ctx, delay)
}

// pickUpstream returns the upstream of the lowest cost and its link, which is nil if
// there is none. Ties are broken at random.
func (c *Caller) pickUpstream(f *forwardedCall) (currantwood.UpstreamID, *linker.Link) {
	candidates := c.options.Tracker.Candidates(f.group)
	if len(candidates) == 0 {
		return "", nil
	}
	c.mu.Lock()
	c.options.Random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	c.mu.Unlock()
	best := slices.MinFunc(candidates, func(a, b currantwood.Candidate) int {
		return cmp.Compare(c.cost(f, a), c.cost(f, b))
	})
	return best.Upstream, c.options.Tracker.Link(best.Upstream)
}

// cost returns the cost of sending the call to a candidate. Upstreams that were not
// tried come first, then those with few calls in flight and in this entry's region.
func (c *Caller) cost(f *forwardedCall, candidate currantwood.Candidate) int {
	cost := candidate.InFlight
	if candidate.Region != c.options.Region {
		cost += otherRegionCost
	}
	if f.triedUpstreams[candidate.Upstream] {
		cost += triedUpstreamCost
	}
	return cost
}

// recordFirstAttempt adds the call's share to the retry budget. It is called once per
// call, even if no upstream is found.
func (c *Caller) recordFirstAttempt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retrier.RecordFirstAttempt()
}

func (c *Caller) addPending(id string, sent *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending[id] = sent
}

func (c *Caller) removePending(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

func toServiceResponse(answer *wire.Answer) *currantwood.ServiceResponse {
	header := wire.ToHeader(answer.Headers)
	if answer.Replayed {
		header.Set(headerReplayed, "true")
	}
	return &currantwood.ServiceResponse{Status: int(answer.Status), Header: header, Body: answer.Body}
}
