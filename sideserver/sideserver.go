// Package sideserver is the shell of the side process: it listens for links of
// entries, hands their frames to the stages that serve them and reports the
// upstream's load.
package sideserver

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/admitter"
	"github.com/currantwood/currantwood/distributor"
	"github.com/currantwood/currantwood/gatekeeper"
	"github.com/currantwood/currantwood/linker"
	"github.com/currantwood/currantwood/runner"
	"github.com/currantwood/currantwood/wire"
)

const (
	step = "sideserver"
	// reportInterval is the time between two load reports to an entry.
	reportInterval = 250 * time.Millisecond
	// drainPoll is how often a drain looks whether streams are left.
	drainPoll = 20 * time.Millisecond
	// retryAfterLeaving is when to come back to an upstream that leaves; by
	// then the request reaches another one.
	retryAfterLeaving = 500 * time.Millisecond
)

// CallServer serves the calls of a plain service.
type CallServer interface {
	// Call runs one call to its final answer.
	Call(ctx context.Context, call *wire.Call) *wire.Answer
	// Ask looks the outcome of an operation up and runs nothing.
	Ask(ctx context.Context, ask *wire.Ask) *wire.Answer
}

// Options says what a side needs.
type Options struct {
	// Hello describes this process to its peers; Upstream is set.
	Hello *wire.Hello
	// Listener takes links. The side owns it.
	Listener net.Listener
	// Engine is nil beside a plain service, Calls is nil beside an engine.
	Engine currantwood.Engine
	// Gatekeeper bounds what the engine is given.
	Gatekeeper gatekeeper.Options
	Calls      CallServer
	// Handlers deal with the frames that are not of calls or generations.
	Handlers []distributor.Handler
	// Heartbeat and Silence are as in linker.Options.
	Heartbeat, Silence time.Duration
	Metrics            metrics.Registry
	Logger             *zap.Logger
}

// Server is one running side.
type Server struct {
	options Options
	links   *distributor.Distributor
	// admitter and runner are nil beside a plain service.
	admitter *admitter.Admitter
	runner   *runner.Runner
	ctx      context.Context
	cancel   context.CancelFunc
	wait     sync.WaitGroup

	mu sync.Mutex
	// leaving is set once and never taken back.
	leaving bool
	calls   sync.WaitGroup
}

// New starts a side.
func New(options Options) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{options: options, ctx: ctx, cancel: cancel}
	s.links = distributor.New(append([]distributor.Handler{s}, options.Handlers...)...)
	if options.Engine != nil {
		s.admitter = admitter.New(admitter.Options{
			Engine:     options.Engine,
			Gatekeeper: options.Gatekeeper,
			Logger:     options.Logger,
		})
		s.runner = runner.New(runner.Options{
			Engine:   options.Engine,
			Admitter: s.admitter,
			Upstream: currantwood.UpstreamID(options.Hello.Upstream),
			Limits:   runner.DefaultLimits(),
		})
	}
	s.registerMetrics()
	s.wait.Add(2)
	go func() {
		defer s.wait.Done()
		s.accept()
	}()
	go func() {
		defer s.wait.Done()
		s.report()
	}()
	return s
}

// Ready reports whether the side takes new work.
func (s *Server) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.leaving
}

// Leave refuses new work from now on and tells all entries so.
func (s *Server) Leave() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.links.Broadcast(&wire.Frame{Body: &wire.Frame_Leaving{Leaving: &wire.Leaving{
		Upstream: s.options.Hello.Upstream,
		Process:  s.options.Hello.Process,
	}}})
}

// Broadcast sends a frame on every live link.
func (s *Server) Broadcast(frame *wire.Frame) { s.links.Broadcast(frame) }

// Drain leaves and returns when nothing is in flight any more and every entry
// has its last answer, or ctx is done.
func (s *Server) Drain(ctx context.Context) error {
	s.Leave()
	idle := make(chan struct{})
	go func() {
		s.calls.Wait()
		close(idle)
	}()
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for idle != nil || s.runner != nil && s.runner.RunCount() > 0 {
		select {
		case <-idle:
			idle = nil
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%s: drain, peer %s", step, s.options.Hello.Upstream)
		}
	}
	return s.flush(ctx)
}

// flush waits until every entry has what was sent to it. An entry that doesn't
// answer is not waited for longer than the silence of a link.
func (s *Server) flush(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.options.Silence)
	defer cancel()
	var group errgroup.Group
	for _, link := range s.links.Links() {
		group.Go(func() error {
			err := link.Flush(ctx)
			if err != nil {
				s.options.Logger.Warn("entry may lack answers", zap.String("step", step), zap.Error(err))
			}
			return nil
		})
	}
	return group.Wait()
}

// Close ends the side at once, without a drain.
func (s *Server) Close() {
	s.cancel()
	_ = s.options.Listener.Close()
	for _, link := range s.links.Links() {
		link.Close()
	}
	if s.runner != nil {
		s.runner.Close()
		s.admitter.Close()
	}
	s.wait.Wait()
}

func (s *Server) accept() {
	for {
		conn, err := s.options.Listener.Accept()
		if err != nil {
			if s.ctx.Err() == nil {
				s.options.Logger.Error("accept failed", zap.String("step", step), zap.Error(err))
			}
			return
		}
		go func() { s.open(conn) }()
	}
}

func (s *Server) open(conn net.Conn) {
	link, err := linker.New(conn, linker.Options{
		Hello:     s.options.Hello,
		Heartbeat: s.options.Heartbeat,
		Silence:   s.options.Silence,
		Frame:     s.links.Frame,
		Closed:    s.links.Down,
	})
	if err != nil {
		s.options.Logger.Warn("link refused", zap.String("step", step), zap.Error(err))
		return
	}
	s.links.Up(link)
}

