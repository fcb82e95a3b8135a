// Package gatewaystarter starts a gateway process from its settings and shuts
// it down.
package gatewaystarter

import (
	"context"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/boottimer"
	"github.com/currantwood/currantwood/configkeeper"
	"github.com/currantwood/currantwood/connkeeper"
	"github.com/currantwood/currantwood/gateway"
	"github.com/currantwood/currantwood/peermessenger"
	"github.com/currantwood/currantwood/sleeper"
	"github.com/currantwood/currantwood/statepoller"
	"github.com/currantwood/currantwood/storewatcher"
	"github.com/currantwood/currantwood/upstreamkeeper"
)

// MetricsPort is where a gateway serves its metrics, on its own address. The
// deploy file names it.
const MetricsPort = 9464

const (
	// gcPercent is the garbage collector's percentage: the heap is small,
	// and memory costs more than collecting it.
	gcPercent = 50
	// memoryLimitShare is the part of the VM's memory that the runtime keeps to.
	memoryLimitShare = 0.6
	// tickInterval is how often what is due by time alone is looked for.
	tickInterval = 250 * time.Millisecond
	// loadBalancerLag is how long after a process has said that it isn't ready
	// clients are still sent to it.
	loadBalancerLag = 3500 * time.Millisecond
	// headerTimeout bounds the reading of a request's head.
	headerTimeout = 10 * time.Second
	// idleTimeout is above what clients keep a connection idle for.
	idleTimeout = 90 * time.Second
	// maxHeaderBytes bounds the head of a request.
	maxHeaderBytes = 64 << 10
	// configurationReadWait is how long a read waits for a new configuration. The
	// freshness of keys is proven once in this time.
	configurationReadWait = 500 * time.Millisecond
	// collectorAgeShare is the part of the time of revocation up to which the gateway
	// that collects is relied on for the freshness of the configuration. Half a
	// second for a read of its own has to be left before keys are refused.
	collectorAgeShare = 1.0 / 3
	// directoryReadPause is the time between two reads of the directory. Upstreams
	// write all the time, so that a read that waits for the next record would
	// return at once.
	directoryReadPause = 200 * time.Millisecond
	// exitMargin is how long before the end of the grace a process ends by
	// itself.
	exitMargin = 300 * time.Millisecond
)

// Decoder decodes the records of the store.
type Decoder interface {
	Configuration(value []byte) (currantwood.Configuration, error)
	Upstream(key string, value []byte) (currantwood.UpstreamRecord, error)
}

// Options says what a gateway process needs.
type Options struct {
	Settings currantwood.GatewaySettings
	Logger   *zap.Logger
	Store    currantwood.KeyedStore
	Coder    currantwood.HeaderCoder
	Mover    currantwood.RunMover
	States   currantwood.StateReader
	Decoder  Decoder
	// ConfigurationTopic, ConfigurationKey and UpstreamTopic are where the
	// store keeps the configuration and the directory.
	ConfigurationTopic string
	ConfigurationKey   string
	UpstreamTopic      string
}

// Starter is one running gateway process.
type Starter struct {
	options      Options
	now          func() time.Time
	config       *configkeeper.Keeper
	gateway      *gateway.Gateway
	peers        *peermessenger.Messenger
	metrics      metrics.Registry
	clientServer *http.Server
	readyServer  *http.Server
	// metricsServer serves the metrics.
	metricsServer *http.Server
	cancel        context.CancelFunc
}

