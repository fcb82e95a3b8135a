// Package peermessenger exchanges UDP datagrams with the other gateways. Each
// gateway sends its state to the collector: its loads, its retry usage (what it
// sent to each group within the retry window) and recent crashes. The collector's
// digest returns the summed loads and retry usage of all others, the recent
// crashes that the collector knows and those that the gateway lacks, the number of gateways, the directory records
// that it read and the version and age of its configuration. A gateway that isn't
// the collector answers a state with a referral to the collector that it knows.
package peermessenger

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/balancer"
	"github.com/currantwood/currantwood/budgeter"
	"github.com/currantwood/currantwood/crashkeeper"
	"github.com/currantwood/currantwood/peerkeeper"
	"github.com/currantwood/currantwood/peerwire"
	"github.com/currantwood/currantwood/sleeper"
)

const (
	// readRetryDelay is the delay after a failed read of the socket.
	readRetryDelay = 200 * time.Millisecond
	// maxDatagramBytes is the longest datagram that is received.
	maxDatagramBytes = 64 << 10
	// coverageTimeout is how long after an accepted digest this gateway relies on
	// the collector to read the directory. The digest must cover an offset range
	// that leaves no gap; the range may be empty.
	coverageTimeout = 700 * time.Millisecond
	// maxMissingCrashes bounds the crashes in one datagram that the receiver may
	// lack. A crash takes about 45 bytes.
	maxMissingCrashes = 32
)

// Gateway is the part of this process whose state is exchanged. Its methods
// are safe for concurrent use.
type Gateway interface {
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
	// SetBudgetPeers replaces what is known of the other gateways' use of the retry
	// budgets.
	SetBudgetPeers(now time.Time, peers budgeter.Peers)
	// RecentCrashes returns the crashes that other gateways should learn of.
	RecentCrashes(now time.Time) []crashkeeper.AgedCrash
	// CrashSum returns a checksum of the crashes that all gateways must know.
	CrashSum(now time.Time) uint64
	// SuspectCrashes returns up to limit of these crashes, those after a
	// fingerprint, and the last fingerprint included.
	SuspectCrashes(now time.Time, after currantwood.Fingerprint, limit int) ([]crashkeeper.AgedCrash, currantwood.Fingerprint)
	// RecordCrashes records the crashes that another gateway sent.
	RecordCrashes(now time.Time, from currantwood.VMID, reports []crashkeeper.AgedCrash)
}

// Configuration is the configuration that this gateway holds.
type Configuration interface {
	Version() currantwood.ConfigurationVersion
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
	// ApplyPeerRecords applies records that a peer read at readAt. It returns
	// false if they don't follow what is known.
	ApplyPeerRecords(now, readAt time.Time, from, next currantwood.Offset, records []currantwood.KeyedRecord) bool
	// Kick requests a read, even while a peer reads the topic.
	Kick()
	// Reachable reports whether this process's latest own read of the store
	// succeeded, however long ago. While a peer reads the topic for this
	// process, only reads requested by Kick change it.
	Reachable() bool
}

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
	// seeds are the hosts of Settings.Seeds with the peer port, without this VM's
	// own.
	seeds []string
	// configurationTopic and directoryTopic are set by Start.
	configurationTopic, directoryTopic Topic
	// mu protects the fields below.
	mu    sync.Mutex
	peers *peerkeeper.Keeper
	// directoryCoveredAt is when an accepted digest last covered the directory
	// without a gap; zero if none did.
	directoryCoveredAt time.Time
	// wasCollector is the role that was logged last.
	wasCollector bool
	// process identifies this process among those of its VM.
	process uint64
	// startedAt is when this process created the Messenger.
	startedAt time.Time
}

// New opens the socket. Nothing is sent or received before Start. A seed
// address that can't be parsed is logged and skipped; this VM's own address is
// skipped without a log line.
func New(options Options) (*Messenger, error) {
	m := &Messenger{Options: options, process: rand.Uint64(), startedAt: options.Now(), peers: peerkeeper.New(peerkeeper.Peer{VM: options.Settings.VM, Capacity: options.Settings.CapacityMillicores()})}
	port := strconv.Itoa(options.Settings.PeerPort)
	conn, err := net.ListenPacket("udp4", net.JoinHostPort(options.Settings.IP, port))
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	m.conn = conn
	for _, seed := range options.Settings.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			options.Logger.Warn("invalid seed address", zap.String("seed", seed), zap.Error(err))
			continue
		}
		if host != options.Settings.IP {
			m.seeds = append(m.seeds, net.JoinHostPort(host, port))
		}
	}
	return m, nil
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

