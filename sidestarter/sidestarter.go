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

// Side is a running side process.
type Side struct {
	settings settingsreader.Settings
	server   *sideserver.Server
	// recorder is nil if the upstream is an engine.
	recorder       *recorder.Recorder
	headServer     *headserver.Server
	operatorServer *operatorserver.Server
	linkAddr       net.Addr
	operatorAddr   net.Addr
	metrics        metrics.Registry
}

// New starts a side, which serves until Shutdown or Kill.
func New(settings settingsreader.Settings, logger *zap.Logger) (*Side, error) {
	linkListener, err := net.Listen("tcp", settings.Listen.Links)
	if err != nil {
		return nil, errors.Wrap(err, "side: listen for links")
	}
	operatorListener, err := net.Listen("tcp", settings.Listen.Operators)
	if err != nil {
		_ = linkListener.Close()
		return nil, errors.Wrap(err, "side: listen for operators")
	}
	s := &Side{settings: settings, linkAddr: linkListener.Addr(), operatorAddr: operatorListener.Addr(), metrics: metrics.NewRegistry()}
	serverOptions, err := s.newServerOptions(linkListener, logger)
	if err != nil {
		_ = linkListener.Close()
		_ = operatorListener.Close()
		return nil, err
	}
	s.headServer = headserver.New(headserver.Options{Region: currantwood.RegionID(settings.Region), Metrics: s.metrics, Logger: logger})
	serverOptions.Handlers = append(serverOptions.Handlers, s.headServer)
	s.server = sideserver.New(serverOptions)
	s.operatorServer = operatorserver.New(operatorserver.Options{
		Listener: operatorListener,
		Ready:    s.Ready,
		Metrics:  s.metrics,
		Pages:    []operatorserver.Page{{Path: headserver.Path, Handler: s.headServer.ServeHTTP}},
	})
	return s, nil
}

// LinkAddress returns the address on which the side accepts links.
func (s *Side) LinkAddress() string { return s.linkAddr.String() }

// OperatorAddress returns the address on which the side serves operators.
func (s *Side) OperatorAddress() string { return s.operatorAddr.String() }

// Addresses returns the addresses on which the side listens.
func (s *Side) Addresses() settingsreader.Listen {
	return settingsreader.Listen{Links: s.LinkAddress(), Operators: s.OperatorAddress()}
}

// Leave makes the side refuse new work; work in flight goes on.
func (s *Side) Leave() { s.server.Leave() }

// Shutdown drains the server, waits until the outcomes are recorded, and stops the
// side. When ctx is done, it stops the side without a further wait.
func (s *Side) Shutdown(ctx context.Context) error {
	err := s.server.Drain(ctx)
	if s.recorder != nil && err == nil {
		err = errors.Wrap(s.recorder.Drain(ctx), "side: record outcomes")
	}
	s.close(ctx)
	return err
}

// Kill stops the side immediately, as a crash would.
func (s *Side) Kill() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	s.close(ctx)
}

func (s *Side) close(ctx context.Context) {
	s.server.Close()
	s.headServer.Close()
	if s.recorder != nil {
		s.recorder.Close()
	}
	_ = s.operatorServer.Close(ctx)
}

// Ready returns nil if the side accepts new work, else the reason why not.
func (s *Side) Ready() error {
	if !s.server.Ready() {
		return errors.New("leaving")
	}
	if s.headServer.Head().Revision == 0 {
		return errors.New("no rules yet")
	}
	return nil
}

// Head returns the latest published rules that the side knows of.
func (s *Side) Head() currantwood.RulesHead { return s.headServer.Head() }

// newServerOptions returns the server's options. For a plain service it sets
// s.recorder.
func (s *Side) newServerOptions(linkListener net.Listener, logger *zap.Logger) (sideserver.Options, error) {
	options := sideserver.Options{
		Hello:             s.newHello(),
		Listener:          linkListener,
		HeartbeatInterval: s.settings.Links.Heartbeat.AsDuration(),
		SilenceTimeout:    s.settings.Links.Silence.AsDuration(),
		Metrics:           s.metrics,
		Logger:            logger,
	}
	if s.settings.Side.Kind == currantwood.UpstreamEngine.String() {
		crashReporter := s.newCrashReporter()
		options.Engine = crashReporter.Engine()
		options.Handlers = append(options.Handlers, crashReporter)
		options.Gatekeeper = s.gatekeeperOptions()
		return options, nil
	}
	service, err := serviceclient.New(s.settings.Side.Address)
	if err != nil {
		return sideserver.Options{}, errors.Wrap(err, "side: create service client")
	}
	s.recorder = recorder.New(recorder.Options{
		Log: logclient.New(logclient.Options{
			Address: s.settings.Platform.LogService, Wait: logReadWait, HTTP: &http.Client{Transport: newTransport()},
		}),
		Service:  service,
		Upstream: currantwood.UpstreamID(s.settings.Side.Upstream),
		Metrics:  s.metrics,
		Logger:   logger,
	})
	options.Calls = s.recorder
	return options, nil
}

func (s *Side) gatekeeperOptions() gatekeeper.Options {
	options := gatekeeper.DefaultOptions()
	options.Confidence = currantwood.Share(s.settings.Side.Confidence)
	options.ReservedShare = currantwood.Share(s.settings.Side.ReservedShare)
	options.MemoryTokens = currantwood.TokenCount(s.settings.Side.MemoryTokens)
	return options
}

// logReadWait is how long a read of the operations log waits for new records.
const logReadWait = 500 * time.Millisecond

// newCrashReporter returns the reporter that wraps the side's engine client.
func (s *Side) newCrashReporter() *crashreporter.Reporter {
	return crashreporter.New(crashreporter.Options{
		Engine:    engineclient.New(&http.Client{Transport: newTransport()}, s.settings.Side.Address),
		Upstream:  currantwood.UpstreamID(s.settings.Side.Upstream),
		Broadcast: func(frame *wire.Frame) { s.server.Broadcast(frame) },
		Leaving:   func() bool { return !s.server.Ready() },
	})
}

func (s *Side) newHello() *wire.Hello {
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
	// maxIdleConns bounds the idle connections per transport, which connects to one
	// host only.
	maxIdleConns    = 256
	idleConnTimeout = 30 * time.Second
)

func newTransport() *http.Transport {
	return &http.Transport{
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
	}
}
