// Package peermessenger exchanges UDP datagrams with the other gateways. Each
// gateway sends its state to the collector: its loads, its retry usage (what it
// sent to each group within the retry window), recent crashes, the completions
// for which crashes don't count, the rate limits and notices that it has heard itself, and
// the starts of streams that the collector lacks, what it has observed of upstreams' speed and
// concurrency, and recent promises of room. The collector's digest returns the
// summed loads, retry usage and demand of all others, the newest rate limits and notices,
// the recent crashes and completions that the collector knows, the crashes and the starts
// of streams that the gateway lacks, the speeds and concurrency limits of upstreams, recent
// promises of room, the orders to evacuate zones, the number of gateways and the receiver's
// rank among the next collectors, the directory records that it read and the version and age
// of its configuration. A gateway that lacks this version asks the collector for its record. A
// gateway that isn't the collector answers a state with a referral to the collector that it
// knows.
package peermessenger

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/configasker"
	"github.com/currantwood/currantwood/contactkeeper"
	"github.com/currantwood/currantwood/peerkeeper"
	"github.com/currantwood/currantwood/sleeper"
	"github.com/currantwood/currantwood/streamkeeper"
)

const (
	// readRetryDelay is the delay after a failed read of the socket.
	readRetryDelay = 200 * time.Millisecond
	// maxDatagramBytes is the longest datagram that is received.
	maxDatagramBytes = 64 << 10
	// maxStateCrashes and maxDigestCrashes bound the recent crashes, and the completions, in one
	// state and in one digest: the collector sends that to all gateways.
	maxStateCrashes  = 256
	maxDigestCrashes = 16
	// maxMissingCrashes bounds the crashes in one datagram that the receiver may
	// lack. A crash takes about 45 bytes.
	maxMissingCrashes = 32
)

// Options are the settings and dependencies of a Messenger.
type Options struct {
	Settings      currantwood.GatewaySettings
	Logger        *zap.Logger
	Now           func() time.Time
	Gateway       Gateway
	Configuration Configuration
}

// Messenger exchanges datagrams with the other gateways.
type Messenger struct {
	Options
	conn net.PacketConn
	// configurationTopic and directoryTopic are set by Start.
	configurationTopic, directoryTopic Topic
	// mu protects the fields below.
	mu    sync.Mutex
	peers *peerkeeper.Keeper
	// contacts holds the addresses at which this gateway looks for others: the hosts of the
	// seeds with the peer port, without this VM's own, and those that were found elsewhere.
	contacts *contactkeeper.Keeper
	// directoryCoveredAt is when an accepted digest last covered the directory
	// without a gap; zero if none did.
	directoryCoveredAt time.Time
	// wasCollector is the role that was logged last, and roleSince when it began.
	wasCollector bool
	roleSince    time.Time
	// wasInterim is whether this gateway was the interim collector when it was noted last.
	wasInterim bool
	// wasCovered is whether another gateway was the collector when it was noted last.
	wasCovered bool
	// coveredSince is when wasCovered changed last.
	coveredSince time.Time
	// collectedLast is whether, of this gateway and the others, this one was the last to
	// be the collector for collectorSettleTime.
	collectedLast bool
	// questions holds, for each stream that other gateways were asked about, where those
	// who wait take the answers.
	questions map[currantwood.Fingerprint][]chan streamkeeper.Origin
	// configurationAsker decides how to get a configuration that this gateway lacks.
	configurationAsker configasker.Asker
	// configuration is the record of the configuration for gateways that ask for it; nil
	// if there is none. mu doesn't protect it, since it is set while a topic's lock is held.
	configuration atomic.Pointer[retainedConfiguration]
	// held is since when this gateway has held its version; nil before the first.
	held atomic.Pointer[heldConfiguration]
	// configurationLimiter bounds the bytes of configurations that are sent.
	configurationLimiter *rate.Limiter
	// stateSpeedsAt and digestSpeedsAt are when speeds were sent last in a state and in
	// digests. With one time for both, a collector whose digests are as rare as speedInterval
	// would send speeds only in its states.
	stateSpeedsAt, digestSpeedsAt time.Time
	// digestSpeedInterval is the time between two digests with speeds. It grows with the
	// number of gateways.
	digestSpeedInterval time.Duration
	// tooLongAt is when it was logged last that a datagram is too long, as a UnixNano; 0 if never.
	tooLongAt atomic.Int64
	// process identifies this process among those of its VM.
	process uint64
	// startedAt is when this process created the Messenger.
	startedAt time.Time
}