// CollectorReadsDirectory reports whether the collector currently reads the
// directory for this gateway.
func (m *Messenger) CollectorReadsDirectory(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, known := m.peers.OtherCollector(now)
	return known && !m.directoryCoveredAt.IsZero() && now.Sub(m.directoryCoveredAt) < coverageTimeout
}

// HasOtherCollector reports whether another gateway is known as the collector.
// It is false on the collector itself.
func (m *Messenger) HasOtherCollector(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, known := m.peers.OtherCollector(now)
	return known
}

// NoteDirectoryRead notes a read of the directory by this gateway. changed are
// the records in the offset range [from, next) that caused an event; if there
// are any and this gateway is the collector, it sends digests at once.
func (m *Messenger) NoteDirectoryRead(now time.Time, from, next currantwood.Offset, changed []currantwood.KeyedRecord) {
	m.mu.Lock()
	m.peers.RetainRecords(now, from, next, changed)
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
	m.logCollectorChange(now, storeReachable)
	m.mu.Unlock()
	if due {
		m.sendState(now, m.buildState(now, storeReachable, loads))
	}
	m.sendDigests(now)
}

// sendState sends this gateway's state to the other gateway that is the
// collector. If none is known, also because this one is the collector, it goes
// to gateways and seed addresses that may answer with a referral.
func (m *Messenger) sendState(now time.Time, state *peerwire.State) {
	m.mu.Lock()
	recipients := m.peers.StateRecipients(now)
	_, known := m.peers.OtherCollector(now)
	m.mu.Unlock()
	datagram := &peerwire.Datagram{Body: &peerwire.Datagram_State{State: state}}
	for _, peer := range recipients {
		m.send(peer.Address, datagram)
	}
	if known {
		return
	}
	for _, seed := range m.seeds {
		m.send(seed, datagram)
	}
}

// logCollectorChange logs when this gateway becomes the collector or stops
// being it. Called with mu held.
func (m *Messenger) logCollectorChange(now time.Time, storeReachable bool) {
	isCollector := m.peers.IsCollector(now, storeReachable)
	if isCollector != m.wasCollector {
		m.wasCollector = isCollector
		if isCollector {
			m.peers.BecomeCollector(now)
		}
		m.Logger.Info("this gateway became the collector or stopped being it", zap.Bool("collects", isCollector), zap.Bool("store", storeReachable), zap.Int("gateways", m.peers.CountGateways(now)))
	}
}

// storeReachable reports whether this gateway's latest own reads of both topics
// succeeded, however long ago.
func (m *Messenger) storeReachable() bool {
	return m.directoryTopic.Reachable() && m.configurationTopic.Reachable()
}

// buildState returns the state of this gateway.
func (m *Messenger) buildState(now time.Time, storeReachable bool, loads balancer.Loads) *peerwire.State {
	sum := m.Gateway.CrashSum(now)
	m.mu.Lock()
	collector, _ := m.peers.OtherCollector(now)
	missing := m.missingCrashes(now, collector.VM, sum)
	m.mu.Unlock()
	return &peerwire.State{
		SentAt:   now.UnixNano(),
		Store:    storeReachable,
		Next:     uint64(m.directoryTopic.Position()),
		Loads:    encodeLoads(loads),
		Crashes:  encodeCrashes(append(m.Gateway.RecentCrashes(now), missing...)),
		Uses:     encodeRetryUsage(m.Gateway.RetryUsage(now)),
		CrashSum: sum,
	}
}

// missingCrashes returns crashes that a peer may lack, as its checksum differs from
// sum, this gateway's own. It returns none if the peer is unknown or was sent some a
// moment ago. Called with mu held.
func (m *Messenger) missingCrashes(now time.Time, peer currantwood.VMID, sum uint64) []crashkeeper.AgedCrash {
	after, due := m.peers.CrashesDue(now, peer, sum)
	if !due {
		return nil
	}
	reports, last := m.Gateway.SuspectCrashes(now, after, maxMissingCrashes)
	m.peers.MarkCrashesSent(now, peer, last)
	return reports
}

