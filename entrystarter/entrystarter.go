// Package entrystarter starts and shuts down an entry process, which serves
// clients and forwards their requests to sides.
package entrystarter

import (
	"context"
	mathrand "math/rand"
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
	"github.com/currantwood/currantwood/drainer"
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
	"github.com/currantwood/currantwood/tracker"
	"github.com/currantwood/currantwood/vmclient"
	"github.com/currantwood/currantwood/wire"
)

// Options configures an Entry.
type Options struct {
	Settings settingsreader.Settings
	Logger   *zap.Logger
	// Dial connects to other processes; if nil, TCP is used.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Entry is one running entry process.
type Entry struct {
	settings         settingsreader.Settings
	logger           *zap.Logger
	vmList           currantwood.VMList
	tracker          *tracker.Tracker
	prefixes         *prefixtracker.Tracker
	limiter          *limiter.Limiter
	crashHandler     *crashhandler.Handler
	startedAt        time.Time
	linkKeeper       *linkkeeper.Keeper
	forwarder        *forwarder.Forwarder
	server           *entryserver.Server
	distributor      *distributor.Distributor
	headServer       *headserver.Server
	dialer           *dialer.Dialer
	httpServer       *http.Server
	operatorServer   *operatorserver.Server
	clientListener   net.Listener
	linkListener     net.Listener
	operatorListener net.Listener
	hello            *wire.Hello
	observer         *observer.Observer
	metrics          metrics.Registry
	recentRequests   *requestkeeper.Keeper
	shuttingDown     atomic.Bool
	// arrivals tells whether requests still arrive during shutdown.
	arrivals *drainer.Drainer
	// linkedOnce is set by the first link to a side and never reset: an entry that
	// lost all its sides stays ready, because it can still send clients accurate
	// refusals.
	linkedOnce atomic.Bool
	matcher    atomic.Pointer[matcher.Matcher]
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// New starts an entry, which serves until Shutdown or Kill. It returns an error if
// an address can't be listened on.
func New(options Options) (*Entry, error) {
	settings := options.Settings
	ctx, cancel := context.WithCancel(context.Background())
	e := &Entry{startedAt: time.Now(), settings: settings, logger: options.Logger, ctx: ctx, cancel: cancel, tracker: tracker.New(), hello: newHello(settings)}
	e.metrics = metrics.NewRegistry()
	e.recentRequests = requestkeeper.New(recentRequestLimit)
	e.observer = observer.New(time.Now(), settings.Objective)
	if err := e.listen(); err != nil {
		cancel()
		return nil, err
	}
	e.vmList = vmclient.New(vmclient.Options{BaseURL: settings.Platform.VMList, Timeout: vmListTimeout})
	e.createComponents(options)
	e.serve()
	return e, nil
}

// ClientAddress returns the address that accepts client requests.
func (e *Entry) ClientAddress() string { return e.clientListener.Addr().String() }

// LinkAddress returns the address that accepts links from other processes.
func (e *Entry) LinkAddress() string { return e.linkListener.Addr().String() }

// OperatorAddress returns the address that serves health, metrics and other pages to
// operators.
func (e *Entry) OperatorAddress() string { return e.operatorListener.Addr().String() }

// Addresses returns all addresses that the entry listens on.
func (e *Entry) Addresses() settingsreader.Listen {
	return settingsreader.Listen{Callers: e.ClientAddress(), Links: e.LinkAddress(), Operators: e.OperatorAddress()}
}

// LinkedSideCount returns the number of sides that the entry has links to.
func (e *Entry) LinkedSideCount() int { return len(e.tracker.Links()) }

// Shutdown makes the entry not ready, keeps serving until load balancers have had
// time to notice, waits for the requests in flight and stops the entry. It returns
// an error if ctx ends before these requests do.
func (e *Entry) Shutdown(ctx context.Context) error {
	e.shuttingDown.Store(true)
	sleeper.Sleep(ctx, e.settings.Shutdown.BalancerLag.AsDuration())
	e.arrivals.Wait(ctx, time.Now)
	err := e.httpServer.Shutdown(ctx)
	e.Kill()
	return errors.Wrap(err, "entry: shut down HTTP server")
}

// Kill stops the entry at once, aborting the requests in flight as a crash would.
func (e *Entry) Kill() {
	e.cancel()
	_ = e.httpServer.Close()
	_ = e.linkListener.Close()
	e.dialer.Close()
	for _, link := range e.distributor.Links() {
		link.Close()
	}
	e.headServer.Close()
	_ = e.operatorServer.Close(e.ctx) // doesn't wait, since e.ctx is canceled
	e.goroutines.Wait()
}

func (e *Entry) listen() error {
	var err error
	if e.clientListener, err = net.Listen("tcp", e.settings.Listen.Callers); err != nil {
		return errors.Wrap(err, "entry: listen for clients")
	}
	if e.linkListener, err = net.Listen("tcp", e.settings.Listen.Links); err != nil {
		_ = e.clientListener.Close()
		return errors.Wrap(err, "entry: listen for links")
	}
	if e.operatorListener, err = net.Listen("tcp", e.settings.Listen.Operators); err != nil {
		_ = e.clientListener.Close()
		_ = e.linkListener.Close()
		return errors.Wrap(err, "entry: listen for operators")
	}
	return nil
}

func (e *Entry) createComponents(options Options) {
	e.prefixes = prefixtracker.New(prefixtracker.DefaultOptions())
	e.limiter = limiter.New(limiter.DefaultOptions())
	e.crashHandler = crashhandler.New(quarantiner.Options{})
	retries := forwarder.DefaultRetryOptions()
	retries.Share = currantwood.Share(e.settings.Entry.RetryShare)
	e.forwarder = forwarder.New(forwarder.Options{
		Tracker:       e.tracker,
		Quarantine:    e.crashHandler,
		Picker:        e.newPicker(),
		Prefixes:      e.prefixes,
		RequestLink:   func(now time.Time, upstream currantwood.UpstreamID) { e.linkKeeper.RequestLink(now, upstream) },
		NewGeneration: func() currantwood.GenerationID { return currantwood.GenerationID(uuid.NewString()) },
		Limits:        forwarder.DefaultLimits(),
		Retries:       retries,
		Random:        mathrand.New(mathrand.NewSource(time.Now().UnixNano())),
		IdleInterval:  clientHeartbeat,
	})
	calls := e.newCallForwarder()
	e.linkKeeper = e.newLinkKeeper()
	e.headServer = e.newHeadServer()
	e.distributor = distributor.New(e.linkKeeper, &sideHandler{entry: e}, &usageHandler{limiter: e.limiter}, e.crashHandler, calls, e.headServer)
	e.dialer = dialer.New(dialer.Options{
		Dial:     options.Dial,
		OpenLink: func(conn net.Conn, _ string) (*linker.Link, error) { return linker.New(conn, e.linkOptions(true)) },
		OnLink:   func(link *linker.Link, _ string) { e.distributor.Up(link) },
		OnError:  e.dialFailed,
	})
	e.server = entryserver.New(entryserver.Options{
		Region:         currantwood.RegionID(e.settings.Region),
		Matcher:        e.currentMatcher,
		Forwarder:      e.forwarder,
		Calls:          calls,
		Limiter:        e.limiter,
		Promiser:       promiser.New(promiser.DefaultOptions()),
		Observer:       e.observer,
		Metrics:        e.metrics,
		RecentRequests: e.recentRequests,
		MaxBodyBytes:   e.settings.Entry.MaxBodyBytes,
		Logger:         e.logger,
	})
	e.arrivals = drainer.New()
	e.httpServer = &http.Server{Handler: http.HandlerFunc(e.serveClient), ReadHeaderTimeout: headerTimeout, ConnState: e.arrivals.NoteState}
}

// serveClient serves one client request. During shutdown every response closes its
// connection: a request sent on a kept-alive connection while the entry closes it
// would be lost.
func (e *Entry) serveClient(w http.ResponseWriter, r *http.Request) {
	e.arrivals.NoteRequest(time.Now())
	if e.shuttingDown.Load() {
		w.Header().Set("Connection", "close")
	}
	e.server.ServeHTTP(w, r)
}

// clientHeartbeat is the interval of heartbeats to a client while its stream is
// idle.
const clientHeartbeat = 5 * time.Second

// headerTimeout bounds the reading of a request's headers.
const headerTimeout = 10 * time.Second

func (e *Entry) serve() {
	e.operatorServer = operatorserver.New(operatorserver.Options{
		Listener: e.operatorListener,
		Ready:    e.Ready,
		Metrics:  e.metrics,
		Pages:    []operatorserver.Page{{Path: reporter.Path, Handler: e.serveServiceLevels}, {Path: requestkeeper.Path, Handler: e.serveRecentRequests}, {Path: headserver.Path, Handler: e.headServer.ServeHTTP}},
	})
	clients := e.arrivals.Listen(e.clientListener)
	e.goroutines.Add(4)
	go func() {
		defer e.goroutines.Done()
		_ = e.httpServer.Serve(clients)
	}()
	go func() {
		defer e.goroutines.Done()
		e.acceptLinks()
	}()
	go func() {
		defer e.goroutines.Done()
		e.linkKeeper.Run(e.ctx)
	}()
	go func() {
		defer e.goroutines.Done()
		e.runLimiter()
	}()
}

// Ready returns nil if the entry accepts requests, or the reason why it doesn't.
func (e *Entry) Ready() error {
	if e.shuttingDown.Load() {
		return errors.New("leaving")
	}
	if e.currentMatcher() == nil {
		return errors.New("no rules yet")
	}
	if !e.linkedOnce.Load() {
		return errors.New("no link to a side yet")
	}
	if !e.crashHandler.ReceivedReports() && !e.linkKeeper.IsOnlyEntry() && time.Since(e.startedAt) < crashReportTimeout {
		return errors.New("no peer has told of crashes yet")
	}
	return nil
}

// crashReportTimeout is the longest time for which a new entry stays not ready while
// it waits for another entry's crash reports.
const crashReportTimeout = 3 * time.Second

// vmListTimeout bounds one request for the VM list.
const vmListTimeout = 5 * time.Second
