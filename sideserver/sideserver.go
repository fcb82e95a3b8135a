// Package sideserver implements the server of the side process: it accepts links
// of entries, dispatches their frames to handlers and reports the upstream's load.
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
	// drainPollInterval is how often Drain checks whether a client may still need
	// a generation.
	drainPollInterval = 20 * time.Millisecond
	// retryAfterLeaving is the retry delay in refusals by a leaving upstream. It
	// is for a client whose request no other upstream could take.
	retryAfterLeaving = 500 * time.Millisecond
)

// CallServer serves the calls of a plain service.
type CallServer interface {
	// Call runs a call and returns its answer.
	Call(ctx context.Context, call *wire.Call) *wire.Answer
	// Ask looks up the outcome of an operation and runs nothing.
	Ask(ctx context.Context, ask *wire.Ask) *wire.Answer
}

// Options configures a Server.
type Options struct {
	// Hello describes this process to its peers; its Upstream must be set.
	Hello *wire.Hello
	// Listener accepts links. The server closes it.
	Listener net.Listener
	// Engine is nil if the upstream is a plain service.
	Engine currantwood.Engine
	// Gatekeeper bounds the work that the engine is given.
	Gatekeeper gatekeeper.Options
	// Calls is nil if the upstream is an engine.
	Calls CallServer
	// Handlers process the frames that belong to no call or generation.
	Handlers []distributor.Handler
	// HeartbeatInterval and SilenceTimeout are as in linker.Options.
	HeartbeatInterval, SilenceTimeout time.Duration
	Metrics                           metrics.Registry
	Logger                            *zap.Logger
}

// Server serves the links of a side.
type Server struct {
	options Options
	links   *distributor.Distributor
	// admitter and runner are nil if the upstream is a plain service.
	admitter   *admitter.Admitter
	runner     *runner.Runner
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu sync.Mutex
	// leaving is never reset.
	leaving bool
	// callsInFlight counts the calls and asks that are being answered.
	callsInFlight sync.WaitGroup
}

// New starts a server. Close stops it.
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
	s.goroutines.Add(2)
	go func() {
		defer s.goroutines.Done()
		s.acceptLinks()
	}()
	go func() {
		defer s.goroutines.Done()
		s.reportLoad()
	}()
	return s
}

// Ready reports whether Leave was not called yet. It does not depend on whether
// the engine is up.
func (s *Server) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.leaving
}

// Leave makes the server refuse new work and notifies all linked entries.
func (s *Server) Leave() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.links.Broadcast(&wire.Frame{Body: &wire.Frame_Leaving{Leaving: &wire.Leaving{
		Upstream: s.options.Hello.Upstream,
		Process:  s.options.Hello.Process,
	}}})
}

// Broadcast sends a frame on every open link.
func (s *Server) Broadcast(frame *wire.Frame) { s.links.Broadcast(frame) }

// Drain calls Leave and waits until all calls are answered and no client needs a
// generation any more. Then it waits until the entries have received all answers,
// for at most Options.Silence. It fails if ctx is done during the first wait.
func (s *Server) Drain(ctx context.Context) error {
	s.Leave()
	idle := make(chan struct{})
	go func() {
		s.callsInFlight.Wait()
		close(idle)
	}()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for idle != nil || s.runner != nil && s.runner.RunCount() > 0 {
		select {
		case <-idle:
			idle = nil
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%s: drain, upstream %s", step, s.options.Hello.Upstream)
		}
	}
	return s.flush(ctx)
}

// flush waits until every entry has received what was sent to it, for at most
// Options.Silence.
func (s *Server) flush(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.options.SilenceTimeout)
	defer cancel()
	var group errgroup.Group
	for _, link := range s.links.Links() {
		group.Go(func() error {
			err := link.Flush(ctx)
			if err != nil {
				s.options.Logger.Warn("drain: failed to flush a link, its entry may not have received all answers", zap.String("step", step), zap.Error(err))
			}
			return nil
		})
	}
	return group.Wait()
}

// Close stops the server immediately, without a drain.
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
	s.goroutines.Wait()
}

