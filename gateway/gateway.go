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
	"github.com/currantwood/currantwood/ratekeeper"
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
	// rates holds the rates of requests that upstreams accept; guarded by mu. The
	// balancer uses it, too.
	rates *ratekeeper.Keeper
	// streamStarts holds where streams began; guarded by mu.
	streamStarts *streamkeeper.Keeper
	// askStart asks other gateways where a stream began; see SetAskStart.
	askStart AskStartFunc
	// eventInterval is the moving average of the time between two events of a
	// stream; guarded by mu.
	eventInterval time.Duration
	stopping      atomic.Bool
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
	// stopDeadline is when the process ends, as the UnixNano of a time of
	// Options.Now. It is valid only while stopping is true.
	stopDeadline atomic.Int64
	inFlight     atomic.Int64
	// responses bounds the response bodies that are read whole.
	responses   *responseBuffer
	instruments instruments
}

// instruments holds the gateway's counters and histograms. Times are in
// microseconds.
type instruments struct {
	served, refused, failed, clientDisconnects metrics.Counter
	retries, generationsMoved, generationsLost metrics.Counter
	crashesRecorded, crashesLearned            metrics.Counter
	requestsBlocked, rateLimitChanges          metrics.Counter
	rateLimited, startsLearned, startsUnknown  metrics.Counter
	responseTime, firstEventTime               metrics.Histogram
}

// New returns a gateway that has no configuration and no upstreams yet.
func New(options Options) *Gateway {
	// The seeds are some of the other gateways.
	seeds, _ := options.Settings.OtherSeeds()
	rates := ratekeeper.New(ratekeeper.Options{MinGateways: 1 + len(seeds)}, options.Random)
	g := &Gateway{
		saveCrashes:  func(context.Context) {},
		streamStarts: streamkeeper.New(),
		askStart: func(context.Context, currantwood.Fingerprint) (streamkeeper.Origin, bool) {
			return streamkeeper.Origin{}, false
		},
		Options:       options,
		upstreams:     upstreamkeeper.New(options.Decode),
		balancer:      balancer.New(options.Settings.Regions, rates, options.Random),
		streams:       make(map[currantwood.UpstreamID]map[*stream]struct{}),
		crashes:       crashkeeper.New(),
		abandoned:     abandonkeeper.New(),
		rates:         rates,
		responses:     newResponseBuffer(options.Settings.MemoryBytes),
		eventInterval: initialEventInterval,
		budget: budgeter.New(budgeter.Options{
			Window:     options.Settings.Bounds.RetryWindow,
			RetryShare: options.Settings.Bounds.RetryShare,
			Reserve:    options.Settings.Bounds.RetryReserve,
			FirstStart: options.Settings.FirstStart,
		}, options.Now()),
	}
	r := options.Metrics
	g.instruments = instruments{
		served:            metrics.NewRegisteredCounter("requests-served", r),
		refused:           metrics.NewRegisteredCounter("requests-refused", r),
		failed:            metrics.NewRegisteredCounter("requests-failed", r),
		clientDisconnects: metrics.NewRegisteredCounter("requests-left-by-client", r),
		retries:           metrics.NewRegisteredCounter("retries", r),
		generationsMoved:  metrics.NewRegisteredCounter("generations-moved", r),
		generationsLost:   metrics.NewRegisteredCounter("generations-lost", r),
		crashesRecorded:   metrics.NewRegisteredCounter("crashes-recorded", r),
		crashesLearned:    metrics.NewRegisteredCounter("crashes-learned", r),
		requestsBlocked:   metrics.NewRegisteredCounter("requests-blocked", r),
		rateLimitChanges:  metrics.NewRegisteredCounter("rate-limit-changes", r),
		startsLearned:     metrics.NewRegisteredCounter("stream-starts-learned", r),
		startsUnknown:     metrics.NewRegisteredCounter("stream-starts-unknown", r),
		rateLimited:       metrics.NewRegisteredCounter("requests-rate-limited", r),
		responseTime:      metrics.NewRegisteredHistogram("answer-time-us", r, newSample()),
		firstEventTime:    metrics.NewRegisteredHistogram("first-event-time-us", r, newSample()),
	}
	return g
}

func newSample() metrics.Sample { return metrics.NewExpDecaySample(sampleSize, 0.015) }

// sampleSize is the number of values that a histogram's reservoir holds.
const sampleSize = 256

// Stop makes the response to every request that arrives from now on close its
// connection. Streams that arrive from now on and can't be resumed are refused
// if they may run past end.
func (g *Gateway) Stop(end time.Time) {
	g.stopDeadline.Store(end.UnixNano())
	g.stopping.Store(true)
}

// InFlight returns the number of requests being served.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// Ready reports whether clients should be sent to this gateway: it is not
// stopping, has read the directory of upstreams and the crashes of requests, and has
// a configuration that was confirmed recently.
func (g *Gateway) Ready(now time.Time) bool {
	if g.awaitsCrashes(now) || g.stopping.Load() || !g.directoryLoaded.Load() || g.Configuration.Current() == nil {
		return false
	}
	return g.ConfigurationFresh(now)
}

// ConfigurationFresh reports whether the configuration was confirmed to be the
// newest recently enough for the gateway to report that it is ready. Keys are
// still accepted for some time after that.
func (g *Gateway) ConfigurationFresh(now time.Time) bool {
	return g.Configuration.Age(now) < g.maxAgeForReady()
}

