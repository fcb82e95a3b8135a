package gateway

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/balancer"
	"github.com/currantwood/currantwood/connkeeper"
	"github.com/currantwood/currantwood/eventsplitter"
	"github.com/currantwood/currantwood/pacer"
	"github.com/currantwood/currantwood/sleeper"
	"github.com/currantwood/currantwood/upstreamkeeper"
)

const (
	// targetsPatience is the number of target times that a healthy engine may
	// leave a stream without an event. A gateway that has one stream there sees
	// nothing of those that are served before it.
	targetsPatience = 3
	// writeSlack is how long after the deadline a write to a client that
	// doesn't read may still take.
	writeSlack = 200 * time.Millisecond
	// eventMemory is the number of events that the time of an event is averaged
	// over.
	eventMemory = 64
	// moveWait bounds the wait for a move that is under way when the stream's
	// upstream has ended. Clients give a stream up after a pause of some seconds.
	moveWait = 5 * time.Second
)

// leg is the part of a stream that one upstream delivers.
type leg struct {
	view   upstreamkeeper.View
	x      *connkeeper.Exchange
	events *eventsplitter.Splitter
	// load is what the balancer was told of it. Unread becomes 0 with the
	// first event.
	load balancer.Load
	// openedAt is when the upstream was asked, ahead what it had to read before;
	// only of a leg that reads the prompt.
	openedAt time.Time
	ahead    currantwood.TokenCount
	// eventAt is when the last event came; zero before the first.
	eventAt time.Time
}

// stream is one running stream.
type stream struct {
	*request
	ctx context.Context
	// last is the id of the last event that the client was given; -1 before.
	last atomic.Int64
	// begun is whether the client was given an event.
	begun atomic.Bool
	mu    sync.Mutex
	// current delivers; next takes over when current ends; both held by mu.
	current *leg
	next    *leg
	// callBack ends the leg that was started by open; held by mu. It is nil
	// before.
	callBack context.CancelFunc
	// moving is closed when the move under way ends; nil if there is none;
	// held by mu.
	moving chan struct{}
	// over is set when nothing more will be delivered; held by mu.
	over bool
	// handover is whether the next engine was asked to go on and has not
	// answered. Meanwhile pacer, which only relay uses, spreads the events.
	handover atomic.Bool
	pacer    *pacer.Pacer
}

// serveStream serves a request whose answer is passed on event by event.
func (q *request) serveStream(ctx context.Context) {
	s := &stream{request: q, ctx: ctx, pacer: pacer.New(q.route.GapTarget)}
	s.last.Store(q.client.LastEvent)
	defer s.finish()
	for {
		if !s.open() {
			return
		}
		err := s.relay()
		if err == nil {
			return
		}
		if !s.recover(err) {
			s.breakOff(err)
			return
		}
	}
}

// open starts the stream at an upstream. If it can't, it gives the final
// answer and reports false.
func (s *stream) open() bool {
	last := &refusal{status: http.StatusServiceUnavailable, reason: "no upstream", retryAfter: upstreamBack}
	for len(s.tried) < maxSends && s.ctx.Err() == nil {
		now := s.g.Now()
		if refused := s.refusedNow(now); refused != nil {
			last = refused
			break
		}
		choice, err := s.pick(now, s.streamPatience())
		if err != nil {
			last = s.unplaced(last, err)
			break
		}
		s.tried = append(s.tried, choice.View.ID)
		opened, err := s.start(choice, currantwood.UpstreamRequest{LastEvent: s.last.Load()})
		if err == nil && opened.x.Status != http.StatusOK {
			s.g.removeStream(choice.View.ID, s)
			s.passWhole(opened, choice)
			return false
		}
		if err == nil {
			s.ran++
			opened.openedAt, opened.ahead = now, choice.Load.Unread
			s.log("stream opened", zap.String("upstream", string(choice.View.ID)), zap.Float64("score", choice.Score), zap.Int("in-flight", choice.Load.Requests), zap.Int64("tokens-in-flight", int64(choice.Load.Tokens)), zap.Int64("after-event", s.last.Load()))
			s.install(opened)
			return true
		}
		if s.clientGone() {
			s.gone(choice)
			return false
		}
		s.log("upstream did not serve", zap.String("upstream", string(choice.View.ID)), zap.Error(err), zap.Float64("score", choice.Score))
		if s.ran > 0 {
			last = &refusal{status: http.StatusBadGateway, reason: "upstream failed"}
		}
		if !s.again(s.ctx) {
			break
		}
	}
	if s.begun.Load() {
		s.breakOff(errors.New("no upstream to resume at"))
		return false
	}
	if s.ran > 0 && s.ctx.Err() != nil {
		last = &refusal{status: http.StatusGatewayTimeout, reason: "deadline"}
	}
	s.refuse(last)
	return false
}

