// Package peermessenger exchanges datagrams with the other gateways: what each
// has in flight, what the one that collects has read of the directory, and how
// fresh the configuration is.
package peermessenger

import (
	"context"
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
	// retryPause is the time before a failed read of the socket is tried again.
	retryPause = 200 * time.Millisecond
	// maxDatagram is the longest datagram that is read, in bytes.
	maxDatagram = 64 << 10
	// coverTime is how long the directory counts as read by the gateway that
	// collects after it has told what it read.
	coverTime = 700 * time.Millisecond
)

// Gateway is what the messenger needs of its own process. Its methods are safe
// for concurrent use.
type Gateway interface {
	OwnLoads() balancer.Loads
	TakePeerLoads(now time.Time, loads balancer.Loads)
	Uses(now time.Time) budgeter.Uses
	TakePeerUses(now time.Time, uses budgeter.Uses, gateways int)
	Crashes(now time.Time) []crashkeeper.Crash
	TakeCrashes(now time.Time, crashes []crashkeeper.Crash)
}

// Configuration is what is known of the configuration.
type Configuration interface {
	Version() currantwood.Version
	Age(now time.Time) time.Duration
	Proven(at time.Time)
}

// Topic is a topic of the store that is followed.
type Topic interface {
	Position() currantwood.Offset
	Age(now time.Time) time.Duration
	Offer(now, read time.Time, from, next currantwood.Offset, records []currantwood.KeyedRecord) bool
	Kick()
	Reachable() bool
}

// Options says what a messenger needs.
type Options struct {
	Settings      currantwood.GatewaySettings
	Logger        *zap.Logger
	Now           func() time.Time
	Gateway       Gateway
	Configuration Configuration
}

// Messenger exchanges the datagrams.
type Messenger struct {
	Options
	conn net.PacketConn
	// seeds are where other gateways may listen.
	seeds []string
	// configuration and directory are set by Start.
	configuration, directory Topic
	mu                       sync.Mutex
	// keeper, coveredAt and collecting are held by mu.
	keeper     *peerkeeper.Keeper
	coveredAt  time.Time
	collecting bool
}

// New opens the socket. Nothing is sent before Start.
func New(options Options) (*Messenger, error) {
	m := &Messenger{Options: options, keeper: peerkeeper.New(peerkeeper.Peer{VM: options.Settings.VM, Capacity: options.Settings.Strength()})}
	port := strconv.Itoa(options.Settings.PeerPort)
	conn, err := net.ListenPacket("udp4", net.JoinHostPort(options.Settings.IP, port))
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	m.conn = conn
	for _, seed := range options.Settings.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			options.Logger.Warn("seed address not understood", zap.String("seed", seed), zap.Error(err))
			continue
		}
		if host != options.Settings.IP {
			m.seeds = append(m.seeds, net.JoinHostPort(host, port))
		}
	}
	return m, nil
}

// Start begins to send and receive until ctx is done.
func (m *Messenger) Start(ctx context.Context, configuration, directory Topic) {
	m.configuration, m.directory = configuration, directory
	go func() {
		for sleeper.Sleep(ctx, m.pause()) {
			m.tick()
		}
		_ = m.conn.Close()
	}()
	go func() {
		buffer := make([]byte, maxDatagram)
		for {
			n, from, err := m.conn.ReadFrom(buffer)
			if ctx.Err() != nil {
				return
			}
			if err != nil {
				m.Logger.Warn("datagram not read", zap.Error(err))
				sleeper.Sleep(ctx, retryPause)
				continue
			}
			m.receive(buffer[:n], from.String())
		}
	}()
}

// DirectoryCovered reports whether the collecting gateway reads the directory
// for this one.
func (m *Messenger) DirectoryCovered(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, known := m.keeper.Collector(now)
	return known && !m.coveredAt.IsZero() && now.Sub(m.coveredAt) < coverTime
}

// Collected reports whether another gateway collects.
func (m *Messenger) Collected(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, known := m.keeper.Collector(now)
	return known
}

// DirectoryRead notes a read of the directory by this gateway and tells those
// that it collects for.
func (m *Messenger) DirectoryRead(now time.Time, from, next currantwood.Offset, changed []currantwood.KeyedRecord) {
	m.mu.Lock()
	m.keeper.RetainRecords(now, from, next, changed)
	m.mu.Unlock()
	if len(changed) > 0 {
		m.tell(now)
	}
}

// pause is the time until something is due.
func (m *Messenger) pause() time.Duration {
	now := m.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.keeper.SendInterval(now)
}

