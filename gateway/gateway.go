// Package gateway is the HTTP handler of a gateway process. It matches a
// client's request to a route, picks an upstream, forwards the request to it
// and relays the response.
package gateway

import (
	"context"
	"math/rand"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/abandonkeeper"
	"github.com/currantwood/currantwood/balancer"
	"github.com/currantwood/currantwood/budgeter"
	"github.com/currantwood/currantwood/configkeeper"
	"github.com/currantwood/currantwood/connkeeper"
	"github.com/currantwood/currantwood/crashkeeper"
	"github.com/currantwood/currantwood/memorykeeper"
	"github.com/currantwood/currantwood/noticekeeper"
	"github.com/currantwood/currantwood/placement/evacuationkeeper"
	"github.com/currantwood/currantwood/placement/warmupkeeper"
	"github.com/currantwood/currantwood/ratekeeper"
	"github.com/currantwood/currantwood/runstopper"
	"github.com/currantwood/currantwood/streamkeeper"
	"github.com/currantwood/currantwood/upstreamkeeper"
)

// Options holds the dependencies of a Gateway.
type Options struct {
	Settings      currantwood.GatewaySettings
	Logger        *zap.Logger
	Now           func() time.Time
	Random        *rand.Rand
	Configuration *configkeeper.Keeper
	Coder         currantwood.HeaderCoder
	Mover         currantwood.RunMover
	States        currantwood.StateReader
	Connections   *connkeeper.Pool
	Decode        upstreamkeeper.DecodeFunc
	Metrics       metrics.Registry
	// ReclaimBody gives up the body of a request that makes no progress, so that another
	// one finds room. It reports false if there is none. It may be nil.
	ReclaimBody func() bool
	// Writable reports whether a short write to the client of a request wouldn't block. If it
	// is nil, events aren't buffered for clients that read slowly.
	Writable func(*http.Request) bool
	// TakeUnsent makes the kernel take a number of bytes more for the client of a request, so
	// that they are sent although the process ends. If it is nil, they are lost then.
	TakeUnsent func(r *http.Request, bytes int)
}

// Gateway implements http.Handler. It is safe for concurrent use.
type Gateway struct {
	Options
	mu sync.Mutex
	// upstreams and balancer are guarded by mu.
	upstreams *upstreamkeeper.Keeper
	balancer  *balancer.Balancer
	// streams indexes the running streams by upstream; guarded by mu.
	streams map[currantwood.UpstreamID]map[*stream]struct{}
	// groupsVersion is the version of the configuration whose groups the
	// balancer has; guarded by mu.
	groupsVersion currantwood.ConfigurationVersion
	// crashes, abandoned and budget are guarded by mu.
	crashes   *crashkeeper.Keeper
	abandoned *abandonkeeper.Keeper
	budget    *budgeter.Budgeter
	// leaving holds the upstreams that leave; guarded by mu.
	leaving map[currantwood.UpstreamID]leavingUpstream
	// lossesDiffer is whether some upstreams are likelier to be taken away than others;
	// guarded by mu.
	lossesDiffer bool
	// rates holds the rates of requests that upstreams accept; guarded by mu.
	rates *ratekeeper.Keeper
	// notices holds what upstreams say of themselves in responses, and asks rates;
	// guarded by mu.
	notices *noticekeeper.Keeper
	// evacuations holds the orders to evacuate availability zones; guarded by mu.
	evacuations *evacuationkeeper.Keeper
	// warmUps knows the cold upstreams and this gateway's share of their rates; guarded by
	// mu.
	warmUps *warmupkeeper.Keeper
	// streamStarts holds where streams began; guarded by mu.
	streamStarts *streamkeeper.Keeper
	// askStart asks other gateways where a stream began; see SetAskStart.
	askStart AskStartFunc
	// stopper makes engines end runs that aren't wanted any longer.
	stopper *runstopper.Stopper
	// eventInterval is the moving average of the time between two events of a
	// stream; guarded by mu.
	eventInterval time.Duration
	// shutdown is set once the gateway has been told to stop; nil before.
	shutdown atomic.Pointer[shutdown]
	// ending is canceled by endUnanswered, when a stopping process is about to end.
	ending        context.Context
	endUnanswered context.CancelFunc
	// directoryLoaded is set once the directory of upstreams has been read in
	// full.
	directoryLoaded atomic.Bool
	// saveCrashes saves crashes at once; see SetCrashSaver.
	saveCrashes func(ctx context.Context)
	// collects is whether this gateway is the collector.
	collects atomic.Bool
	// crashesLoaded is set once the crashes in the store have been read.
	crashesLoaded atomic.Bool
	// configuredAt is when awaitsCrashes first found a configuration, as the UnixNano
	// of a time of Options.Now; 0 if it never did.
	configuredAt atomic.Int64
	inFlight     atomic.Int64
	// relocatedAt is when relocateRuns last looked for runs, and silenceCheckedAt when
	// moveSilent did; only Tick uses them.
	relocatedAt, silenceCheckedAt time.Time
	// requests bounds the request bodies that are held, and responses what is kept of
	// responses: bodies that are read whole, long heads and events.
	requests, responses *memorykeeper.Keeper
	instruments         instruments
	// buffers accounts for the events that are buffered for clients that read slowly.
	buffers *streamBuffers
	// objectives are those of the configuration groupsVersion; guarded by mu.
	objectives objectives
	// room holds the generations that wait for room; guarded by mu.
	room *roomQueue
}

