// Package entrystarter starts an entry process from its settings and shuts it
// down.
package entrystarter

import (
	"context"
	mathrand "math/rand"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/crashhandler"
	"github.com/currantwood/currantwood/dialer"
	"github.com/currantwood/currantwood/distributor"
	"github.com/currantwood/currantwood/entryserver"
	"github.com/currantwood/currantwood/forwarder"
	"github.com/currantwood/currantwood/headserver"
	"github.com/currantwood/currantwood/limiter"
	"github.com/currantwood/currantwood/linker"
	"github.com/currantwood/currantwood/linkkeeper"
	"github.com/currantwood/currantwood/matcher"
	"github.com/currantwood/currantwood/observer"
	"github.com/currantwood/currantwood/operatorserver"
	"github.com/currantwood/currantwood/prefixtracker"
	"github.com/currantwood/currantwood/promiser"
	"github.com/currantwood/currantwood/quarantiner"
	"github.com/currantwood/currantwood/reporter"
	"github.com/currantwood/currantwood/requestkeeper"
	"github.com/currantwood/currantwood/settingsreader"
	"github.com/currantwood/currantwood/sleeper"
	"github.com/currantwood/currantwood/subsetter"
	"github.com/currantwood/currantwood/tracker"
	"github.com/currantwood/currantwood/vmclient"
	"github.com/currantwood/currantwood/wire"
)

