package gatewaystarter

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/crashencoder"
	"github.com/currantwood/currantwood/storewatcher"
	"github.com/currantwood/currantwood/streamencoder"
)

const (
	// expiryHeartbeats is after how many heartbeats without one the record of an upstream
	// expires.
	expiryHeartbeats = 3
	// minOutageShare is the share of that time for which the store must be away before a
	// record can expire: the last heartbeat came before, by an interval or somewhat more.
	minOutageShare = 0.5
)

// configurationFeed returns the feed of the topic that holds the configuration.
func (p *Process) configurationFeed() storewatcher.Feed {
	applyAll := func(records []currantwood.KeyedRecord) {
		for _, record := range records {
			p.applyConfiguration(record)
		}
	}
	feed := p.pace(storewatcher.Feed{
		Name:    "configuration",
		Topic:   p.options.ConfigurationTopic,
		Wait:    configurationReadWait,
		Replace: func(_ time.Time, records []currantwood.KeyedRecord) { applyAll(records) },
		Apply: func(_ time.Time, records []currantwood.KeyedRecord) []currantwood.KeyedRecord {
			applyAll(records)
			return nil
		},
		OnRead: func(time.Time, currantwood.StoreEra, currantwood.Offset, currantwood.Offset, []currantwood.KeyedRecord) {
		},
		OnOwnRead: p.applyEvacuations,
		OnEraRise: func(now time.Time, era currantwood.StoreEra) {
			p.countEraRise(now, era)
			p.gateway.KeepEvacuations(now)
			p.peers.ForgetConfiguration()
		},
		OnCurrentAsOf: p.confirmConfiguration,
		OnOutageEnd:   func(time.Time) {},
		Stale: func(now time.Time) bool {
			return p.firstRead.believed.Load() && !p.gateway.ConfigurationFresh(now)
		},
		PeerCoverage: func(now time.Time) (time.Time, bool) {
			age := p.config.Age(now)
			return now.Add(-age), p.peers.HasOtherCollector(now) && age < time.Duration(collectorAgeShare*float64(p.options.Settings.Bounds.RevocationTime))
		},
		Held: func() bool { return false },
		OnRecovery: func() {
			<-p.watching
			p.directory.Kick()
		},
	})
	retryPause := feed.RetryPause
	feed.RetryPause = func(failures int) (least, pause time.Duration) {
		least, pause = retryPause(failures)
		<-p.watching
		if p.directory.Failing() {
			pause = max(pause, dependentRetryPause)
		}
		return least, pause
	}
	takeOver := feed.TakeOverPause
	feed.TakeOverPause = func() time.Duration { return min(takeOver(), maxConfigurationTakeOver) }
	return feed
}

// pace sets when a feed is read while reads fail or the collector is gone.
func (p *Process) pace(feed storewatcher.Feed) storewatcher.Feed {
	feed.RetryPause = func(failures int) (least, pause time.Duration) {
		return p.readPacer.RetryPause(failures, p.peers.Fleet(p.now()))
	}
	feed.TakeOverPause = func() time.Duration { return p.readPacer.TakeOverPause(p.peers.Fleet(p.now())) }
	return feed
}

// directoryFeed returns the feed of the directory of upstreams. After an outage, the one
// of the two feeds that is read first lets the other one be read at once: only a gateway
// that reads both can be the collector.
func (p *Process) directoryFeed() storewatcher.Feed {
	return p.pace(storewatcher.Feed{
		Name:          "upstreams",
		Topic:         p.options.UpstreamTopic,
		Pause:         directoryReadPause,
		Replace:       p.gateway.ReplaceUpstreamRecords,
		Apply:         p.gateway.ApplyUpstreamRecords,
		OnRead:        p.peers.NoteDirectoryRead,
		OnEraRise:     p.countEraRise,
		OnCurrentAsOf: func(time.Time) {},
		MinOutage:     time.Duration(minOutageShare * float64(expiryHeartbeats*p.options.Settings.UpstreamHeartbeat)),
		OnOutageEnd:   p.gateway.DirectoryRecovered,
		Stale:         func(time.Time) bool { return false },
		PeerCoverage: func(now time.Time) (time.Time, bool) {
			return time.Time{}, p.peers.CollectorReadsDirectory(now)
		},
		Held: func() bool { return false },
		OnRecovery: func() {
			<-p.watching
			p.configuration.Kick()
		},
	})
}

// crashFeed returns the feed of the crashes of requests.
func (p *Process) crashFeed() storewatcher.Feed {
	feed := p.savedFeed(p.applyCrashes, p.gateway.ForgetSavedCrashes)
	feed.Name, feed.Topic, feed.Wait = "crashes", p.options.CrashTopic, crashReadWait
	feed.Replace = func(now time.Time, records []currantwood.KeyedRecord) {
		p.applyCrashes(now, records)
		p.gateway.SetCrashesLoaded()
	}
	return feed
}

// startFeed returns the feed of where streams began.
func (p *Process) startFeed() storewatcher.Feed {
	feed := p.savedFeed(p.applyStarts, p.gateway.ForgetSavedStarts)
	feed.Name, feed.Topic, feed.Pause = "starts of streams", p.options.StartTopic, startReadPause
	return feed
}