// start sends the stream to an upstream so that it can be called back while
// the upstream doesn't answer.
func (s *stream) start(choice balancer.Choice, to currantwood.UpstreamRequest) (*leg, error) {
	ctx, cancel := context.WithCancel(s.ctx)
	s.mu.Lock()
	s.callBack = cancel
	s.mu.Unlock()
	s.g.addStream(choice.View.ID, s)
	opened, err := s.send(ctx, choice, s.load(), to)
	if err != nil {
		s.g.removeStream(choice.View.ID, s)
		cancel()
	}
	return opened, err
}

func (s *stream) streamPatience() time.Duration {
	return targetsPatience * max(s.route.Target, time.Second)
}

// send starts the stream at an upstream, for which the load was noted.
func (s *stream) send(ctx context.Context, choice balancer.Choice, load balancer.Load, to currantwood.UpstreamRequest) (*leg, error) {
	x, err := s.exchange(ctx, choice, load, to)
	if err != nil {
		return nil, err
	}
	return &leg{view: choice.View, x: x, events: eventsplitter.New(x.Body), load: load}, nil
}

// passWhole passes on an answer that is no stream.
func (s *stream) passWhole(l *leg, choice balancer.Choice) {
	body, err := io.ReadAll(io.LimitReader(l.x.Body, maxCallAnswer))
	if err != nil {
		l.x.Abort()
		s.ended(l.view, l.load, balancer.Failed)
		s.refuse(&refusal{status: http.StatusBadGateway, reason: "upstream failed"})
		return
	}
	l.x.Finish()
	s.ended(l.view, l.load, balancer.Failed)
	s.pass(&answer{status: l.x.Status, header: l.x.Header, body: body}, choice)
}

// install makes a leg the current one.
func (s *stream) install(l *leg) {
	s.mu.Lock()
	s.current = l
	s.mu.Unlock()
	s.g.addStream(l.view.ID, s)
}

// relay passes events on until the stream ends. It returns nil at the end of
// the whole answer and when the client has left.
func (s *stream) relay() error {
	for {
		l := s.current
		event, err := l.events.Next()
		if err == nil {
			s.pace()
			if s.goOn(l, s.takeNext()) {
				continue
			}
			if err = s.deliver(l, event); err == nil {
				continue
			}
		}
		if s.clientGone() {
			s.leave(l, balancer.Neutral)
			s.g.figures.gone.Inc(1)
			s.log("client left", zap.String("upstream", string(l.view.ID)), zap.Int64("last-event", s.last.Load()))
			return nil
		}
		if s.goOn(l, s.takeNext()) {
			continue
		}
		if errors.Is(err, io.EOF) && s.complete() {
			s.leave(l, balancer.Served)
			s.g.figures.served.Inc(1)
			s.g.figures.answerTime.Update(s.g.Now().Sub(s.arrived).Microseconds())
			s.log("stream served", zap.String("upstream", string(l.view.ID)), zap.Int64("last-event", s.last.Load()), zap.Int("upstreams", s.ran))
			return nil
		}
		if s.goOn(l, s.awaitMove()) {
			continue
		}
		s.crashed(l.view)
		ending := balancer.Failed
		if s.ctx.Err() != nil {
			ending = balancer.Neutral
		}
		s.leave(l, ending)
		return err
	}
}

// pace keeps an event for a moment while another engine takes the run over.
func (s *stream) pace() {
	if !s.handover.Load() {
		return
	}
	if wait := s.pacer.Wait(s.g.Now()); wait > 0 {
		sleeper.Sleep(s.ctx, wait)
	}
}