// tick sends what is due.
func (m *Messenger) tick() {
	now := m.Now()
	store := m.store()
	loads := m.Gateway.OwnLoads()
	m.mu.Lock()
	due := m.keeper.MarkStateDue(now, loads)
	m.note(now, store)
	m.mu.Unlock()
	if due {
		m.stateTo(now, m.state(now, store, loads))
	}
	m.tell(now)
}

// stateTo sends the state of this gateway to the one that collects, or else to
// some that may know who does.
func (m *Messenger) stateTo(now time.Time, state *peerwire.State) {
	m.mu.Lock()
	ask := m.keeper.StateRecipients(now)
	_, collected := m.keeper.Collector(now)
	m.mu.Unlock()
	datagram := &peerwire.Datagram{Body: &peerwire.Datagram_State{State: state}}
	for _, peer := range ask {
		m.send(peer.Address, datagram)
	}
	if collected {
		return
	}
	for _, seed := range m.seeds {
		m.send(seed, datagram)
	}
}

// note logs a change of who collects; called with mu held.
func (m *Messenger) note(now time.Time, store bool) {
	collects := m.keeper.IsCollector(now, store)
	if collects != m.collecting {
		m.collecting = collects
		m.Logger.Info("collecting for other gateways", zap.Bool("collects", collects), zap.Bool("store", store), zap.Int("gateways", m.keeper.CountGateways(now)))
	}
}

// store reports whether this process follows the store by itself.
func (m *Messenger) store() bool {
	return m.directory.Reachable() && m.configuration.Reachable()
}

func (m *Messenger) state(now time.Time, store bool, loads balancer.Loads) *peerwire.State {
	return &peerwire.State{
		SentAt:  now.UnixNano(),
		Store:   store,
		Next:    uint64(m.directory.Position()),
		Loads:   encodeLoads(loads),
		Crashes: encodeCrashes(m.Gateway.Crashes(now)),
		Uses:    encodeUses(m.Gateway.Uses(now)),
	}
}

// tell sends digests if this gateway collects.
func (m *Messenger) tell(now time.Time) {
	store := m.store()
	m.mu.Lock()
	if !m.keeper.IsCollector(now, store) {
		m.mu.Unlock()
		return
	}
	told := m.keeper.DigestRecipients(now)
	m.mu.Unlock()
	own, uses := m.Gateway.OwnLoads(), m.Gateway.Uses(now)
	crashes := encodeCrashes(m.Gateway.Crashes(now))
	for i, digest := range m.digests(now, told, own, uses) {
		digest.Crashes = crashes
		m.send(told[i].Address, &peerwire.Datagram{Body: &peerwire.Datagram_Digest{Digest: digest}})
	}
	m.mu.Lock()
	loads, gateways := m.keeper.TotalLoads(now, nil), m.keeper.CountGateways(now)
	others := m.keeper.TotalUses(now, m.window(), "", nil)
	m.mu.Unlock()
	m.Gateway.TakePeerLoads(now, loads)
	m.Gateway.TakePeerUses(now, others, gateways)
}

// window is the time that the retry budget is counted over.
func (m *Messenger) window() time.Duration { return m.Settings.Bounds.RetryWindow }

// digests returns what each gateway is told.
func (m *Messenger) digests(now time.Time, told []peerkeeper.Peer, own balancer.Loads, uses budgeter.Uses) []*peerwire.Digest {
	m.mu.Lock()
	defer m.mu.Unlock()
	loads := m.keeper.TotalLoads(now, own)
	digests := make([]*peerwire.Digest, 0, len(told))
	for _, peer := range told {
		digests = append(digests, m.digest(now, peer, loads, uses))
	}
	return digests
}

// digest is what a gateway is told, by the sum of all loads and the uses of this
// one; called with the lock held.
func (m *Messenger) digest(now time.Time, peer peerkeeper.Peer, loads balancer.Loads, uses budgeter.Uses) *peerwire.Digest {
	// The age is read before the version that it must hold for.
	age := m.Configuration.Age(now)
	digest := &peerwire.Digest{
		Echo:               m.keeper.LastSentAt(peer.VM),
		Configuration:      uint64(m.Configuration.Version()),
		ConfigurationAgeUs: age.Microseconds(),
		DirectoryAgeUs:     m.directory.Age(now).Microseconds(),
		Loads:              encodeLoads(m.keeper.LoadsExcept(loads, peer.VM)),
		Gateways:           uint32(m.keeper.CountGateways(now)),
		Uses:               encodeUses(m.keeper.TotalUses(now, m.window(), peer.VM, uses)),
	}
	known := m.keeper.KnownOffset(peer.VM)
	if records, next, ok := m.keeper.RecordsSince(known); ok {
		digest.From, digest.Next = uint64(known), uint64(next)
		for _, r := range records {
			digest.Records = append(digest.Records, &peerwire.Record{Offset: uint64(r.Offset), Key: r.Key, Value: r.Value})
		}
	}
	return digest
}