// sendDigests sends a digest to each recipient if this gateway is the
// collector, and applies the sums of the others' loads and retry usage to its
// own process.
func (m *Messenger) sendDigests(now time.Time) {
	storeReachable := m.storeReachable()
	m.mu.Lock()
	if !m.peers.IsCollector(now, storeReachable) {
		m.mu.Unlock()
		return
	}
	recipients := m.peers.DigestRecipients(now)
	m.mu.Unlock()
	own, usage := m.Gateway.OwnLoads(), m.Gateway.RetryUsage(now)
	crashes, sum := encodeCrashes(m.Gateway.RecentCrashes(now)), m.Gateway.CrashSum(now)
	for i, digest := range m.buildDigests(now, recipients, own, usage) {
		m.mu.Lock()
		missing := m.missingCrashes(now, recipients[i].VM, sum)
		m.mu.Unlock()
		digest.Crashes, digest.CrashSum = append(encodeCrashes(missing), crashes...), sum
		m.send(recipients[i].Address, &peerwire.Datagram{Body: &peerwire.Datagram_Digest{Digest: digest}})
	}
	m.mu.Lock()
	loads := m.peers.TotalLoads(now, nil)
	peers := budgeter.Peers{
		Usage:       m.peers.TotalUsage(now, m.retryWindow(), "", nil),
		Gateways:    m.peers.CountGateways(now),
		Established: m.peers.CountEstablished(now),
	}
	m.mu.Unlock()
	m.Gateway.SetPeerLoads(now, loads)
	m.Gateway.SetBudgetPeers(now, peers)
}

// retryWindow is the window of the retry budget from the settings; 0 if they have
// none.
func (m *Messenger) retryWindow() time.Duration { return m.Settings.Bounds.RetryWindow }

// buildDigests returns a digest for each of the recipients, in their order.
func (m *Messenger) buildDigests(now time.Time, recipients []peerkeeper.Peer, own balancer.Loads, usage budgeter.GroupUsage) []*peerwire.Digest {
	m.mu.Lock()
	defer m.mu.Unlock()
	loads := m.peers.TotalLoads(now, own)
	digests := make([]*peerwire.Digest, 0, len(recipients))
	for _, peer := range recipients {
		digests = append(digests, m.buildDigest(now, peer, loads, usage))
	}
	return digests
}

// buildDigest returns the digest for one peer. loads is the sum of all
// gateways' loads, usage is this gateway's own retry usage. Called with mu held.
func (m *Messenger) buildDigest(now time.Time, peer peerkeeper.Peer, loads balancer.Loads, usage budgeter.GroupUsage) *peerwire.Digest {
	// The age is read before the version: otherwise the previous version would
	// get the age of a configuration that arrives in between.
	age := m.Configuration.Age(now)
	digest := &peerwire.Digest{
		Echo:               m.peers.LastState(peer.VM).SentAt,
		EchoProcess:        m.peers.LastState(peer.VM).Process,
		Configuration:      uint64(m.Configuration.Version()),
		ConfigurationAgeUs: age.Microseconds(),
		DirectoryAgeUs:     m.directoryTopic.Age(now).Microseconds(),
		Loads:              encodeLoads(m.peers.LoadsExcept(loads, peer.VM)),
		Gateways:           uint32(m.peers.CountGateways(now)),
		Established:        uint32(m.peers.CountEstablished(now)),
		Uses:               encodeRetryUsage(m.peers.TotalUsage(now, m.retryWindow(), peer.VM, usage)),
	}
	known := m.peers.KnownOffset(peer.VM)
	if records, next, ok := m.peers.RecordsSince(known); ok {
		digest.From, digest.Next = uint64(known), uint64(next)
		for _, r := range records {
			digest.Records = append(digest.Records, &peerwire.Record{Offset: uint64(r.Offset), Key: r.Key, Value: r.Value})
		}
	}
	return digest
}

// send encodes a datagram and sends it to an address.
func (m *Messenger) send(address string, datagram *peerwire.Datagram) {
	datagram.Vm, datagram.Strength = string(m.Settings.VM), m.Settings.CapacityMillicores()
	datagram.Established, datagram.Process = m.Gateway.Established(m.Now()), m.process
	data, err := proto.Marshal(datagram)
	if err != nil {
		m.Logger.Error("failed to encode datagram", zap.Error(err))
		return
	}
	to, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		m.Logger.Warn("invalid peer address", zap.String("address", address), zap.Error(err))
		return
	}
	// Errors are ignored, as a datagram can be lost without one too: the next
	// carries the same information. One that is too long for UDP isn't logged
	// either.
	_, _ = m.conn.WriteTo(data, to)
}

// receive decodes a datagram and passes it to its handler.
func (m *Messenger) receive(data []byte, address string) {
	var datagram peerwire.Datagram
	if err := proto.Unmarshal(data, &datagram); err != nil {
		m.Logger.Warn("failed to decode datagram", zap.String("from", address), zap.Error(err))
		return
	}
	now := m.Now()
	from := peerkeeper.Peer{VM: currantwood.VMID(datagram.GetVm()), Address: address, Capacity: datagram.GetStrength(), Established: datagram.GetEstablished()}
	switch body := datagram.GetBody().(type) {
	case *peerwire.Datagram_State:
		m.receiveState(now, from, datagram.GetProcess(), body.State)
	case *peerwire.Datagram_Digest:
		m.receiveDigest(now, from, body.Digest)
	case *peerwire.Datagram_Referral:
		m.mu.Lock()
		m.peers.NotePeer(now, peerkeeper.Peer{VM: currantwood.VMID(body.Referral.GetVm()), Address: body.Referral.GetAddress(), Capacity: body.Referral.GetStrength(), Established: body.Referral.GetEstablished()})
		m.mu.Unlock()
	}
}

