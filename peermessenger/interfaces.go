package peermessenger

import (
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/balancer"
	"github.com/currantwood/currantwood/budgeter"
	"github.com/currantwood/currantwood/capacity/forecaster"
	"github.com/currantwood/currantwood/capacity/limitkeeper"
	"github.com/currantwood/currantwood/capacity/speedkeeper"
	"github.com/currantwood/currantwood/crashkeeper"
	"github.com/currantwood/currantwood/noticekeeper"
	"github.com/currantwood/currantwood/placement/evacuationkeeper"
	"github.com/currantwood/currantwood/ratekeeper"
	"github.com/currantwood/currantwood/streamkeeper"
)

// Gateway is the part of this process whose state is exchanged. Its methods
// are safe for concurrent use.
type Gateway interface {
	// SetCollects sets whether this gateway is the collector.
	SetCollects(collects bool)
	// OwnLoads returns what this gateway has in flight at each upstream.
	OwnLoads() balancer.Loads
	// SetPeerLoads replaces the loads of all other gateways.
	SetPeerLoads(now time.Time, loads balancer.Loads)
	// RetryUsage returns what this gateway sent to each group within the retry
	// window.
	RetryUsage(now time.Time) budgeter.GroupUsage
	// Established reports whether this process knows all that its VM has spent of the
	// retry budgets.
	Established(now time.Time) bool
	// OwnRates returns what this gateway has heard itself of the rates that upstreams
	// accept, and its demand.
	OwnRates(now time.Time) ratekeeper.Rates
	// SetFleetRates replaces what all gateways have heard, and the demand of all others.
	// gateways counts all that are heard from, this one included.
	SetFleetRates(now time.Time, rates ratekeeper.Rates, gateways int)
	// OwnWarmUpRates and SetFleetWarmUpRates are the same for the rates of cold upstreams.
	// The limits in them don't count.
	OwnWarmUpRates(now time.Time) ratekeeper.Rates
	SetFleetWarmUpRates(now time.Time, rates ratekeeper.Rates, gateways int)
	// HeardNotices returns the new notices that upstreams gave to this gateway, and
	// KnownNotices those that it knows; all if all is true.
	HeardNotices(now time.Time) noticekeeper.Notices
	KnownNotices(now time.Time, all bool) noticekeeper.Notices
	// OwnSpeeds returns what this gateway has observed of the upstreams' speed, AllSpeeds
	// what all gateways have, as far as it has heard. LearnSpeeds notes what another has.
	OwnSpeeds(now time.Time) speedkeeper.Sums
	AllSpeeds(now time.Time) speedkeeper.Sums
	LearnSpeeds(now time.Time, from currantwood.VMID, sums speedkeeper.Sums)
	// OwnLoadLevels returns what this gateway has observed of the time that work takes at
	// levels of concurrency; LearnLoadLevels notes what another has.
	OwnLoadLevels(now time.Time) limitkeeper.Sums
	LearnLoadLevels(now time.Time, from currantwood.VMID, sums limitkeeper.Sums)
	// AllLimits returns the concurrency limits that follow from what all gateways have
	// observed. LearnLimits notes those that the collector sent.
	AllLimits(now time.Time) limitkeeper.Limits
	LearnLimits(now time.Time, limits limitkeeper.Limits)
	// RecentPromises returns up to limit promises of room that other gateways should learn of,
	// LearnPromises notes those of others.
	RecentPromises(now time.Time, limit int) []forecaster.SharedPromise
	LearnPromises(now time.Time, promises []forecaster.SharedPromise)
	// Evacuations returns the orders to evacuate availability zones, and false if they
	// aren't known; LearnEvacuations notes those that another gateway knows.
	Evacuations(now time.Time) (evacuationkeeper.Set, bool)
	LearnEvacuations(now time.Time, from currantwood.VMID, set evacuationkeeper.Set)
	// LearnNotices notes the notices that another gateway sent.
	LearnNotices(now time.Time, from currantwood.VMID, notices noticekeeper.Notices)
	// OwnStarts returns up to limit starts of streams at this gateway from a position on,
	// and the position of the first; AllStarts the same for all that are known.
	OwnStarts(from uint64, limit int) ([]streamkeeper.Start, uint64)
	AllStarts(from uint64, limit int) ([]streamkeeper.Start, uint64)
	// LearnStarts notes starts of streams that another gateway sent.
	LearnStarts(now time.Time, starts []streamkeeper.Start)
	// StartOf returns where a stream began, if this gateway knows.
	StartOf(stream currantwood.Fingerprint) (streamkeeper.Origin, bool)
	// SetBudgetPeers replaces what is known of the other gateways' use of the retry
	// budgets.
	SetBudgetPeers(now time.Time, peers budgeter.Peers)
	// RecentCrashes returns up to limit of the crashes that other gateways should learn of, and
	// as many of the completions after which crashes don't count.
	RecentCrashes(now time.Time, limit int) ([]crashkeeper.AgedCrash, []crashkeeper.AgedCompletion)
	// CrashSum returns a checksum of the crashes that all gateways must know.
	CrashSum(now time.Time) uint64
	// RecurrentCrashes returns up to limit of these crashes, those of the suspects
	// after one, and the last suspect included.
	RecurrentCrashes(now time.Time, after currantwood.Suspect, limit int) ([]crashkeeper.AgedCrash, currantwood.Suspect)
	// RecordCrashes records the crashes and the completions that another gateway sent.
	RecordCrashes(now time.Time, from currantwood.VMID, crashes []crashkeeper.AgedCrash, completions []crashkeeper.AgedCompletion)
}

// Configuration is the configuration that this gateway holds.
type Configuration interface {
	Version() currantwood.ConfigurationVersion
	// NoteNewest notes that a version exists, and has since a time. It reports whether that
	// shows that an older one was confirmed wrongly.
	NoteNewest(version currantwood.ConfigurationVersion, since time.Time) (withdrawn bool)
	// Age returns how long ago the configuration was last known to be the newest.
	Age(now time.Time) time.Duration
	// Confirm notes that the configuration was the newest at a time.
	Confirm(at time.Time)
}

// Topic is a topic of the store that this gateway follows.
type Topic interface {
	// Position returns the offset up to which the topic is known. It is 0 if the
	// topic isn't known, or if it is known to be empty.
	Position() currantwood.Offset
	// Age returns how long ago this process last had all records of the topic;
	// the longest Duration if it never had.
	Age(now time.Time) time.Duration
	// Era returns the era of the store to which the position belongs.
	Era() currantwood.StoreEra
	// FailedAt returns when a read of the topic by this process last failed; zero if none
	// has.
	FailedAt() time.Time
	// ApplyPeerRecords applies records that a peer read. It returns false if they don't
	// follow what is known.
	ApplyPeerRecords(now time.Time, read currantwood.PeerRead) bool
	// Kick requests a read, even while a peer reads the topic.
	Kick()
	// Reachable reports whether this process's latest own read of the store
	// succeeded, however long ago. While a peer reads the topic for this
	// process, only reads requested by Kick change it.
	Reachable() bool
}
