// Package sidestarter starts a side process from its settings and shuts it down.
package sidestarter

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/crashreporter"
	"github.com/currantwood/currantwood/engineclient"
	"github.com/currantwood/currantwood/gatekeeper"
	"github.com/currantwood/currantwood/headserver"
	"github.com/currantwood/currantwood/logclient"
	"github.com/currantwood/currantwood/operatorserver"
	"github.com/currantwood/currantwood/recorder"
	"github.com/currantwood/currantwood/serviceclient"
	"github.com/currantwood/currantwood/settingsreader"
	"github.com/currantwood/currantwood/sideserver"
	"github.com/currantwood/currantwood/wire"
)

// Side is one running side process.
type Side struct {
	settings settingsreader.Settings
	server   *sideserver.Server
	// recorder is nil beside an engine.
	recorder  *recorder.Recorder
	head      *headserver.Server
	operators *operatorserver.Server
	links     net.Addr
	operator  net.Addr
	metrics   metrics.Registry
}

// New starts a side. It serves until Shutdown or Kill.
func New(settings settingsreader.Settings, logger *zap.Logger) (*Side, error) {
	links, err := net.Listen("tcp", settings.Listen.Links)
	if err != nil {
		return nil, errors.Wrap(err, "side: listen for links")
	}
	operators, err := net.Listen("tcp", settings.Listen.Operators)
	if err != nil {
		_ = links.Close()
		return nil, errors.Wrap(err, "side: listen for operators")
	}
	s := &Side{settings: settings, links: links.Addr(), operator: operators.Addr(), metrics: metrics.NewRegistry()}
	serverOptions, err := s.options(links, logger)
	if err != nil {
		_ = links.Close()
		_ = operators.Close()
		return nil, err
	}
	s.head = headserver.New(headserver.Options{Region: currantwood.RegionID(settings.Region), Metrics: s.metrics, Logger: logger})
	serverOptions.Handlers = append(serverOptions.Handlers, s.head)
	s.server = sideserver.New(serverOptions)
	s.operators = operatorserver.New(operatorserver.Options{
		Listener: operators,
		Ready:    s.Ready,
		Metrics:  s.metrics,
		Pages:    []operatorserver.Page{{Path: headserver.Path, Handler: s.head.ServeHTTP}},
	})
	return s, nil
}

// LinkAddress is where the side takes links.
func (s *Side) LinkAddress() string { return s.links.String() }

// OperatorAddress is where the side serves operators.
func (s *Side) OperatorAddress() string { return s.operator.String() }

// Addresses lists what the side listens on.
func (s *Side) Addresses() settingsreader.Listen {
	return settingsreader.Listen{Links: s.LinkAddress(), Operators: s.OperatorAddress()}
}

// Leave refuses new work from now on and serves on.
func (s *Side) Leave() { s.server.Leave() }

// Shutdown refuses new work at once and ends when nothing is in flight.
func (s *Side) Shutdown(ctx context.Context) error {
	err := s.server.Drain(ctx)
	if s.recorder != nil && err == nil {
		err = errors.Wrap(s.recorder.Drain(ctx), "side: record outcomes")
	}
	s.close(ctx)
	return err
}

// Kill ends the side at once, as a crash would.
func (s *Side) Kill() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	s.close(ctx)
}

func (s *Side) close(ctx context.Context) {
	s.server.Close()
	s.head.Close()
	if s.recorder != nil {
		s.recorder.Close()
	}
	_ = s.operators.Close(ctx)
}

// Ready says nil when the side takes new work, else why not.
func (s *Side) Ready() error {
	if !s.server.Ready() {
		return errors.New("leaving")
	}
	if s.head.Head().Revision == 0 {
		return errors.New("no rules yet")
	}
	return nil
}

// Head returns the published rules that the side knows of.
func (s *Side) Head() currantwood.RulesHead { return s.head.Head() }

func (s *Side) options(links net.Listener, logger *zap.Logger) (sideserver.Options, error) {
	options := sideserver.Options{
		Hello:     s.hello(),
		Listener:  links,
		Heartbeat: s.settings.Links.Heartbeat.Std(),
		Silence:   s.settings.Links.Silence.Std(),
		Metrics:   s.metrics,
		Logger:    logger,
	}
	if s.settings.Side.Kind == currantwood.UpstreamEngine.String() {
		crashes := s.crashReporter()
		options.Engine = crashes.Engine()
		options.Handlers = append(options.Handlers, crashes)
		options.Gatekeeper = s.gatekeeper()
		return options, nil
	}
	service, err := serviceclient.New(s.settings.Side.Address)
	if err != nil {
		return sideserver.Options{}, errors.Wrap(err, "side")
	}
	s.recorder = recorder.New(recorder.Options{
		Log: logclient.New(logclient.Options{
			Address: s.settings.Platform.LogService, Wait: logWait, HTTP: &http.Client{Transport: transport()},
		}),
		Service:  service,
		Upstream: currantwood.UpstreamID(s.settings.Side.Upstream),
		Metrics:  s.metrics,
		Logger:   logger,
	})
	options.Calls = s.recorder
	return options, nil
}

func (s *Side) gatekeeper() gatekeeper.Options {
	options := gatekeeper.DefaultOptions()
	options.Confidence = currantwood.Share(s.settings.Side.Confidence)
	options.CheckReserve = currantwood.Share(s.settings.Side.ReservedShare)
	options.MemoryTokens = currantwood.TokenCount(s.settings.Side.MemoryTokens)
	return options
}

// logWait is how long a read of the operations log waits for a record.
const logWait = 500 * time.Millisecond

// crashReporter stands between the side and its engine.
func (s *Side) crashReporter() *crashreporter.Reporter {
	return crashreporter.New(crashreporter.Options{
		Engine:    engineclient.New(&http.Client{Transport: transport()}, s.settings.Side.Address),
		Upstream:  currantwood.UpstreamID(s.settings.Side.Upstream),
		Broadcast: func(frame *wire.Frame) { s.server.Broadcast(frame) },
		Leaving:   func() bool { return !s.server.Ready() },
	})
}

func (s *Side) hello() *wire.Hello {
	return &wire.Hello{
		Process:     s.settings.Process,
		Vm:          s.settings.VM,
		Role:        currantwood.RoleSide.String(),
		Region:      s.settings.Region,
		Zone:        s.settings.Zone,
		Incarnation: rand.Uint64(),
		Upstream:    s.settings.Side.Upstream,
		Group:       s.settings.Side.Group,
		Model:       s.settings.Side.Model,
	}
}

const (
	// maxIdleConns keeps connections to the one upstream open between requests.
	maxIdleConns = 256
	idleTimeout  = 30 * time.Second
)

func transport() *http.Transport {
	return &http.Transport{
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,
	}
}
