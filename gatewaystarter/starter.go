// Package gatewaystarter assembles a gateway process from its settings, starts
// it and shuts it down.
package gatewaystarter

import (
	"context"
	"math/rand"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/boottimer"
	"github.com/currantwood/currantwood/configkeeper"
	"github.com/currantwood/currantwood/connkeeper"
	"github.com/currantwood/currantwood/crashsaver"
	"github.com/currantwood/currantwood/discoverer"
	"github.com/currantwood/currantwood/drainer"
	"github.com/currantwood/currantwood/gateway"
	"github.com/currantwood/currantwood/ingress/apportioner"
	"github.com/currantwood/currantwood/ingress/connlimiter"
	"github.com/currantwood/currantwood/memorykeeper"
	"github.com/currantwood/currantwood/peermessenger"
	"github.com/currantwood/currantwood/readpacer"
	"github.com/currantwood/currantwood/sleeper"
	"github.com/currantwood/currantwood/statepoller"
	"github.com/currantwood/currantwood/storecounter"
	"github.com/currantwood/currantwood/storewatcher"
	"github.com/currantwood/currantwood/streamencoder"
	"github.com/currantwood/currantwood/streamsaver"
	"github.com/currantwood/currantwood/upstreamkeeper"
)

// MetricsPort is the TCP port on the VM's own address at which a gateway serves
// its metrics. It must match deploy/system.toml.
const MetricsPort = 9464

const (
	// gcPercent is the garbage collection target percentage. The heap is small,
	// so the CPU time of more frequent collections costs less than the memory
	// that they save.
	gcPercent = 50
	// memoryLimitShare is the share of the VM's memory that is set as the
	// runtime's soft memory limit.
	memoryLimitShare = 0.6
	// tickInterval is the time between two calls of gateway.Tick.
	tickInterval = 250 * time.Millisecond
	// headerTimeout bounds the reading of a request's header, also if it makes the least
	// progress that package ingress/connlimiter requires.
	headerTimeout = time.Minute
	// idleTimeout is longer than clients keep an idle connection open.
	idleTimeout = 90 * time.Second
	// configurationReadWait is how long a read waits for a new configuration.
	// Each read that the store answers confirms that the current configuration,
	// and with it its keys, is the newest; this happens about once in this
	// time.
	configurationReadWait = 500 * time.Millisecond
	// collectorAgeShare is the age of the configuration, as a share of
	// Bounds.RevocationTime, up to which this gateway relies on the collector,
	// the gateway that reads the store for the others. At least half a second
	// must remain for a read of its own before keys are refused, which happens
	// 0.6 s (keyMargin in package gateway) before the end of RevocationTime. So
	// RevocationTime must be at least 1.7 s.
	collectorAgeShare = 1.0 / 3
	// maxConfigurationTakeOver bounds the wait for another collector before this gateway
	// reads the configuration, on whose age its keys depend.
	maxConfigurationTakeOver = 400 * time.Millisecond
	// dependentRetryPause is the least pause between failed reads of the configuration while
	// reads of the directory fail, too. One of them is enough to find the store back, and
	// lets the other be read at once.
	dependentRetryPause = 3 * time.Second
	// directoryReadPause is the time between two reads of the directory.
	// Upstreams write to it all the time, so a read that waits for the next
	// record would return at once.
	directoryReadPause = 200 * time.Millisecond
	// crashReadWait is how long a read waits for new crashes in the store, which
	// gateways that this one doesn't reach may have saved.
	crashReadWait = 2 * time.Second
	// startReadPause is the time between two reads of where streams began. The collector
	// writes these records itself, and reads what another one wrote.
	startReadPause = 10 * time.Second
	// callsLogInterval is the time between two lines about the calls to the store.
	callsLogInterval = 10 * time.Second
)

// Decoder decodes records of the store.
type Decoder interface {
	Configuration(value []byte) (currantwood.Configuration, error)
	Upstream(key string, value []byte) (currantwood.UpstreamRecord, error)
}

// Options holds the settings and dependencies of a gateway process.
type Options struct {
	Settings currantwood.GatewaySettings
	Logger   *zap.Logger
	Store    currantwood.KeyedStore
	// Writer writes to the same store.
	Writer currantwood.KeyedWriter
	Coder  currantwood.HeaderCoder
	Mover  currantwood.RunMover
	States currantwood.StateReader
	// Responses bounds what is kept of responses of upstreams.
	Responses *memorykeeper.Keeper
	Decoder   Decoder
	// ConfigurationTopic and ConfigurationKey locate the configuration in the
	// store, UpstreamTopic the directory of upstreams, and CrashTopic the crashes of
	// requests.
	ConfigurationTopic string
	ConfigurationKey   string
	// EvacuationKeyPrefix is followed by the availability zone in the keys of the records
	// of ConfigurationTopic that order an evacuation.
	EvacuationKeyPrefix string
	UpstreamTopic       string
	CrashTopic          string
	// StartTopic locates where streams began, and GatewayTopic the addresses of gateways.
	StartTopic, GatewayTopic string
}

