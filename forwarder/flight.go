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

// event is something that happened to a request: exactly one of frame, up,
// down and takenOver is set.
type event struct {
	link  *linker.Link
	frame *wire.Frame
	// up and down say that the link came up or closed.
	up, down bool
	// takenOver says that the caller has reconnected to this entry.
	takenOver bool
}

// target is one generation at one upstream.
type target struct {
	upstream   currantwood.UpstreamID
	generation currantwood.GenerationID
	// link is nil while there is none to the upstream.
	link *linker.Link
	next currantwood.TokenIndex
	// start says that the generation is to be started, not resumed.
	start bool
}

const (
	// firstLook is how long a request runs before it looks whether its upstream
	// makes progress; nextLook is the time between further looks.
	firstLook = 3500 * time.Millisecond
	nextLook  = 500 * time.Millisecond
)

// flight is one request on its way. All but its events belong to the goroutine
// of Forward.
type flight struct {
	// lookAt is when a request of which the caller has seen nothing next looks
	// whether its upstream makes progress.
	lookAt time.Time

	options Options
	request Request
	sink    Sink
	relayer *relayer.Relayer
	target  target
	// completion is set once the generation is whole.
	completion Completion
	// ended is set with the outcome of run.
	ended   bool
	refusal *currantwood.Refusal
	again   bool
	// handed is true while the sink holds tokens that were not flushed.
	handed bool
	idleAt time.Time
	wake   chan struct{}

	mu     sync.Mutex
	events []event
	// spare is the emptied slice of the last drain.
	spare []event
}

func newFlight(options Options, request Request, sink Sink) *flight {
	limits := options.Limits
	limits.RestartDeclared = request.RestartDeclared
	limits.Whole = !request.Streamed
	return &flight{
		options: options,
		request: request,
		sink:    sink,
		relayer: relayer.New(request.Demand.Request, request.Demand.Customer, limits),
		wake:    make(chan struct{}, 1),
	}
}

func (fl *flight) push(e event) {
	fl.mu.Lock()
	fl.events = append(fl.events, e)
	fl.mu.Unlock()
	select {
	case fl.wake <- struct{}{}:
	default:
	}
}

// run follows one generation to its end. It returns true when another one may
// be started in its place; the refusal is then the reason.
func (fl *flight) run(ctx context.Context, t target) (*currantwood.Refusal, bool) {
	now := time.Now()
	fl.target = t
	fl.lookAt = now.Add(firstLook)
	fl.ended, fl.again, fl.refusal = false, false, nil
	restart := fl.relayer.Bind(now, t.generation, t.next)
	if err := fl.sink.Bind(t.generation, t.upstream, restart); err != nil {
		fl.callerGone()
		return fl.refusal, fl.again
	}
	fl.open(now)
	fl.follow(ctx)
	return fl.refusal, fl.again
}

// open asks the side for the generation. A start that could not be sent has
// not run; another upstream may be asked at once.
func (fl *flight) open(now time.Time) {
	if !fl.target.start {
		fl.act(fl.relayer.Relinked(now))
		return
	}
	if fl.send(startFrame(fl, now)) != nil {
		fl.end(linkLost(fl.target), true)
	}
}

// follow handles events until the generation ends.
func (fl *flight) follow(ctx context.Context) {
	fl.idleAt = time.Now().Add(fl.options.IdleEvery)
	timer := time.NewTimer(time.Until(fl.due()))
	defer timer.Stop()
	for !fl.ended {
		select {
		case <-fl.wake:
			fl.drain()
		case <-timer.C:
			fl.tick()
			timer.Reset(time.Until(fl.due()))
		case <-ctx.Done():
			fl.drain()
			if !fl.ended {
				fl.abandon(ctx)
			}
		}
	}
}

// due is when tick is next to be called. The timer is not moved for each
// token, so tick may come early.
func (fl *flight) due() time.Time {
	due := fl.relayer.Due()
	if due.IsZero() || fl.idleAt.Before(due) {
		due = fl.idleAt
	}
	if fl.unseen() && fl.lookAt.Before(due) {
		due = fl.lookAt
	}
	return due
}

// unseen reports whether the caller has no token of a generation that this
// request has started, so that another one may be run in its place.
func (fl *flight) unseen() bool { return fl.target.start && !fl.relayer.Shown() }

// stuck reports whether a request of which the caller has seen nothing stands
// at an upstream that is left out because it makes no progress.
func (fl *flight) stuck(now time.Time) bool {
	if !fl.unseen() || now.Before(fl.lookAt) {
		return false
	}
	fl.lookAt = now.Add(nextLook)
	return fl.options.Tracker.Ejected(now, fl.target.upstream)
}