// instruments holds the gateway's counters and histograms. Times are in
// microseconds.
type instruments struct {
	served, refused, failed, clientDisconnects metrics.Counter
	retries, generationsMoved, generationsLost metrics.Counter
	movesUnanswered, unrelatedResponses        metrics.Counter
	runsStoppedUnheard, endedWithProcess       metrics.Counter
	runsStopped, runEndsUnknown                metrics.Counter
	crashesRecorded, crashesLearned            metrics.Counter
	requestsBlocked, rateLimitChanges          metrics.Counter
	leavingNotices, pauses, refusedPaused      metrics.Counter
	rateLimited, startsLearned, startsUnknown  metrics.Counter
	refusedRegions, refusedEvacuated           metrics.Counter
	sentCold, refusedCold, withheld            metrics.Counter
	queued, queuedAdmitted, refusedRoom        metrics.Counter
	promisesGiven, promisesKept                metrics.Counter
	promisesBroken                             metrics.Counter
	responseTime, firstEventTime, queueTime    metrics.Histogram
}

// New returns a gateway that has no configuration and no upstreams yet.
func New(options Options) *Gateway {
	minGateways := options.Settings.MinGateways()
	rates := ratekeeper.New(ratekeeper.Options{MinGateways: minGateways}, options.Random)
	evacuations := evacuationkeeper.New()
	bounds := options.Settings.Bounds
	warmUps := warmupkeeper.New(warmupkeeper.Options{MinGateways: minGateways, Overage: bounds.WarmUpOverage, Slack: bounds.WarmUpSlack}, options.Random)
	notices := noticekeeper.New(noticekeeper.Options{Rates: rates, Evacuations: evacuations, WarmUps: warmUps, Regions: options.Settings.Regions})
	g := &Gateway{
		saveCrashes:  func(context.Context) {},
		streamStarts: streamkeeper.New(),
		askStart: func(context.Context, currantwood.Fingerprint) (streamkeeper.Origin, bool) {
			return streamkeeper.Origin{}, false
		},
		Options:       options,
		upstreams:     upstreamkeeper.New(options.Decode),
		balancer:      balancer.New(options.Settings.Regions, notices, options.Random),
		streams:       make(map[currantwood.UpstreamID]map[*stream]struct{}),
		crashes:       crashkeeper.New(),
		abandoned:     abandonkeeper.New(),
		rates:         rates,
		notices:       notices,
		evacuations:   evacuations,
		warmUps:       warmUps,
		requests:      memorykeeper.New(options.Settings.MemoryBytes, currantwood.DefaultMaxBodyBytes, options.ReclaimBody),
		responses:     options.Connections.Memory(),
		eventInterval: initialEventInterval,
		room:          newRoomQueue(options.Settings.MemoryBytes, options.Random),
		budget:        newBudget(options),
		leaving:       make(map[currantwood.UpstreamID]leavingUpstream),
		stopper:       runstopper.New(options.Mover, options.States, options.Now),
	}
	g.ending, g.endUnanswered = context.WithCancel(context.Background())
	g.instruments = newInstruments(options.Metrics)
	g.buffers = newStreamBuffers(options)
	return g
}

