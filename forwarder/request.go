package forwarder

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/linker"
	"github.com/currantwood/currantwood/relayer"
	"github.com/currantwood/currantwood/wire"
)

// event is input to an active request. Exactly one of frame, linkUp, linkClosed
// and takenOver is set.
type event struct {
	link  *linker.Link
	frame *wire.Frame
	// linkUp and linkClosed are true if link has come up or closed.
	linkUp, linkClosed bool
	// takenOver is true if the client has reconnected to this entry and a newer
	// activeRequest has the request ID.
	takenOver bool
}

// run is one execution of a generation at an upstream, as an active request reads it.
type run struct {
	upstream   currantwood.UpstreamID
	generation currantwood.GenerationID
	// link is nil while no link to the upstream is up.
	link *linker.Link
	// next is the index of the first token to read.
	next currantwood.TokenIndex
	// start is true if the generation is to be started, false if it is to be resumed.
	start bool
}

const (
	// firstEjectionCheck is the time from the start of a run to the first check whether
	// its upstream is ejected, a little longer than the tracker's stall timeout of an
	// engine. ejectionCheckInterval is the time between later checks.
	firstEjectionCheck    = 3500 * time.Millisecond
	ejectionCheckInterval = 500 * time.Millisecond
)

// activeRequest is the state of one call of Forward. The goroutine of that call owns
// every field except those that mu guards.
type activeRequest struct {
	// ejectionCheckAt is the time of the next check whether the upstream is ejected. It
	// applies while the generation is replaceable.
	ejectionCheckAt time.Time

	options Options
	request Request
	sink    Sink
	relayer *relayer.Relayer
	// current is the run that is read now.
	current run
	// completion is set once the generation is complete.
	completion Completion
	// ended is true once the run has ended; refusal and retryable are its result.
	ended     bool
	refusal   *currantwood.Refusal
	retryable bool
	// receiving is whether a frame of the run has arrived since the run is read.
	receiving bool
	// unflushed is true while the sink holds tokens that were not flushed.
	unflushed bool
	// idleAt is when to call Sink.Idle next, unless tokens are delivered before.
	idleAt time.Time
	// wake has an element while new events may be queued.
	wake chan struct{}

	mu sync.Mutex // guards events and spare
	// events are those that were not processed yet.
	events []event
	// spare is the slice that the last processEvents emptied, for reuse.
	spare []event
}

func newActiveRequest(options Options, request Request, sink Sink) *activeRequest {
	limits := options.Limits
	limits.RestartDeclared = request.RestartDeclared
	limits.Buffered = !request.Streamed
	return &activeRequest{
		options: options,
		request: request,
		sink:    sink,
		relayer: relayer.New(request.Demand.Request, request.Demand.Customer, limits),
		wake:    make(chan struct{}, 1),
	}
}