// Options says what an entry needs.
type Options struct {
	Settings settingsreader.Settings
	Logger   *zap.Logger
	// Dial connects to other processes; nil dials TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Entry is one running entry process.
type Entry struct {
	settings  settingsreader.Settings
	logger    *zap.Logger
	vms       currantwood.VMList
	tracker   *tracker.Tracker
	prefixes  *prefixtracker.Tracker
	limiter   *limiter.Limiter
	crashes   *crashhandler.Handler
	startedAt time.Time
	keeper    *linkkeeper.Keeper
	forwarder *forwarder.Forwarder
	server    *entryserver.Server
	links     *distributor.Distributor
	head      *headserver.Server
	dialer    *dialer.Dialer
	http      *http.Server
	operators *operatorserver.Server
	callers   net.Listener
	peers     net.Listener
	operator  net.Listener
	hello     *wire.Hello
	observer  *observer.Observer
	metrics   metrics.Registry
	recent    *requestkeeper.Keeper
	leaving   atomic.Bool
	// linked is set with the first link to a side and stays: an entry that has
	// lost all sides still gives callers their truthful refusals.
	linked  atomic.Bool
	matcher atomic.Pointer[matcher.Matcher]
	ctx     context.Context
	cancel  context.CancelFunc
	wait    sync.WaitGroup
}

// New starts an entry. It serves until Shutdown or Kill.
func New(options Options) (*Entry, error) {
	settings := options.Settings
	ctx, cancel := context.WithCancel(context.Background())
	e := &Entry{startedAt: time.Now(), settings: settings, logger: options.Logger, ctx: ctx, cancel: cancel, tracker: tracker.New(), hello: hello(settings)}
	e.metrics = metrics.NewRegistry()
	e.recent = requestkeeper.New(recentRequests)
	e.observer = observer.New(time.Now(), settings.Objective)
	if err := e.listen(); err != nil {
		cancel()
		return nil, err
	}
	e.vms = vmclient.New(vmclient.Options{Address: settings.Platform.VMList, Timeout: vmListTimeout})
	e.assemble(options)
	e.serve()
	return e, nil
}

// CallerAddress is where the entry takes requests of callers.
func (e *Entry) CallerAddress() string { return e.callers.Addr().String() }

// LinkAddress is where the entry takes links of its peers.
func (e *Entry) LinkAddress() string { return e.peers.Addr().String() }

// OperatorAddress is where the entry serves operators.
func (e *Entry) OperatorAddress() string { return e.operator.Addr().String() }

// Addresses lists what the entry listens on.
func (e *Entry) Addresses() settingsreader.Listen {
	return settingsreader.Listen{Callers: e.CallerAddress(), Links: e.LinkAddress(), Operators: e.OperatorAddress()}
}

// Sides is the number of upstreams in view.
func (e *Entry) Sides() int { return len(e.tracker.Links()) }

// Shutdown reports not ready, serves on for the balancer's lag and ends when no
// request is in flight.
func (e *Entry) Shutdown(ctx context.Context) error {
	e.leaving.Store(true)
	sleeper.Sleep(ctx, e.settings.Shutdown.BalancerLag.Std())
	err := e.http.Shutdown(ctx)
	e.Kill()
	return errors.Wrap(err, "entry: shutdown")
}

// Kill ends the entry at once, as a crash would.
func (e *Entry) Kill() {
	e.cancel()
	_ = e.http.Close()
	_ = e.peers.Close()
	e.dialer.Close()
	for _, link := range e.links.Links() {
		link.Close()
	}
	e.head.Close()
	_ = e.operators.Close(e.ctx)
	e.wait.Wait()
}

func (e *Entry) listen() error {
	var err error
	if e.callers, err = net.Listen("tcp", e.settings.Listen.Callers); err != nil {
		return errors.Wrap(err, "entry: listen for callers")
	}
	if e.peers, err = net.Listen("tcp", e.settings.Listen.Links); err != nil {
		_ = e.callers.Close()
		return errors.Wrap(err, "entry: listen for links")
	}
	if e.operator, err = net.Listen("tcp", e.settings.Listen.Operators); err != nil {
		_ = e.callers.Close()
		_ = e.peers.Close()
		return errors.Wrap(err, "entry: listen for operators")
	}
	return nil
}

func (e *Entry) assemble(options Options) {
	e.prefixes = prefixtracker.New(prefixtracker.DefaultOptions())
	e.limiter = limiter.New(limiter.DefaultOptions())
	e.crashes = crashhandler.New(quarantiner.Options{})
	retries := forwarder.DefaultRetries()
	retries.Share = currantwood.Share(e.settings.Entry.RetryShare)
	e.forwarder = forwarder.New(forwarder.Options{
		Tracker:       e.tracker,
		Quarantine:    e.crashes,
		Picker:        e.picker(),
		Prefixes:      e.prefixes,
		Reach:         func(now time.Time, upstream currantwood.UpstreamID) { e.keeper.Reach(now, upstream) },
		NewGeneration: func() currantwood.GenerationID { return currantwood.GenerationID(uuid.NewString()) },
		Limits:        forwarder.DefaultLimits(),
		Retries:       retries,
		Random:        mathrand.New(mathrand.NewSource(time.Now().UnixNano())),
		IdleEvery:     callerHeartbeat,
	})
	calls := e.newCaller()
	e.keeper = e.newKeeper()
	e.head = e.newHead()
	e.links = distributor.New(e.keeper, &sideHandler{entry: e}, &usageHandler{limiter: e.limiter}, e.crashes, calls, e.head)
	e.dialer = dialer.New(dialer.Options{
		Dial:   options.Dial,
		Link:   func(conn net.Conn, _ string) (*linker.Link, error) { return linker.New(conn, e.linkOptions(true)) },
		Up:     func(link *linker.Link, _ string) { e.links.Up(link) },
		Failed: e.dialFailed,
	})
	e.server = entryserver.New(entryserver.Options{
		Region:         currantwood.RegionID(e.settings.Region),
		Rules:          e.rules,
		Forwarder:      e.forwarder,
		Calls:          calls,
		Limiter:        e.limiter,
		Promiser:       promiser.New(promiser.DefaultOptions()),
		Observer:       e.observer,
		Metrics:        e.metrics,
		RecentRequests: e.recent,
		MaxBodyBytes:   e.settings.Entry.MaxBodyBytes,
		Logger:         e.logger,
	})
	e.http = &http.Server{Handler: http.HandlerFunc(e.answer), ReadHeaderTimeout: headerTimeout}
}

// answer serves a caller. Once the entry leaves, each answer ends its
// connection: a request that is written to a kept one while the entry closes it
// would be lost.
func (e *Entry) answer(w http.ResponseWriter, r *http.Request) {
	if e.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	e.server.ServeHTTP(w, r)
}

// callerHeartbeat is the time between heartbeats to a caller whose stream is
// idle.
const callerHeartbeat = 5 * time.Second

// headerTimeout bounds the reading of a request's header.
const headerTimeout = 10 * time.Second

func (e *Entry) serve() {
	e.operators = operatorserver.New(operatorserver.Options{
		Listener: e.operator,
		Ready:    e.Ready,
		Metrics:  e.metrics,
		Pages:    []operatorserver.Page{{Path: reporter.Path, Handler: e.serveLevels}, {Path: requestkeeper.Path, Handler: e.serveRecent}, {Path: headserver.Path, Handler: e.head.ServeHTTP}},
	})
	e.wait.Add(4)
	go func() {
		defer e.wait.Done()
		_ = e.http.Serve(e.callers)
	}()
	go func() {
		defer e.wait.Done()
		e.accept()
	}()
	go func() {
		defer e.wait.Done()
		e.keeper.Follow(e.ctx)
	}()
	go func() {
		defer e.wait.Done()
		e.shareUsage()
	}()
}

func (e *Entry) linkOptions(dialed bool) linker.Options {
	return linker.Options{
		Dialed:    dialed,
		Hello:     e.hello,
		Heartbeat: e.settings.Links.Heartbeat.Std(),
		Silence:   e.settings.Links.Silence.Std(),
		Frame:     e.links.Frame,
		Closed:    e.links.Down,
	}
}

// accept takes links of peers.
func (e *Entry) accept() {
	for {
		conn, err := e.peers.Accept()
		if err != nil {
			return
		}
		go func() {
			link, err := linker.New(conn, e.linkOptions(false))
			if err != nil {
				e.logger.Warn("link refused", zap.Error(err))
				return
			}
			e.links.Up(link)
		}()
	}
}

func (e *Entry) newKeeper() *linkkeeper.Keeper {
	return linkkeeper.New(linkkeeper.Options{
		Self: currantwood.VM{
			ID:     currantwood.VMID(e.settings.VM),
			Role:   currantwood.RoleEntry.String(),
			Region: currantwood.RegionID(e.settings.Region),
			Zone:   currantwood.ZoneID(e.settings.Zone),
		},
		VMs:      e.vms,
		Interval: e.settings.Platform.VMListInterval.Std(),
		Subset: subsetter.Options{
			Own:   e.settings.Entry.SidesPerGroup,
			Spill: e.settings.Entry.SidesElsewhere,
			All:   e.settings.Entry.WholeGroup,
		},
		Dial:    func(addresses []string) { e.dialer.Set(addresses) },
		Busy:    e.tracker.HasInFlight,
		Leaving: e.tracker.RecordLeaving,
		Logger:  e.logger,
	})
}

func (e *Entry) dialFailed(address string, err error) {
	e.logger.Debug("dial failed", zap.String("peer", address), zap.Error(err))
}

// serveLevels answers with what this entry saw of its objectives.
func (e *Entry) serveLevels(w http.ResponseWriter, _ *http.Request) {
	levels, err := e.observer.Levels(time.Now(), e.settings.Process)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	operatorserver.WriteJSON(w, levels)
}

// recentRequests is how many served generations are kept for recording.
const recentRequests = 4096

func (e *Entry) serveRecent(w http.ResponseWriter, _ *http.Request) {
	operatorserver.WriteJSON(w, e.recent.Recent())
}

// Ready says nil when the entry may be sent requests, else why not.
func (e *Entry) Ready() error {
	if e.leaving.Load() {
		return errors.New("leaving")
	}
	if e.rules() == nil {
		return errors.New("no rules yet")
	}
	if !e.linked.Load() {
		return errors.New("no link to a side yet")
	}
	if !e.crashes.Informed() && !e.keeper.Alone() && time.Since(e.startedAt) < informTimeout {
		return errors.New("no peer has told of crashes yet")
	}
	return nil
}

// informTimeout is how long a new entry waits for a peer to tell what it knows.
const informTimeout = 3 * time.Second

func hello(settings settingsreader.Settings) *wire.Hello {
	return &wire.Hello{
		Process:     settings.Process,
		Vm:          settings.VM,
		Role:        currantwood.RoleEntry.String(),
		Region:      settings.Region,
		Zone:        settings.Zone,
		Incarnation: rand.Uint64(),
	}
}

// vmListTimeout bounds one read of the VM list.
const vmListTimeout = 5 * time.Second