// newInstruments registers the counters and histograms of a gateway.
func newInstruments(r metrics.Registry) instruments {
	return instruments{
		served:             metrics.NewRegisteredCounter("requests-served", r),
		refused:            metrics.NewRegisteredCounter("requests-refused", r),
		failed:             metrics.NewRegisteredCounter("requests-failed", r),
		clientDisconnects:  metrics.NewRegisteredCounter("requests-left-by-client", r),
		retries:            metrics.NewRegisteredCounter("retries", r),
		generationsMoved:   metrics.NewRegisteredCounter("generations-moved", r),
		generationsLost:    metrics.NewRegisteredCounter("generations-lost", r),
		movesUnanswered:    metrics.NewRegisteredCounter("moves-unanswered", r),
		endedWithProcess:   metrics.NewRegisteredCounter("requests-ended-with-process", r),
		runsStoppedUnheard: metrics.NewRegisteredCounter("runs-stopped-unheard", r),
		runsStopped:        metrics.NewRegisteredCounter("runs-stopped-after-close", r),
		runEndsUnknown:     metrics.NewRegisteredCounter("run-ends-unknown", r),
		unrelatedResponses: metrics.NewRegisteredCounter("unrelated-responses", r),
		crashesRecorded:    metrics.NewRegisteredCounter("crashes-recorded", r),
		crashesLearned:     metrics.NewRegisteredCounter("crashes-learned", r),
		requestsBlocked:    metrics.NewRegisteredCounter("requests-blocked", r),
		rateLimitChanges:   metrics.NewRegisteredCounter("rate-limit-changes", r),
		startsLearned:      metrics.NewRegisteredCounter("stream-starts-learned", r),
		startsUnknown:      metrics.NewRegisteredCounter("stream-starts-unknown", r),
		leavingNotices:     metrics.NewRegisteredCounter("upstream-leaving-notices", r),
		pauses:             metrics.NewRegisteredCounter("upstream-pauses", r),
		refusedPaused:      metrics.NewRegisteredCounter("requests-refused-paused", r),
		rateLimited:        metrics.NewRegisteredCounter("requests-rate-limited", r),
		refusedRegions:     metrics.NewRegisteredCounter("requests-refused-regions", r),
		refusedEvacuated:   metrics.NewRegisteredCounter("requests-refused-evacuated", r),
		sentCold:           metrics.NewRegisteredCounter("requests-sent-cold", r),
		refusedCold:        metrics.NewRegisteredCounter("requests-refused-cold", r),
		withheld:           metrics.NewRegisteredCounter("requests-withheld", r),
		responseTime:       metrics.NewRegisteredHistogram("answer-time-us", r, newSample()),
		queued:             metrics.NewRegisteredCounter("requests-queued", r),
		queuedAdmitted:     metrics.NewRegisteredCounter("requests-queued-admitted", r),
		refusedRoom:        metrics.NewRegisteredCounter("requests-refused-room", r),
		promisesGiven:      metrics.NewRegisteredCounter("promises-given", r),
		promisesKept:       metrics.NewRegisteredCounter("promises-kept", r),
		promisesBroken:     metrics.NewRegisteredCounter("promises-broken", r),
		queueTime:          metrics.NewRegisteredHistogram("queue-time-us", r, newSample()),
		firstEventTime:     metrics.NewRegisteredHistogram("first-event-time-us", r, newSample()),
	}
}

func newBudget(options Options) *budgeter.Budgeter {
	bounds := options.Settings.Bounds
	return budgeter.New(budgeter.Options{
		Window:        bounds.RetryWindow,
		RetryShare:    bounds.RetryShare,
		Reserve:       bounds.RetryReserve,
		FirstStart:    options.Settings.FirstStart,
		MinGateways:   options.Settings.MinGateways(),
		NamedGateways: options.Settings.NamedGateways(),
	}, options.Now())
}

// ApplySettings applies what changed settings say of the number of gateways.
func (g *Gateway) ApplySettings(settings currantwood.GatewaySettings) {
	g.mu.Lock()
	defer g.mu.Unlock()
	least := settings.MinGateways()
	g.rates.SetMinGateways(least)
	g.warmUps.SetMinGateways(least)
	g.budget.SetNamedGateways(least, settings.NamedGateways())
}

func newSample() metrics.Sample { return metrics.NewExpDecaySample(sampleSize, 0.015) }

// sampleSize is the number of values that a histogram's reservoir holds.
const sampleSize = 256

// InFlight returns the number of requests being served.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// Ready reports whether clients should be sent to this gateway: it is not
// stopping, has read the directory of upstreams, the crashes of requests and the orders to
// evacuate zones, and has a configuration that was confirmed recently.
func (g *Gateway) Ready(now time.Time) bool {
	if !g.EvacuationsKnown() || g.awaitsCrashes(now) || g.shutdown.Load() != nil || !g.directoryLoaded.Load() || g.Configuration.Current() == nil {
		return false
	}
	return g.ConfigurationFresh(now)
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if g.shutdown.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	newRequest(g, w, r).serve()
}
