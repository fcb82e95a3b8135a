package gatewaystarter

import (
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/crashencoder"
	"github.com/currantwood/currantwood/storewatcher"
	"github.com/currantwood/currantwood/streamencoder"
)

// configurationFeed returns the feed of the topic that holds the configuration.
func (p *Process) configurationFeed() storewatcher.Feed {
	applyAll := func(records []currantwood.KeyedRecord) {
		for _, record := range records {
			p.applyConfiguration(record)
		}
	}
	feed := p.pace(storewatcher.Feed{
		Name:  "configuration",
		Topic: p.options.ConfigurationTopic,
		Wait:  configurationReadWait,
		Replace: func(now time.Time, records []currantwood.KeyedRecord) {
			// First: once it has a configuration, a gateway sends requests.
			p.replaceEvacuations(now, records)
			applyAll(records)
		},
		Apply: func(now time.Time, records []currantwood.KeyedRecord) []currantwood.KeyedRecord {
			p.applyEvacuations(now, records)
			applyAll(records)
			return nil
		},
		OnRead: func(_ time.Time, era currantwood.StoreEra, _, next currantwood.Offset, _ []currantwood.KeyedRecord) {
			p.gateway.EvacuationsReadTo(era, next)
		},
		OnEraRise: func(now time.Time, era currantwood.StoreEra) {
			p.countEraRise(now, era)
			p.gateway.KeepEvacuations(now)
			p.peers.ForgetConfiguration()
		},
		OnCurrentAsOf: p.config.Confirm,
		OnOutageEnd:   func(time.Time) {},
		Stale:         func(now time.Time) bool { return !p.gateway.ConfigurationFresh(now) },
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

// evacuatedZone returns the zone of a record that orders an evacuation; false for other
// records.
func (p *Process) evacuatedZone(record currantwood.KeyedRecord) (currantwood.ZoneID, bool) {
	zone, ok := strings.CutPrefix(record.Key, p.options.EvacuationKeyPrefix)
	return currantwood.ZoneID(zone), ok
}

// replaceEvacuations passes on the orders in the newest records of the topic.
func (p *Process) replaceEvacuations(now time.Time, records []currantwood.KeyedRecord) {
	var zones []currantwood.ZoneID
	for _, record := range records {
		if zone, ok := p.evacuatedZone(record); ok && len(record.Value) > 0 {
			zones = append(zones, zone)
		}
	}
	p.gateway.ReplaceEvacuations(now, zones)
}

// applyEvacuations passes on orders and their deletion, which is a record without a value.
func (p *Process) applyEvacuations(now time.Time, records []currantwood.KeyedRecord) {
	for _, record := range records {
		if zone, ok := p.evacuatedZone(record); ok {
			p.gateway.ApplyEvacuation(now, zone, len(record.Value) > 0)
		}
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
	}
	if configuration.Version == p.config.Version() {
		p.peers.RetainConfiguration(configuration.Version, record)
	}
}