// Process is a running gateway process.
type Process struct {
	options Options
	now     func() time.Time
	config  *configkeeper.Keeper
	gateway *gateway.Gateway
	peers   *peermessenger.Messenger
	// calls counts the calls to the store.
	calls *storecounter.Counter
	// readPacer decides when reads of the store that failed are repeated.
	readPacer *readpacer.Pacer
	// configuration and directory follow the topics that a gateway can't serve without.
	// watching is closed once both are set.
	configuration, directory *storewatcher.Watcher
	watching                 chan struct{}
	crashes                  *crashsaver.Saver
	starts                   *streamsaver.Saver
	discovery                *discoverer.Discoverer
	metrics                  metrics.Registry
	eraRises                 metrics.Counter
	// firstRead holds back the confirmation of the configuration while the process starts.
	firstRead firstRead
	// boundRoutes and boundCustomers count those that the configuration binds to regions.
	boundRoutes, boundCustomers atomic.Int64
	// arrivals tells whether requests still arrive during shutdown.
	arrivals *drainer.Drainer
	// shares divides the VM's memory and descriptors among the listeners, which limiters
	// limit.
	shares        apportioner.Apportioner
	clientLimiter *connlimiter.Limiter
	limiters      []*connlimiter.Limiter
	clientServer  *http.Server
	readyServer   *http.Server
	metricsServer *http.Server
	cancel        context.CancelFunc
}

// New starts a gateway process, which serves until Shutdown or Close. It fails
// if a listener for clients, readiness or peers can't be opened.
func New(options Options) (*Process, error) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(options.Settings.MemoryBytes)))
	ctx, cancel := context.WithCancel(context.Background())
	p := &Process{options: options, arrivals: drainer.New(), now: boottimer.Clock{}.Now, config: configkeeper.New(), watching: make(chan struct{}), metrics: metrics.NewRegistry(), cancel: cancel}
	p.calls = storecounter.New(options.Store, options.Writer, p.metrics)
	p.options.Store, p.options.Writer = p.calls, p.calls
	p.eraRises = metrics.NewRegisteredCounter("store-era-rises", p.metrics)
	p.shares = apportioner.New(options.Settings)
	p.clientLimiter = p.newLimiter("clients", p.shares.Clients())
	p.gateway = gateway.New(gateway.Options{
		ReclaimBody:   p.clientLimiter.ReclaimBody,
		Writable:      p.clientLimiter.Writable,
		TakeUnsent:    p.clientLimiter.TakeUnsent,
		Settings:      options.Settings,
		Logger:        options.Logger,
		Now:           p.now,
		Random:        rand.New(rand.NewSource(time.Now().UnixNano())),
		Configuration: p.config,
		Coder:         options.Coder,
		Mover:         options.Mover,
		States:        options.States,
		Connections:   connkeeper.New(p.now, options.Responses),
		Decode:        upstreamkeeper.DecodeFunc(options.Decoder.Upstream),
		Metrics:       p.metrics,
	})
	if err := p.listen(); err != nil {
		cancel()
		return nil, err
	}
	if err := p.startWatchers(ctx); err != nil {
		p.Close()
		return nil, err
	}
	go func() {
		for sleeper.Sleep(ctx, tickInterval) {
			p.gateway.Tick(p.now())
		}
	}()
	go func() {
		for sleeper.Sleep(ctx, tickInterval) {
			for _, limiter := range p.limiters {
				limiter.Sweep()
			}
		}
	}()
	go func() {
		for sleeper.Sleep(ctx, callsLogInterval) {
			p.logCalls()
		}
	}()
	options.Logger.Info("started", zap.String("vm", string(options.Settings.VM)), zap.String("zone", string(options.Settings.Zone)), zap.String("clients", options.Settings.ListenClients))
	return p, nil
}

// startWatchers starts the goroutines that read the store, exchange messages
// with the other gateways and poll upstreams for their state.
func (p *Process) startWatchers(ctx context.Context) error {
	peers, err := peermessenger.New(peermessenger.Options{
		Settings:      p.options.Settings,
		Logger:        p.options.Logger,
		Now:           p.now,
		Gateway:       p.gateway,
		Configuration: p.config,
	})
	if err != nil {
		return err
	}
	p.peers = peers
	p.readPacer = readpacer.New(rand.New(rand.NewSource(time.Now().UnixNano())))
	p.configuration = storewatcher.New(ctx, p.options.Store, p.options.Logger, p.now, p.configurationFeed())
	p.directory = storewatcher.New(ctx, p.options.Store, p.options.Logger, p.now, p.directoryFeed())
	close(p.watching)
	storewatcher.New(ctx, p.options.Store, p.options.Logger, p.now, p.crashFeed())
	peers.Start(ctx, p.configuration, p.directory)
	go func() { p.believeReads(ctx) }()
	p.crashes = crashsaver.New(ctx, crashsaver.Options{
		Store:       p.options.Writer,
		Topic:       p.options.CrashTopic,
		Crashes:     p.gateway,
		Logger:      p.options.Logger,
		Now:         p.now,
		TimeOfDay:   time.Now,
		Responsible: peers.Collects,
	})
	p.gateway.SetCrashSaver(p.crashes.Save)
	storewatcher.New(ctx, p.options.Store, p.options.Logger, p.now, p.startFeed())
	p.starts = streamsaver.New(ctx, streamsaver.Options{
		Store:       p.options.Writer,
		Topic:       p.options.StartTopic,
		Starts:      p.gateway,
		Encoder:     streamencoder.Encoder{Writer: uint8(xxhash.Sum64String(string(p.options.Settings.VM)) % streamencoder.Writers)},
		Logger:      p.options.Logger,
		Now:         p.now,
		TimeOfDay:   time.Now,
		Responsible: peers.Collects,
	})
	p.gateway.SetAskStart(peers.AskStart)
	p.startDiscovery(ctx)
	statepoller.New(ctx, statepoller.Options{
		Reader:       p.options.States,
		Gateway:      p.gateway,
		Logger:       p.options.Logger,
		Metrics:      p.metrics,
		Now:          p.now,
		DirectoryAge: p.directory.Age,
	})
	return nil
}