// New starts a gateway. It serves until Shutdown.
func New(options Options) (*Starter, error) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(options.Settings.MemoryBytes)))
	ctx, cancel := context.WithCancel(context.Background())
	s := &Starter{options: options, now: boottimer.Clock{}.Now, config: configkeeper.New(), metrics: metrics.NewRegistry(), cancel: cancel}
	s.gateway = gateway.New(gateway.Options{
		Settings:      options.Settings,
		Logger:        options.Logger,
		Now:           s.now,
		Random:        rand.New(rand.NewSource(time.Now().UnixNano())),
		Configuration: s.config,
		Coder:         options.Coder,
		Mover:         options.Mover,
		Connections:   connkeeper.New(s.now),
		Decode:        upstreamkeeper.Decode(options.Decoder.Upstream),
		Metrics:       s.metrics,
	})
	if err := s.listen(); err != nil {
		cancel()
		return nil, err
	}
	if err := s.startWatchers(ctx); err != nil {
		cancel()
		return nil, err
	}
	go func() {
		for sleeper.Sleep(ctx, tickInterval) {
			s.gateway.Tick(s.now())
		}
	}()
	options.Logger.Info("started", zap.String("vm", string(options.Settings.VM)), zap.String("zone", string(options.Settings.Zone)), zap.String("clients", options.Settings.ListenClients))
	return s, nil
}

// startWatchers begins to read the store and to speak with the other gateways.
func (s *Starter) startWatchers(ctx context.Context) error {
	peers, err := peermessenger.New(peermessenger.Options{
		Settings:      s.options.Settings,
		Logger:        s.options.Logger,
		Now:           s.now,
		Gateway:       s.gateway,
		Configuration: s.config,
	})
	if err != nil {
		return err
	}
	s.peers = peers
	configuration := storewatcher.New(ctx, s.options.Store, s.options.Logger, s.now, s.configurationFeed())
	directory := storewatcher.New(ctx, s.options.Store, s.options.Logger, s.now, s.upstreamFeed())
	peers.Start(ctx, configuration, directory)
	statepoller.New(ctx, statepoller.Options{
		Reader:       s.options.States,
		Gateway:      s.gateway,
		Logger:       s.options.Logger,
		Metrics:      s.metrics,
		Now:          s.now,
		DirectoryAge: directory.Age,
	})
	return nil
}

func (s *Starter) configurationFeed() storewatcher.Feed {
	take := func(_ time.Time, records []currantwood.KeyedRecord) {
		for _, record := range records {
			s.applyConfiguration(record)
		}
	}
	return storewatcher.Feed{
		Name:    "configuration",
		Topic:   s.options.ConfigurationTopic,
		Wait:    configurationReadWait,
		Replace: take,
		Apply: func(now time.Time, records []currantwood.KeyedRecord) []currantwood.KeyedRecord {
			take(now, records)
			return nil
		},
		Taken:    func(time.Time, currantwood.Offset, currantwood.Offset, []currantwood.KeyedRecord) {},
		Proven:   s.config.Proven,
		Regained: func(time.Time) {},
		Stale:    func(now time.Time) bool { return !s.gateway.ConfigurationFresh(now) },
		Covered: func(now time.Time) (time.Time, bool) {
			age := s.config.Age(now)
			return now.Add(-age), s.peers.Collected(now) && age < time.Duration(collectorAgeShare*float64(s.options.Settings.Bounds.Revocation))
		},
	}
}

func (s *Starter) upstreamFeed() storewatcher.Feed {
	return storewatcher.Feed{
		Name:     "upstreams",
		Topic:    s.options.UpstreamTopic,
		Pause:    directoryReadPause,
		Replace:  s.gateway.ReplaceUpstreamRecords,
		Apply:    s.gateway.ApplyUpstreamRecords,
		Taken:    s.peers.DirectoryRead,
		Proven:   func(time.Time) {},
		Regained: s.gateway.DirectoryRestored,
		Stale:    func(time.Time) bool { return false },
		Covered: func(now time.Time) (time.Time, bool) {
			return time.Time{}, s.peers.DirectoryCovered(now)
		},
	}
}