func (m *Messenger) send(address string, datagram *peerwire.Datagram) {
	datagram.Vm, datagram.Strength = string(m.Settings.VM), m.Settings.Strength()
	data, err := proto.Marshal(datagram)
	if err != nil {
		m.Logger.Error("datagram not encoded", zap.Error(err))
		return
	}
	to, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		m.Logger.Warn("address of a peer not understood", zap.String("address", address), zap.Error(err))
		return
	}
	// A datagram that can't be sent is like one that is lost: the next one
	// says the same.
	_, _ = m.conn.WriteTo(data, to)
}

// receive takes one datagram.
func (m *Messenger) receive(data []byte, address string) {
	var datagram peerwire.Datagram
	if err := proto.Unmarshal(data, &datagram); err != nil {
		m.Logger.Warn("datagram not understood", zap.String("from", address), zap.Error(err))
		return
	}
	now := m.Now()
	from := peerkeeper.Peer{VM: currantwood.VMID(datagram.GetVm()), Address: address, Capacity: datagram.GetStrength()}
	switch body := datagram.GetBody().(type) {
	case *peerwire.Datagram_State:
		m.receiveState(now, from, body.State)
	case *peerwire.Datagram_Digest:
		m.receiveDigest(now, from, body.Digest)
	case *peerwire.Datagram_Referral:
		m.mu.Lock()
		m.keeper.NotePeer(now, peerkeeper.Peer{VM: currantwood.VMID(body.Referral.GetVm()), Address: body.Referral.GetAddress(), Capacity: body.Referral.GetStrength()})
		m.mu.Unlock()
	}
}

func (m *Messenger) receiveState(now time.Time, from peerkeeper.Peer, s *peerwire.State) {
	m.Gateway.TakeCrashes(now, decodeCrashes(s.GetCrashes()))
	m.mu.Lock()
	m.keeper.ApplyState(now, from, peerkeeper.State{
		SentAt:         s.GetSentAt(),
		StoreReachable: s.GetStore(),
		NextOffset:     currantwood.Offset(s.GetNext()),
		Loads:          decodeLoads(s.GetLoads()),
		Uses:           decodeUses(s.GetUses()),
	})
	collector, known := m.keeper.Collector(now)
	m.mu.Unlock()
	if known && collector.VM != from.VM {
		m.send(from.Address, &peerwire.Datagram{Body: &peerwire.Datagram_Referral{
			Referral: &peerwire.Referral{Vm: string(collector.VM), Address: collector.Address, Strength: collector.Capacity},
		}})
	}
}

func (m *Messenger) receiveDigest(now time.Time, from peerkeeper.Peer, d *peerwire.Digest) {
	m.mu.Lock()
	taken := m.keeper.AcceptDigest(now, from, m.store())
	if taken {
		m.keeper.SetCollectorGateways(int(d.GetGateways()))
	}
	m.mu.Unlock()
	m.Gateway.TakeCrashes(now, decodeCrashes(d.GetCrashes()))
	if !taken {
		return
	}
	m.Gateway.TakePeerLoads(now, decodeLoads(d.GetLoads()))
	m.Gateway.TakePeerUses(now, decodeUses(d.GetUses()), int(d.GetGateways()))
	m.takeFreshness(d)
	if d.GetNext() == 0 {
		return
	}
	records := make([]currantwood.KeyedRecord, 0, len(d.GetRecords()))
	for _, r := range d.GetRecords() {
		records = append(records, currantwood.KeyedRecord{Offset: currantwood.Offset(r.GetOffset()), Key: r.GetKey(), Value: r.GetValue()})
	}
	read := now.Add(-time.Duration(d.GetDirectoryAgeUs()) * time.Microsecond)
	if m.directory.Offer(now, read, currantwood.Offset(d.GetFrom()), currantwood.Offset(d.GetNext()), records) {
		m.mu.Lock()
		m.coveredAt = now
		m.mu.Unlock()
	}
}

// takeFreshness takes the word of the collecting gateway on the configuration.
// How long the digest was under way isn't known, so the age counts from when
// the state that it answers was sent.
func (m *Messenger) takeFreshness(d *peerwire.Digest) {
	version := currantwood.Version(d.GetConfiguration())
	switch {
	case version > m.Configuration.Version():
		m.configuration.Kick()
	case version == m.Configuration.Version() && d.GetEcho() > 0:
		age := time.Duration(d.GetConfigurationAgeUs()) * time.Microsecond
		m.Configuration.Proven(time.Unix(0, d.GetEcho()).Add(-age))
	}
}