// New opens the socket. Nothing is sent or received before Start. A seed
// address that can't be parsed is logged and skipped; this VM's own address is
// skipped without a log line.
func New(options Options) (*Messenger, error) {
	m := &Messenger{Options: options, process: rand.Uint64(), startedAt: options.Now(), questions: make(map[currantwood.Fingerprint][]chan streamkeeper.Origin), peers: peerkeeper.New(peerkeeper.Peer{VM: options.Settings.VM, Capacity: options.Settings.CapacityMillicores()})}
	m.configurationLimiter = newConfigurationLimiter(options.Settings.LinkBitsPerSecond)
	conn, err := net.ListenPacket("udp4", options.Settings.PeerAddress())
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	m.conn = conn
	m.contacts = contactkeeper.New(m.seedAddresses(options.Settings))
	return m, nil
}

// SetSeeds replaces the seeds by those of changed settings.
func (m *Messenger) SetSeeds(settings currantwood.GatewaySettings) {
	addresses := m.seedAddresses(settings)
	m.mu.Lock()
	changed := m.contacts.SetSeeds(addresses)
	m.mu.Unlock()
	if changed {
		m.Logger.Info("seeds changed", zap.Strings("seeds", addresses))
	}
}

// NoteFound notes the address of another gateway that was found elsewhere than in the settings.
// It gets this gateway's state while no other gateway is known as the collector.
func (m *Messenger) NoteFound(now time.Time, address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.contacts.Found(now, address)
}

// seedAddresses returns the addresses of the seeds in settings but this VM's own. One that can't
// be parsed is logged and skipped.
func (m *Messenger) seedAddresses(settings currantwood.GatewaySettings) []string {
	hosts, invalid := settings.OtherSeeds()
	for _, seed := range invalid {
		m.Logger.Warn("invalid seed address", zap.String("seed", seed))
	}
	var addresses []string
	for _, host := range hosts {
		addresses = append(addresses, net.JoinHostPort(host, strconv.Itoa(settings.PeerPort)))
	}
	return addresses
}

// Start sends and receives datagrams in the background until ctx is done.
func (m *Messenger) Start(ctx context.Context, configuration, directory Topic) {
	m.configurationTopic, m.directoryTopic = configuration, directory
	go func() {
		for sleeper.Sleep(ctx, m.sendInterval()) {
			m.sendDue()
		}
		_ = m.conn.Close()
	}()
	go func() {
		buffer := make([]byte, maxDatagramBytes)
		for {
			n, from, err := m.conn.ReadFrom(buffer)
			if ctx.Err() != nil {
				return
			}
			if err != nil {
				m.Logger.Warn("failed to read datagram", zap.Error(err))
				sleeper.Sleep(ctx, readRetryDelay)
				continue
			}
			m.receive(buffer[:n], from.String())
		}
	}()
}

// NoteDirectoryRead notes a read of the directory by this gateway. changed are
// the records in the offset range [from, next) that say something new; if there
// are any and this gateway is the collector, it sends digests at once. era is that of
// the store.
func (m *Messenger) NoteDirectoryRead(now time.Time, era currantwood.StoreEra, from, next currantwood.Offset, changed []currantwood.KeyedRecord) {
	m.mu.Lock()
	m.peers.RetainRecords(now, era, from, next, changed)
	m.mu.Unlock()
	if len(changed) > 0 {
		m.sendDigests(now)
	}
}

// sendInterval returns the time until the next call of sendDue.
func (m *Messenger) sendInterval() time.Duration {
	now := m.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peers.SendInterval(now)
}

// sendDue sends this gateway's state if it is due and, as the collector,
// digests.
func (m *Messenger) sendDue() {
	now := m.Now()
	storeReachable := m.storeReachable()
	loads, established := m.Gateway.OwnLoads(), m.Gateway.Established(now)
	m.mu.Lock()
	m.peers.SetEstablished(established)
	due := m.peers.MarkStateSentIfDue(now, loads)
	m.noteCollector(now, storeReachable)
	m.mu.Unlock()
	if due {
		m.sendState(now, m.buildState(now, storeReachable, loads))
	}
	m.sendDigests(now)
}

// retryWindow is the window of the retry budget from the settings; 0 if they have
// none.
func (m *Messenger) retryWindow() time.Duration { return m.Settings.Bounds.RetryWindow }