func (s *Starter) applyConfiguration(record currantwood.KeyedRecord) {
	if record.Key != s.options.ConfigurationKey || len(record.Value) == 0 {
		return
	}
	configuration, err := s.options.Decoder.Configuration(record.Value)
	if err != nil {
		s.options.Logger.Error("configuration not understood, keeping the one held", zap.Error(err))
		return
	}
	if s.config.Offer(configuration) {
		s.options.Logger.Info("configuration taken", zap.Uint64("version", uint64(configuration.Version)), zap.Int("routes", len(configuration.Routes)), zap.Int("keys", len(configuration.Keys)))
	}
}

// listen opens the listeners and serves them.
func (s *Starter) listen() error {
	clients, err := net.Listen("tcp", s.options.Settings.ListenClients)
	if err != nil {
		return errors.Wrap(err, "listen for clients")
	}
	ready, err := net.Listen("tcp", s.options.Settings.ListenReady)
	if err != nil {
		_ = clients.Close()
		return errors.Wrap(err, "listen for readiness")
	}
	s.clientServer = &http.Server{
		Handler:                      s.gateway,
		ReadHeaderTimeout:            headerTimeout,
		IdleTimeout:                  idleTimeout,
		MaxHeaderBytes:               maxHeaderBytes,
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     zap.NewStdLog(s.options.Logger.Named("http")),
	}
	s.readyServer = newOperatorServer("/readyz", s.serveReady)
	s.metricsServer = newOperatorServer("/metrics", s.serveMetrics)
	go func() { _ = s.clientServer.Serve(clients) }()
	go func() { _ = s.readyServer.Serve(ready) }()
	s.listenForMetrics()
	return nil
}

// listenForMetrics serves the metrics. A gateway serves clients without them.
func (s *Starter) listenForMetrics() {
	address := net.JoinHostPort(s.options.Settings.IP, strconv.Itoa(MetricsPort))
	listener, err := net.Listen("tcp", address)
	if err != nil {
		s.options.Logger.Warn("metrics are not served", zap.String("address", address), zap.Error(err))
		return
	}
	go func() { _ = s.metricsServer.Serve(listener) }()
}

func newOperatorServer(path string, serve http.HandlerFunc) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, serve)
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
}

func (s *Starter) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !s.gateway.Ready(s.now()) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serveMetrics writes one metric a line.
func (s *Starter) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	s.metrics.Each(func(name string, metric any) {
		switch m := metric.(type) {
		case metrics.Counter:
			fmt.Fprintf(w, "%s %d\n", name, m.Count())
		case metrics.Histogram:
			h := m.Snapshot()
			p := h.Percentiles([]float64{0.5, 0.95, 0.99})
			fmt.Fprintf(w, "%s-count %d\n%s-p50 %.0f\n%s-p95 %.0f\n%s-p99 %.0f\n", name, h.Count(), name, p[0], name, p[1], name, p[2])
		}
	})
	fmt.Fprintf(w, "requests-in-flight %d\n", s.gateway.InFlight())
	fmt.Fprintf(w, "configuration-age-us %d\n", s.config.Age(s.now()).Microseconds())
}

// Shutdown stops taking clients, serves what still comes and runs, and ends.
func (s *Starter) Shutdown(ctx context.Context) error {
	s.options.Logger.Info("stopping", zap.Int64("in-flight", s.gateway.InFlight()))
	grace := s.options.Settings.Bounds.Grace - exitMargin
	s.gateway.Stop(s.now().Add(grace))
	ctx, cancel := context.WithTimeout(ctx, grace)
	defer cancel()
	sleeper.Sleep(ctx, min(loadBalancerLag, grace/2))
	err := s.clientServer.Shutdown(ctx)
	s.options.Logger.Info("stopped", zap.Int64("cut-off", s.gateway.InFlight()))
	_ = s.readyServer.Close()
	_ = s.metricsServer.Close()
	s.cancel()
	return errors.Wrap(err, "requests were cut off at the end of the grace")
}

// Close ends the gateway at once and cuts off what it serves.
func (s *Starter) Close() {
	s.cancel()
	_ = s.clientServer.Close()
	_ = s.readyServer.Close()
	_ = s.metricsServer.Close()
}