func (s *Server) acceptLinks() {
	for {
		conn, err := s.options.Listener.Accept()
		if err != nil {
			if s.ctx.Err() == nil {
				s.options.Logger.Error("failed to accept a connection", zap.String("step", step), zap.Error(err))
			}
			return
		}
		go func() { s.openLink(conn) }()
	}
}

func (s *Server) openLink(conn net.Conn) {
	link, err := linker.New(conn, linker.Options{
		Hello:             s.options.Hello,
		HeartbeatInterval: s.options.HeartbeatInterval,
		SilenceTimeout:    s.options.SilenceTimeout,
		OnFrame:           s.links.Frame,
		OnClosed:          s.links.Down,
	})
	if err != nil {
		s.options.Logger.Warn("failed to open a link", zap.String("step", step), zap.Error(err))
		return
	}
	s.links.Up(link)
}

// Up sends the load on a new link.
func (s *Server) Up(link *linker.Link) { _ = link.Send(s.loadFrame(nil)) }

// Down detaches the generations that the link's peer was reading, so that they can
// be resumed over another link.
func (s *Server) Down(link *linker.Link, cause error) {
	if s.runner != nil {
		s.runner.LinkClosed(link)
	}
	s.options.Logger.Info("link closed", zap.String("step", step), zap.String("peer", link.Peer().Process), zap.Error(cause))
}

// Frame handles the frames of calls and generations.
func (s *Server) Frame(link *linker.Link, frame *wire.Frame) bool {
	switch body := frame.Body.(type) {
	case *wire.Frame_Start:
		s.start(link, body.Start)
	case *wire.Frame_Resume, *wire.Frame_Ack, *wire.Frame_Cancel:
		s.handleStartedGeneration(link, frame)
	case *wire.Frame_Call:
		s.call(link, body.Call)
	case *wire.Frame_Ask:
		s.ask(link, body.Ask)
	default:
		return false
	}
	return true
}

// handleStartedGeneration handles a frame of a generation that was started
// before. A leaving side still serves these.
func (s *Server) handleStartedGeneration(link *linker.Link, frame *wire.Frame) {
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
	refusal := s.refuseNewWork(s.options.Engine != nil)
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
	if refusal := s.refuseNewWork(s.options.Calls != nil); refusal != nil {
		s.answer(link, call.RequestId, &wire.Answer{Refusal: wire.FromRefusal(refusal)})
		return
	}
	s.answerAsync(link, call.RequestId, time.Duration(call.DeadlineMs)*time.Millisecond, func(ctx context.Context) *wire.Answer {
		return s.options.Calls.Call(ctx, call)
	})
}

// askTimeout bounds the lookup of an operation's outcome.
const askTimeout = 5 * time.Second

func (s *Server) ask(link *linker.Link, ask *wire.Ask) {
	if s.options.Calls == nil {
		return
	}
	s.answerAsync(link, ask.RequestId, askTimeout, func(ctx context.Context) *wire.Answer {
		return s.options.Calls.Ask(ctx, ask)
	})
}

// answerAsync calls handle in a goroutine and sends its answer. Drain waits for it.
func (s *Server) answerAsync(link *linker.Link, request string, timeout time.Duration, handle func(context.Context) *wire.Answer) {
	s.callsInFlight.Add(1)
	go func() {
		defer s.callsInFlight.Done()
		ctx, cancel := context.WithTimeout(s.ctx, timeout)
		defer cancel()
		s.answer(link, request, handle(ctx))
	}()
}

func (s *Server) answer(link *linker.Link, request string, answer *wire.Answer) {
	answer.RequestId = request
	_ = link.Send(&wire.Frame{Body: &wire.Frame_Answer{Answer: answer}})
}

// refuseNewWork returns why new work is refused, nil if it is accepted. served is
// whether the upstream has what the work needs: an engine for a generation, a call
// server for a call.
func (s *Server) refuseNewWork(served bool) *currantwood.Refusal {
	if !served {
		return currantwood.NewRefusal(currantwood.KindNoUpstream, step, "this upstream does not serve the kind of work", 0)
	}
	if !s.Ready() {
		return currantwood.NewRefusal(currantwood.KindShuttingDown, step, "the upstream is leaving", retryAfterLeaving)
	}
	return nil
}

func (s *Server) reportLoad() {
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

// cacheEvents removes and returns the engine's cache events since the last call.
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