// enqueue adds an event and wakes the goroutine of Forward. It doesn't block.
func (r *activeRequest) enqueue(e event) {
	r.mu.Lock()
	r.events = append(r.events, e)
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// readRun starts or resumes one generation and returns when it has ended. The result is
// retryable if another generation may be started in its place. The refusal is nil if the
// generation is complete.
func (r *activeRequest) readRun(ctx context.Context, current run) (*currantwood.Refusal, bool) {
	now := time.Now()
	r.current = current
	r.ejectionCheckAt = now.Add(firstEjectionCheck)
	r.ended, r.retryable, r.refusal, r.receiving = false, false, nil, false
	restart := r.relayer.SetGeneration(now, current.generation, current.next)
	if err := r.sink.Bind(current.generation, current.upstream, restart); err != nil {
		r.handleClientGone()
		return r.refusal, r.retryable
	}
	r.requestRun(now)
	r.processUntilEnd(ctx)
	return r.refusal, r.retryable
}

// requestRun asks the side to start or resume the generation. A start that could not
// be sent has not run, so it is retryable.
func (r *activeRequest) requestRun(now time.Time) {
	if !r.current.start {
		// While no link is up, nothing is sent; handleLinkUp repeats the request.
		r.perform(r.relayer.Resume(now))
		return
	}
	if r.send(startFrame(r, now)) != nil {
		r.end(linkLostRefusal(r.current), true)
	}
}

// processUntilEnd handles events and timeouts until the run ends.
func (r *activeRequest) processUntilEnd(ctx context.Context) {
	r.idleAt = time.Now().Add(r.options.IdleInterval)
	timer := time.NewTimer(time.Until(r.nextTickAt()))
	defer timer.Stop()
	for !r.ended {
		select {
		case <-r.wake:
			r.processEvents()
		case <-timer.C:
			r.tick()
			timer.Reset(time.Until(r.nextTickAt()))
		case <-ctx.Done():
			r.processEvents()
			if !r.ended {
				r.handleContextDone(ctx)
			}
		}
	}
}

// nextTickAt returns when tick has to be called next. The timer is not reset for each
// token, so tick may be called early.
func (r *activeRequest) nextTickAt() time.Time {
	due := r.relayer.NextTick()
	if due.IsZero() || r.idleAt.Before(due) {
		due = r.idleAt
	}
	if r.replaceable() && r.ejectionCheckAt.Before(due) {
		due = r.ejectionCheckAt
	}
	return due
}

// replaceable reports whether another generation may be run in place of this one: it was
// started here, and the client has seen no token of it.
func (r *activeRequest) replaceable() bool { return r.current.start && !r.relayer.ClientHasTokens() }

// checkEjected reports whether the generation is replaceable and its upstream is ejected. It
// checks at most once every ejectionCheckInterval and returns false in between.
func (r *activeRequest) checkEjected(now time.Time) bool {
	if !r.replaceable() || now.Before(r.ejectionCheckAt) {
		return false
	}
	r.ejectionCheckAt = now.Add(ejectionCheckInterval)
	return r.options.Tracker.Ejected(now, r.current.upstream)
}

// tick handles the timeouts that are due.
func (r *activeRequest) tick() {
	now := time.Now()
	if !now.Before(r.idleAt) {
		r.idleAt = now.Add(r.options.IdleInterval)
		if r.sink.Idle() != nil {
			r.handleClientGone()
			return
		}
	}
	if r.checkEjected(now) {
		r.sendCancel(wire.ReasonGivenUp)
		r.end(ejectedRefusal(r.current), true)
		return
	}
	r.perform(r.relayer.Tick(now))
}

// processEvents handles all queued events, then flushes once what they delivered.
func (r *activeRequest) processEvents() {
	r.mu.Lock()
	events := r.events
	r.events = r.spare[:0]
	r.spare = events
	r.mu.Unlock()
	now := time.Now()
	for i := range events {
		if !r.ended {
			r.handleEvent(now, events[i])
		}
		events[i] = event{}
	}
	r.flush()
}

func (r *activeRequest) handleEvent(now time.Time, e event) {
	switch {
	case e.takenOver:
		r.end(takenOverRefusal(), false)
	case e.linkClosed:
		r.handleLinkClosed(e.link)
	case e.linkUp:
		r.handleLinkUp(now, e.link)
	default:
		r.handleFrame(now, e)
	}
}

func (r *activeRequest) handleLinkClosed(link *linker.Link) {
	if r.current.link == link {
		r.current.link = nil
	}
}

// handleLinkUp resumes the generation over a new link to its upstream, from the same
// side process or one that has replaced it.
func (r *activeRequest) handleLinkUp(now time.Time, link *linker.Link) {
	if link.Peer().Upstream != string(r.current.upstream) || link == r.current.link {
		return
	}
	r.current.link = link
	r.perform(r.relayer.Resume(now))
}

func (r *activeRequest) handleFrame(now time.Time, e event) {
	r.receiving = true
	switch body := e.frame.Body.(type) {
	case *wire.Frame_Tokens:
		r.perform(r.relayer.HandleTokens(now, body.Tokens))
	case *wire.Frame_Final:
		r.perform(r.relayer.HandleFinal(now, body.Final))
	case *wire.Frame_Queued:
		r.relayer.RecordActivity(now, body.Queued.RequestId, body.Queued.GenerationId)
	}
}

// perform executes the actions that the relayer returned.
func (r *activeRequest) perform(actions relayer.Actions) {
	if len(actions.Deliver) > 0 {
		if r.sink.Deliver(actions.FirstIndex, actions.Deliver) != nil {
			r.handleClientGone()
			return
		}
		r.unflushed = true
	}
	if actions.Resume != nil {
		actions.Resume.Recovery = r.receiving
		actions.Resume.DeadlineMs = time.Until(r.request.Demand.Deadline).Milliseconds()
		_ = r.send(&wire.Frame{Body: &wire.Frame_Resume{Resume: actions.Resume}})
	}
	switch {
	case actions.Complete:
		_, next := r.relayer.Position()
		r.completion = Completion{Tokens: next, FinishReason: actions.FinishReason, TokenSeconds: actions.TokenSeconds}
		r.end(nil, false)
	case actions.Refusal != nil:
		// If the generation was given up here, the side may still hold it.
		r.sendCancel(wire.ReasonGivenUp)
		r.end(actions.Refusal, actions.Retryable)
	}
}

// flush flushes the sink, then acknowledges the delivered tokens to the side if an
// acknowledgement is due.
func (r *activeRequest) flush() {
	if r.unflushed {
		r.unflushed = false
		r.idleAt = time.Now().Add(r.options.IdleInterval)
		if r.sink.Flush() != nil {
			r.handleClientGone()
			return
		}
	}
	_, next := r.relayer.Position()
	if ack := r.relayer.Acknowledge(next); ack != nil {
		_ = r.send(&wire.Frame{Body: &wire.Frame_Ack{Ack: ack}})
	}
}

// end sets the result of the run.
func (r *activeRequest) end(refusal *currantwood.Refusal, retryable bool) {
	r.ended, r.refusal, r.retryable = true, refusal, retryable
}

// handleContextDone ends a run whose deadline has passed or whose client has
// disconnected.
func (r *activeRequest) handleContextDone(ctx context.Context) {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		r.handleClientGone()
		return
	}
	r.sendCancel(wire.ReasonGivenUp)
	r.end(r.deadlineRefusal(), false)
}

// handleClientGone ends a run whose client has disconnected. The side keeps a streamed
// generation, since the client may reconnect and resume it. A response that isn't streamed
// can't be resumed.
func (r *activeRequest) handleClientGone() {
	if r.request.Streamed {
		r.sendCancel(wire.ReasonClientGone)
	} else {
		r.sendCancel(wire.ReasonGivenUp)
	}
	r.end(clientGoneRefusal(), false)
}

func (r *activeRequest) sendCancel(reason string) {
	_ = r.send(&wire.Frame{Body: &wire.Frame_Cancel{Cancel: &wire.Cancel{
		RequestId:    string(r.request.Demand.Request),
		GenerationId: string(r.current.generation),
		Reason:       reason,
	}}})
}

// send sends a frame to the side. It returns linker.ErrClosed if no link is up.
func (r *activeRequest) send(frame *wire.Frame) error {
	if r.current.link == nil {
		return linker.ErrClosed
	}
	return r.current.link.Send(frame)
}