// Up tells a new link the load.
func (s *Server) Up(link *linker.Link) { _ = link.Send(s.loadFrame(nil)) }

// Down leaves what the link's peer was reading to a resume.
func (s *Server) Down(link *linker.Link, cause error) {
	if s.runner != nil {
		s.runner.LinkClosed(link)
	}
	s.options.Logger.Info("link closed", zap.String("step", step), zap.String("peer", link.Peer().Process), zap.Error(cause))
}

// Frame serves calls and generations.
func (s *Server) Frame(link *linker.Link, frame *wire.Frame) bool {
	switch body := frame.Body.(type) {
	case *wire.Frame_Start:
		s.start(link, body.Start)
	case *wire.Frame_Resume, *wire.Frame_Ack, *wire.Frame_Cancel:
		s.follow(link, frame)
	case *wire.Frame_Call:
		s.call(link, body.Call)
	case *wire.Frame_Ask:
		s.ask(link, body.Ask)
	default:
		return false
	}
	return true
}

// follow hands on a frame of a generation that was started before. A side that
// leaves still serves these.
func (s *Server) follow(link *linker.Link, frame *wire.Frame) {
	if s.runner == nil {
		return
	}
	switch body := frame.Body.(type) {
	case *wire.Frame_Resume:
		s.runner.Resume(link, body.Resume)
	case *wire.Frame_Ack:
		s.runner.Ack(body.Ack)
	case *wire.Frame_Cancel:
		s.runner.Cancel(link, body.Cancel)
	}
}

func (s *Server) start(link *linker.Link, start *wire.Start) {
	refusal := s.refuseNew(s.options.Engine != nil)
	if refusal == nil {
		s.runner.Start(link, start)
		return
	}
	_ = link.Send(&wire.Frame{Body: &wire.Frame_Final{Final: &wire.Final{
		RequestId:    start.RequestId,
		GenerationId: start.GenerationId,
		Refusal:      wire.FromRefusal(refusal),
	}}})
}

func (s *Server) call(link *linker.Link, call *wire.Call) {
	if refusal := s.refuseNew(s.options.Calls != nil); refusal != nil {
		s.answer(link, call.RequestId, &wire.Answer{Refusal: wire.FromRefusal(refusal)})
		return
	}
	s.serve(link, call.RequestId, time.Duration(call.DeadlineMs)*time.Millisecond, func(ctx context.Context) *wire.Answer {
		return s.options.Calls.Call(ctx, call)
	})
}

// askTimeout bounds the look-up of an outcome.
const askTimeout = 5 * time.Second

func (s *Server) ask(link *linker.Link, ask *wire.Ask) {
	if s.options.Calls == nil {
		return
	}
	s.serve(link, ask.RequestId, askTimeout, func(ctx context.Context) *wire.Answer {
		return s.options.Calls.Ask(ctx, ask)
	})
}

func (s *Server) serve(link *linker.Link, request string, timeout time.Duration, run func(context.Context) *wire.Answer) {
	s.calls.Add(1)
	go func() {
		defer s.calls.Done()
		ctx, cancel := context.WithTimeout(s.ctx, timeout)
		defer cancel()
		s.answer(link, request, run(ctx))
	}()
}

func (s *Server) answer(link *linker.Link, request string, answer *wire.Answer) {
	answer.RequestId = request
	_ = link.Send(&wire.Frame{Body: &wire.Frame_Answer{Answer: answer}})
}

// refuseNew says why new work of a kind can't be taken; nil when it can.
func (s *Server) refuseNew(served bool) *currantwood.Refusal {
	if !served {
		return currantwood.NewRefusal(currantwood.KindNoUpstream, step, "this upstream does not serve the kind of work", 0)
	}
	if !s.Ready() {
		return currantwood.NewRefusal(currantwood.KindShuttingDown, step, "the upstream is leaving", retryAfterLeaving)
	}
	return nil
}

func (s *Server) report() {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
			s.links.Broadcast(s.loadFrame(s.cacheEvents()))
		}
	}
}

// cacheEvents takes the engine's cache events since the last report.
func (s *Server) cacheEvents() []*wire.Cached {
	if s.admitter == nil {
		return nil
	}
	var cached []*wire.Cached
	for _, event := range s.admitter.TakeEvents() {
		c := &wire.Cached{Prefix: uint64(event.Prefix), Tokens: int64(event.Tokens)}
		if event.Evicted {
			c.Tokens = 0
		}
		cached = append(cached, c)
	}
	return cached
}

func (s *Server) loadFrame(cached []*wire.Cached) *wire.Frame {
	load := &wire.Load{
		Upstream: s.options.Hello.Upstream,
		Leaving:  !s.Ready(),
		EngineUp: true,
		Model:    s.options.Hello.Model,
	}
	if s.admitter != nil {
		report := s.admitter.Report()
		load.HeadroomTokens = int64(report.Headroom)
		load.Running = uint32(report.Running)
		load.Queued = uint32(report.Queued)
		load.PredictedWaitMs = report.PredictedWait.Milliseconds()
		load.EngineUp = report.EngineUp
		load.TokensPerSecond = report.Load.TokensPerSec
		load.Cached = cached
	}
	return &wire.Frame{Body: &wire.Frame_Load{Load: load}}
}

// registerMetrics registers the side's gauges; docs/operators/metrics.md lists
// them.
func (s *Server) registerMetrics() {
	gauge := func(name string, value func() int64) {
		_ = s.options.Metrics.Register(name, metrics.NewFunctionalGauge(value))
	}
	gauge("links", func() int64 { return int64(len(s.links.Links())) })
	if s.runner != nil {
		gauge("generations-running", func() int64 { return int64(s.runner.RunCount()) })
	}
}