// savedFeed returns a feed of what gateways save themselves, without name and topic. All
// of them read it when they start, and after that the collector alone: the others learn
// from it. Nothing urgent depends on it, so it isn't read while the store is away.
// forgetSaved is called when the store has come back from an older copy.
func (p *Process) savedFeed(apply func(time.Time, []currantwood.KeyedRecord), forgetSaved func()) storewatcher.Feed {
	return p.pace(storewatcher.Feed{
		Replace: apply,
		Apply: func(now time.Time, records []currantwood.KeyedRecord) []currantwood.KeyedRecord {
			apply(now, records)
			return nil
		},
		OnRead: func(time.Time, currantwood.StoreEra, currantwood.Offset, currantwood.Offset, []currantwood.KeyedRecord) {
		},
		OnEraRise: func(now time.Time, era currantwood.StoreEra) {
			p.countEraRise(now, era)
			forgetSaved()
		},
		OnCurrentAsOf: func(time.Time) {},
		OnOutageEnd:   func(time.Time) {},
		Stale:         func(time.Time) bool { return false },
		PeerCoverage:  func(now time.Time) (time.Time, bool) { return now, p.peers.HasOtherCollector(now) },
		OnRecovery:    func() {},
		Held:          func() bool { return p.storeAway() },
	})
}

// storeAway reports whether the reads of the configuration or the directory fail here.
func (p *Process) storeAway() bool { return p.configuration.Failing() || p.directory.Failing() }

// applyStarts decodes records of where streams began. One that can't be decoded is
// logged and ignored.
func (p *Process) applyStarts(now time.Time, records []currantwood.KeyedRecord) {
	for _, record := range records {
		starts, err := streamencoder.Encoder{}.Decode(now, time.Now(), record)
		if err != nil {
			p.options.Logger.Warn("record of starts of streams ignored", zap.Error(err))
			continue
		}
		p.gateway.LearnSavedStarts(now, starts)
	}
}

// countEraRise counts, for each feed, that the store has come back from an older copy.
func (p *Process) countEraRise(time.Time, currantwood.StoreEra) { p.eraRises.Inc(1) }

// applyCrashes decodes records of crashes. One that can't be decoded is logged and
// ignored.
func (p *Process) applyCrashes(now time.Time, records []currantwood.KeyedRecord) {
	for _, record := range records {
		suspect, err := crashencoder.Encoder{}.Decode(time.Now(), record)
		if err != nil {
			p.options.Logger.Warn("record of crashes ignored", zap.Error(err))
			continue
		}
		p.gateway.RecordSavedCrashes(now, suspect)
	}
}

// applyConfiguration decodes a record and makes it the current configuration if
// it is newer. A record that can't be decoded is logged and ignored. Records of
// other keys, and the deletion of the configuration, are ignored.
func (p *Process) applyConfiguration(record currantwood.KeyedRecord) {
	if record.Key != p.options.ConfigurationKey || len(record.Value) == 0 {
		return
	}
	configuration, err := p.options.Decoder.Configuration(record.Value)
	if err != nil {
		p.options.Logger.Error("decoding the configuration failed, keeping the current one", zap.Error(err))
		return
	}
	if p.config.SetIfNewer(configuration) {
		p.options.Logger.Info("configuration applied", zap.Uint64("version", uint64(configuration.Version)), zap.Int("routes", len(configuration.Routes)), zap.Bool("requires-keys", configuration.RequiresKeys), zap.Int("keys", len(configuration.Keys)))
		p.logRegions(configuration)
	}
	if configuration.Version == p.config.Version() {
		p.peers.RetainConfiguration(configuration.Version, record)
	}
}

// logRegions logs how many routes and customers a configuration binds to regions if that
// has changed.
func (p *Process) logRegions(configuration currantwood.Configuration) {
	routes, customers := p.countBoundRoutes(configuration), p.countBoundCustomers(configuration)
	sameRoutes := p.boundRoutes.Swap(routes) == routes
	sameCustomers := p.boundCustomers.Swap(customers) == customers
	if sameRoutes && sameCustomers {
		return
	}
	p.options.Logger.Info("routes and customers bound to regions", zap.Uint64("version", uint64(configuration.Version)), zap.Int64("routes", routes), zap.Int64("customers", customers))
}

func (p *Process) countBoundRoutes(configuration currantwood.Configuration) int64 {
	bound := int64(0)
	for _, route := range configuration.Routes {
		if !route.Regions.IsAny() {
			bound++
		}
		p.warnIfEmpty(configuration.Version, route.Regions, zap.String("route", route.ID))
	}
	return bound
}

// countBoundCustomers counts each customer once, however many keys it has.
func (p *Process) countBoundCustomers(configuration currantwood.Configuration) int64 {
	customers := make(map[currantwood.CustomerID]currantwood.RegionSet)
	for _, holder := range configuration.Keys {
		customers[holder.Customer] = holder.Regions
	}
	maps.DeleteFunc(customers, func(_ currantwood.CustomerID, regions currantwood.RegionSet) bool { return regions.IsAny() })
	for customer, regions := range customers {
		p.warnIfEmpty(configuration.Version, regions, zap.String("customer", string(customer)))
	}
	return int64(len(customers))
}

// warnIfEmpty warns of a list of regions that can't be decoded and therefore admits none, so
// that all requests of its route or customer are refused.
func (p *Process) warnIfEmpty(version currantwood.ConfigurationVersion, regions currantwood.RegionSet, owner zap.Field) {
	if regions.IsEmpty() {
		p.options.Logger.Warn("regions of a route or customer can't be decoded, its requests are refused", zap.Uint64("version", uint64(version)), owner)
	}
}