func (fl *flight) tick() {
	now := time.Now()
	if !now.Before(fl.idleAt) {
		fl.idleAt = now.Add(fl.options.IdleEvery)
		if fl.sink.Idle() != nil {
			fl.callerGone()
			return
		}
	}
	if fl.stuck(now) {
		fl.cancel(wire.ReasonGivenUp)
		fl.end(standsStill(fl.target), true)
		return
	}
	fl.act(fl.relayer.Tick(now))
}

// drain takes in all events that wait and flushes what they delivered once.
func (fl *flight) drain() {
	fl.mu.Lock()
	events := fl.events
	fl.events = fl.spare[:0]
	fl.spare = events
	fl.mu.Unlock()
	now := time.Now()
	for i := range events {
		if !fl.ended {
			fl.take(now, events[i])
		}
		events[i] = event{}
	}
	fl.flush()
}

func (fl *flight) take(now time.Time, e event) {
	switch {
	case e.takenOver:
		fl.end(takenOver(), false)
	case e.down:
		fl.linkDown(e.link)
	case e.up:
		fl.linkUp(now, e.link)
	default:
		fl.frame(now, e)
	}
}

func (fl *flight) linkDown(link *linker.Link) {
	if fl.target.link == link {
		fl.target.link = nil
	}
}

// linkUp goes on over a fresh link to the same upstream, be it the same side or
// one that has taken its place.
func (fl *flight) linkUp(now time.Time, link *linker.Link) {
	if link.Peer().Upstream != string(fl.target.upstream) || link == fl.target.link {
		return
	}
	fl.target.link = link
	fl.act(fl.relayer.Relinked(now))
}

func (fl *flight) frame(now time.Time, e event) {
	switch body := e.frame.Body.(type) {
	case *wire.Frame_Tokens:
		fl.act(fl.relayer.Tokens(now, body.Tokens))
	case *wire.Frame_Final:
		fl.act(fl.relayer.Final(now, body.Final))
	case *wire.Frame_Queued:
		fl.relayer.Heard(now, body.Queued.RequestId, body.Queued.GenerationId)
	}
}

// act does what the relayer asked for.
func (fl *flight) act(actions relayer.Actions) {
	if len(actions.Deliver) > 0 {
		if fl.sink.Deliver(actions.From, actions.Deliver) != nil {
			fl.callerGone()
			return
		}
		fl.handed = true
	}
	if actions.Resume != nil {
		actions.Resume.DeadlineMs = time.Until(fl.request.Demand.Deadline).Milliseconds()
		_ = fl.send(&wire.Frame{Body: &wire.Frame_Resume{Resume: actions.Resume}})
	}
	switch {
	case actions.Complete:
		_, count := fl.relayer.Position()
		fl.completion = Completion{Tokens: count, FinishReason: actions.FinishReason, TokenSeconds: actions.TokenSeconds}
		fl.end(nil, false)
	case actions.Refusal != nil:
		// The side may hold what it has not been told to be over.
		fl.cancel(wire.ReasonGivenUp)
		fl.end(actions.Refusal, actions.Restart)
	}
}

// flush gives the caller what was handed over, then tells the side.
func (fl *flight) flush() {
	if fl.handed {
		fl.handed = false
		fl.idleAt = time.Now().Add(fl.options.IdleEvery)
		if fl.sink.Flush() != nil {
			fl.callerGone()
			return
		}
	}
	_, next := fl.relayer.Position()
	if ack := fl.relayer.Written(next); ack != nil {
		_ = fl.send(&wire.Frame{Body: &wire.Frame_Ack{Ack: ack}})
	}
}

func (fl *flight) end(refusal *currantwood.Refusal, again bool) {
	fl.ended, fl.refusal, fl.again = true, refusal, again
}

// abandon ends a request whose deadline has passed or whose caller has left.
func (fl *flight) abandon(ctx context.Context) {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		fl.callerGone()
		return
	}
	fl.cancel(wire.ReasonGivenUp)
	fl.end(fl.deadlinePassed(), false)
}

// callerGone leaves a stream to a caller that may reconnect; nobody can ask for
// the rest of a whole answer.
func (fl *flight) callerGone() {
	if fl.request.Streamed {
		fl.cancel(wire.ReasonCallerGone)
	} else {
		fl.cancel(wire.ReasonGivenUp)
	}
	fl.end(callerLeft(), false)
}

func (fl *flight) cancel(reason string) {
	_ = fl.send(&wire.Frame{Body: &wire.Frame_Cancel{Cancel: &wire.Cancel{
		RequestId:    string(fl.request.Demand.Request),
		GenerationId: string(fl.target.generation),
		Reason:       reason,
	}}})
}

func (fl *flight) send(frame *wire.Frame) error {
	if fl.target.link == nil {
		return linker.ErrClosed
	}
	return fl.target.link.Send(frame)
}