// ApplyUpstreamRecords applies new records of the directory in order and
// returns those that changed anything.
func (g *Gateway) ApplyUpstreamRecords(now time.Time, records []currantwood.KeyedRecord) []currantwood.KeyedRecord {
	var changed []currantwood.KeyedRecord
	var events []upstreamkeeper.Event
	g.mu.Lock()
	for i, record := range records {
		if changes := g.upstreams.Apply(now, records[i:i+1]); len(changes) > 0 {
			events = append(events, changes...)
			changed = append(changed, record)
		}
	}
	g.handleEventsAndUnlock(now, events)
	return changed
}

// ReplaceUpstreamRecords replaces the known upstreams by a full read of the
// directory, which has the newest record of each.
func (g *Gateway) ReplaceUpstreamRecords(now time.Time, records []currantwood.KeyedRecord) {
	g.mu.Lock()
	events := g.upstreams.Replace(now, records)
	g.handleEventsAndUnlock(now, events)
	g.directoryLoaded.Store(true)
}

// DirectoryRecovered records that the directory answers again after an outage.
func (g *Gateway) DirectoryRecovered(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.upstreams.DirectoryRecovered(now)
}

// UpstreamsToPoll returns the engines that run movable streams and are not known
// to be leaving.
func (g *Gateway) UpstreamsToPoll() []upstreamkeeper.View {
	snapshot := g.Configuration.Current()
	if snapshot == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var views []upstreamkeeper.View
	for id, streams := range g.streams {
		view, ok := g.upstreams.Get(id)
		if !ok || len(streams) == 0 || !view.LeavingSince.IsZero() {
			continue
		}
		// Only engines that can move runs report their state.
		if engine := snapshot.Groups[view.Group].Engine; engine != nil && engine.Moves {
			views = append(views, view)
		}
	}
	return views
}

// ApplyUpstreamState applies the state that an upstream reported about itself.
func (g *Gateway) ApplyUpstreamState(now time.Time, id currantwood.UpstreamID, state currantwood.UpstreamState) {
	g.mu.Lock()
	g.handleEventsAndUnlock(now, g.upstreams.ApplyState(now, id, state))
}

// Tick does the work that is due by time alone: it ejects stalled upstreams,
// removes those whose lapsed records were not written again in time, and closes
// idle connections.
func (g *Gateway) Tick(now time.Time) {
	g.mu.Lock()
	stalled := g.balancer.EjectStalled(now)
	var affected []*stream
	for _, id := range stalled {
		affected = append(affected, g.streamsAt(id)...)
	}
	events := g.upstreams.Tick(now)
	g.abandoned.DeleteExpired(now)
	g.handleEventsAndUnlock(now, events)
	for _, id := range stalled {
		g.Logger.Warn("upstream makes no progress, excluded from balancing", zap.String("upstream", string(id)))
	}
	for _, s := range affected {
		s.cancelStalled()
	}
	g.Connections.CloseExpired(now)
}

// handleEventsAndUnlock updates the balancer and the connections, and moves
// streams away from upstreams that leave or are gone. The caller holds mu,
// which it releases.
func (g *Gateway) handleEventsAndUnlock(now time.Time, events []upstreamkeeper.Event) {
	if len(events) > 0 {
		g.balancer.SetUpstreams(g.upstreams.Available())
		g.rates.Forget(func(id currantwood.UpstreamID) bool { _, known := g.upstreams.Get(id); return known })
	}
	var leaving, restarted []*stream
	var crashed []currantwood.UpstreamRecord
	for _, e := range events {
		if g.endedUnannounced(e) {
			crashed = append(crashed, e.Record)
		}
		if e.Change == upstreamkeeper.Leaving || e.Change == upstreamkeeper.Removed {
			leaving = append(leaving, g.streamsAt(e.Record.ID)...)
		}
		if e.Change == upstreamkeeper.Restarted {
			restarted = append(restarted, g.streamsAt(e.Record.ID)...)
		}
	}
	g.mu.Unlock()
	for _, e := range events {
		g.Logger.Info("upstream changed", zap.String("upstream", string(e.Record.ID)), zap.String("group", string(e.Record.Group)), zap.Stringer("change", e.Change), zap.String("address", e.Record.Address), zap.String("version", string(e.Record.Version)))
		if e.Change == upstreamkeeper.Restarted {
			g.Connections.CloseIdle(e.Record.Address)
		}
	}
	for _, record := range crashed {
		g.recordAbandoned(now, record)
	}
	for _, s := range restarted {
		// A stream that the former incarnation sent would have broken off.
		s.forgetVersion()
	}
	g.moveStreams(leaving)
}

// endedUnannounced reports whether an event shows that an incarnation has ended
// without an announcement: it restarted, or its record was removed. The caller
// holds mu.
func (g *Gateway) endedUnannounced(e upstreamkeeper.Event) bool {
	view, _ := g.upstreams.Get(e.Record.ID)
	return e.Change == upstreamkeeper.Restarted || e.Change == upstreamkeeper.Removed && !view.LeaveAnnounced
}

func (g *Gateway) streamsAt(id currantwood.UpstreamID) []*stream {
	var list []*stream
	for s := range g.streams[id] {
		list = append(list, s)
	}
	return list
}

// syncGroups passes the groups of a newer configuration to the balancer. The
// caller holds mu.
func (g *Gateway) syncGroups(snapshot *configkeeper.Snapshot) {
	if g.groupsVersion < snapshot.Version {
		g.groupsVersion = snapshot.Version
		g.balancer.SetGroups(snapshot.Groups)
	}
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	newRequest(g, w, r).serve()
}