// goOn passes on from one leg to the next and reports whether there is one.
func (s *stream) goOn(from, next *leg) bool {
	if next == nil {
		return false
	}
	// It may still be at work.
	from.x.Abort()
	s.leave(from, balancer.Served)
	s.install(next)
	s.watchLeaving(next)
	return true
}

// leaveFrozen ends the stream's leg at an upstream that makes no progress, if
// another run may go on. One that may not be repeated waits: the upstream may
// wake.
func (s *stream) leaveFrozen() {
	if !s.route.Resumable || s.route.MaxUpstreams < 2 {
		return
	}
	s.mu.Lock()
	callBack := s.callBack
	s.mu.Unlock()
	callBack()
}

// complete reports whether what came to a clean end is a whole answer.
func (s *stream) complete() bool { return s.begun.Load() }

// deliver passes one event on, unless the client has it already.
func (s *stream) deliver(l *leg, event eventsplitter.Event) error {
	if event.ID >= 0 {
		last := s.last.Load()
		if event.ID <= last {
			return nil
		}
		if last >= 0 && event.ID != last+1 {
			return errors.Errorf("event %d follows %d", event.ID, last)
		}
	}
	if !s.begun.Load() {
		s.begin(l)
	}
	s.g.progressed(l)
	if _, err := s.w.Write(event.Text); err != nil {
		return errors.Wrap(err, "write to client")
	}
	if err := http.NewResponseController(s.w).Flush(); err != nil {
		return errors.Wrap(err, "write to client")
	}
	s.pacer.Passed(s.g.Now())
	if event.ID >= 0 {
		s.last.Store(event.ID)
	}
	if l.load.Unread > 0 {
		s.g.readPrompt(l)
		// A run can be moved only from its first event on.
		s.watchLeaving(l)
	}
	return nil
}

// begin writes the head of the answer.
func (s *stream) begin(l *leg) {
	moveHeader(s.w.Header(), l.x.Header)
	// A client that doesn't read must not hold the stream for good.
	_ = http.NewResponseController(s.w).SetWriteDeadline(time.Now().Add(s.deadline.Sub(s.g.Now()) + writeSlack))
	s.w.WriteHeader(l.x.Status)
	s.begun.Store(true)
	s.g.figures.firstEventTime.Update(s.g.Now().Sub(s.arrived).Microseconds())
}

// leave ends the use of a leg.
func (s *stream) leave(l *leg, ending balancer.Ending) {
	if ending == balancer.Served && s.next == nil {
		l.x.Finish()
	} else {
		l.x.Abort()
	}
	s.g.removeStream(l.view.ID, s)
	s.ended(l.view, l.load, ending)
}

// recover reports whether a broken stream may go on by another run.
func (s *stream) recover(err error) bool {
	s.log("stream broken", zap.Error(err), zap.Int64("last-event", s.last.Load()))
	return s.again(s.ctx)
}

// breakOff ends an answer so that it doesn't look complete.
func (s *stream) breakOff(err error) {
	if !s.begun.Load() {
		status := http.StatusBadGateway
		if s.ctx.Err() != nil {
			status = http.StatusGatewayTimeout
		}
		s.refuse(&refusal{status: status, reason: "upstream failed"})
		return
	}
	s.g.figures.lost.Inc(1)
	s.log("stream broken off", zap.Error(err), zap.Int64("last-event", s.last.Load()), zap.Int("upstreams", s.ran))
	panic(http.ErrAbortHandler)
}

// finish ends what may still be under way for the stream.
func (s *stream) finish() {
	s.mu.Lock()
	s.over = true
	next, callBack := s.next, s.callBack
	s.next = nil
	s.mu.Unlock()
	if callBack != nil {
		callBack()
	}
	if next != nil {
		next.x.Abort()
		s.ended(next.view, next.load, balancer.Neutral)
	}
}

func (s *stream) takeNext() *leg {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.next
	s.next = nil
	return next
}

// awaitMove waits for a move that is under way and returns where it led.
func (s *stream) awaitMove() *leg {
	s.mu.Lock()
	moving := s.moving
	s.mu.Unlock()
	if moving == nil {
		return nil
	}
	timer := time.NewTimer(moveWait)
	defer timer.Stop()
	select {
	case <-moving:
	case <-timer.C:
	case <-s.ctx.Done():
	}
	return s.takeNext()
}