// receiveState stores a peer's state and answers with a referral if a third
// gateway is the collector.
func (m *Messenger) receiveState(now time.Time, from peerkeeper.Peer, process uint64, s *peerwire.State) {
	m.Gateway.RecordCrashes(now, from.VM, decodeCrashes(s.GetCrashes()))
	m.mu.Lock()
	m.peers.ApplyState(now, from, peerkeeper.State{
		SentAt:         s.GetSentAt(),
		StoreReachable: s.GetStore(),
		NextOffset:     currantwood.Offset(s.GetNext()),
		Loads:          decodeLoads(s.GetLoads()),
		RetryUsage:     decodeRetryUsage(s.GetUses()),
		CrashSum:       s.GetCrashSum(),
		Process:        process,
	})
	collector, known := m.peers.OtherCollector(now)
	m.mu.Unlock()
	if known && collector.VM != from.VM {
		m.send(from.Address, &peerwire.Datagram{Body: &peerwire.Datagram_Referral{
			Referral: &peerwire.Referral{Vm: string(collector.VM), Address: collector.Address, Strength: collector.Capacity, Established: collector.Established},
		}})
	}
}

// receiveDigest applies a digest if its sender is accepted as the collector.
// Crashes are applied in any case.
func (m *Messenger) receiveDigest(now time.Time, from peerkeeper.Peer, d *peerwire.Digest) {
	m.mu.Lock()
	usage := decodeRetryUsage(d.GetUses())
	accepted := m.peers.AcceptDigest(now, from, m.storeReachable())
	if accepted {
		m.peers.SetDigestUsage(usage)
		m.peers.SetDigestGateways(int(d.GetGateways()))
		m.peers.SetCrashSum(from.VM, d.GetCrashSum())
	}
	m.mu.Unlock()
	m.Gateway.RecordCrashes(now, from.VM, decodeCrashes(d.GetCrashes()))
	if !accepted {
		return
	}
	m.Gateway.SetPeerLoads(now, decodeLoads(d.GetLoads()))
	m.Gateway.SetBudgetPeers(now, budgeter.Peers{Usage: usage, Gateways: int(d.GetGateways()), Established: int(d.GetEstablished())})
	m.applyConfigurationAge(now, d)
	if d.GetNext() == 0 {
		return
	}
	records := make([]currantwood.KeyedRecord, 0, len(d.GetRecords()))
	for _, r := range d.GetRecords() {
		records = append(records, currantwood.KeyedRecord{Offset: currantwood.Offset(r.GetOffset()), Key: r.GetKey(), Value: r.GetValue()})
	}
	// The transit time is unknown and isn't subtracted, so readAt is too late by
	// as much.
	readAt := now.Add(-time.Duration(d.GetDirectoryAgeUs()) * time.Microsecond)
	if m.directoryTopic.ApplyPeerRecords(now, readAt, currantwood.Offset(d.GetFrom()), currantwood.Offset(d.GetNext()), records) {
		m.mu.Lock()
		m.directoryCoveredAt = now
		m.mu.Unlock()
	}
}

// applyConfigurationAge notes how recently the collector knew the
// configuration to be the newest, and requests a read if the collector has a
// newer one. The digest's transit time is unknown, so the age counts back from
// when this gateway sent the state that the digest answers.
func (m *Messenger) applyConfigurationAge(now time.Time, d *peerwire.Digest) {
	version := currantwood.ConfigurationVersion(d.GetConfiguration())
	switch {
	case version > m.Configuration.Version():
		m.configurationTopic.Kick()
	case version == m.Configuration.Version() && m.isOwnEcho(now, d):
		age := time.Duration(d.GetConfigurationAgeUs()) * time.Microsecond
		m.Configuration.Confirm(time.Unix(0, d.GetEcho()).Add(-age))
	}
}

// isOwnEcho reports whether a digest echoes a state that this process sent. The echo
// of a state that a former process sent before the VM's last boot is a time of
// another clock. A sender that doesn't name the process is believed if the echo is
// from the life of this one.
func (m *Messenger) isOwnEcho(now time.Time, d *peerwire.Digest) bool {
	sentAt := time.Unix(0, d.GetEcho())
	if d.GetEcho() <= 0 || sentAt.Before(m.startedAt) || sentAt.After(now) {
		return false
	}
	return d.GetEchoProcess() == m.process || d.GetEchoProcess() == 0
}
