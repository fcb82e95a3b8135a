package peermessenger

import (
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/balancer"
	"github.com/currantwood/currantwood/budgeter"
	"github.com/currantwood/currantwood/peerkeeper"
	"github.com/currantwood/currantwood/peerwire"
	"github.com/currantwood/currantwood/ratekeeper"
)

// sendDigests sends a digest to each recipient if this gateway is the
// collector or the interim collector, and applies the sums of the others' loads and retry
// usage to its own process.
func (m *Messenger) sendDigests(now time.Time) {
	storeReachable := m.storeReachable()
	m.mu.Lock()
	interim := m.peers.IsInterimCollector(now, storeReachable)
	if !interim && !m.peers.IsCollector(now, storeReachable) {
		m.mu.Unlock()
		return
	}
	recipients := m.peers.DigestRecipients(now)
	m.mu.Unlock()
	estimates := m.takeEstimates(now, len(recipients))
	own, usage, ownRates, ownWarmUps := m.Gateway.OwnLoads(), m.Gateway.RetryUsage(now), m.Gateway.OwnRates(now), m.Gateway.OwnWarmUpRates(now)
	m.mu.Lock()
	rates, warmUps := m.peers.TotalRates(now, ownRates), m.peers.TotalWarmUpRates(now, ownWarmUps)
	ranks, next := m.peers.Ranks(recipients)
	m.mu.Unlock()
	successors := encodeSuccessors(next)
	recent, completed := m.Gateway.RecentCrashes(now, maxDigestCrashes)
	crashes, completions, sum := encodeCrashes(recent), encodeCompletions(completed), m.Gateway.CrashSum(now)
	notices, allNotices := encodeNotices(now, m.Gateway.KnownNotices(now, false)), encodeNotices(now, m.Gateway.KnownNotices(now, true))
	evacuations := encodeEvacuations(m.Gateway.Evacuations(now))
	promises := encodePromises(now, m.Gateway.RecentPromises(now, digestPromises(len(recipients))))
	for i, digest := range m.buildDigests(now, recipients, own, usage) {
		m.mu.Lock()
		missing := m.missingCrashes(now, recipients[i].VM, sum)
		if !interim {
			m.addStartsToDigest(now, recipients[i].VM, digest)
		}
		digest.RateLimits, digest.SumsRateLimits = encodeRates(now, m.peers.RatesExcept(rates, recipients[i].VM)), true
		digest.WarmUpRates, digest.SumsWarmUpRates = encodeRates(now, m.peers.WarmUpRatesExcept(warmUps, recipients[i].VM)), true
		digest.Rank, digest.Successors = uint32(ranks[i]), successors
		digest.Notices, digest.Evacuations = notices, evacuations
		estimates.addTo(digest)
		digest.Promises = promises
		if m.peers.HasJustStarted(now, recipients[i].VM) {
			digest.Notices = allNotices
		}
		m.mu.Unlock()
		digest.Crashes, digest.Completions, digest.CrashSum = append(encodeCrashes(missing), crashes...), completions, sum
		m.sendDigest(recipients[i].Address, digest, interim)
	}
	m.applyCollectedSums(now, rates.Without(ownRates), warmUps.Without(ownWarmUps))
}

// applyCollectedSums applies to its own process what the collector knows of all other
// gateways. rates and warmUps are those of the others.
func (m *Messenger) applyCollectedSums(now time.Time, rates, warmUps ratekeeper.Rates) {
	m.mu.Lock()
	loads := m.peers.TotalLoads(now, nil)
	m.peers.SetDigestGateways(m.peers.CountGateways(now))
	peers := budgeter.Peers{
		Usage:       m.peers.TotalUsage(now, m.retryWindow(), "", nil),
		Gateways:    m.peers.CountGateways(now),
		Established: m.peers.CountEstablished(now),
	}
	m.mu.Unlock()
	m.Gateway.SetPeerLoads(now, loads)
	m.Gateway.SetBudgetPeers(now, peers)
	m.Gateway.SetFleetRates(now, rates, peers.Gateways)
	m.Gateway.SetFleetWarmUpRates(now, warmUps, peers.Gateways)
}

// maxSuccessors bounds the next collectors that a digest names.
const maxSuccessors = 2

// encodeSuccessors encodes the first of the next collectors, which are in the order of
// their rank.
func encodeSuccessors(next []peerkeeper.Peer) []*peerwire.Referral {
	out := make([]*peerwire.Referral, 0, maxSuccessors)
	for _, peer := range next[:min(len(next), maxSuccessors)] {
		out = append(out, &peerwire.Referral{Vm: string(peer.VM), Address: peer.Address, Strength: peer.Capacity, Established: peer.Established})
	}
	return out
}

// noteSuccessors notes the next collectors, so that this gateway sends them its state as
// soon as the present one is no longer heard from. Called with mu held.
func (m *Messenger) noteSuccessors(now time.Time, successors []*peerwire.Referral) {
	for _, s := range successors {
		m.peers.NotePeer(now, peerkeeper.Peer{VM: currantwood.VMID(s.GetVm()), Address: s.GetAddress(), Capacity: s.GetStrength(), Established: s.GetEstablished()})
	}
}

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
		Echo:                m.peers.LastState(peer.VM).SentAt,
		EchoProcess:         m.peers.LastState(peer.VM).Process,
		Configuration:       uint64(m.Configuration.Version()),
		ConfigurationAgeUs:  age.Microseconds(),
		ConfigurationHeldUs: m.configurationHeld(now),
		DirectoryAgeUs:      m.directoryTopic.Age(now).Microseconds(),
		// The age of a time that is zero is the longest duration.
		DirectoryFailedAgeUs: proto.Int64(now.Sub(m.directoryTopic.FailedAt()).Microseconds()),
		Loads:                encodeLoads(m.peers.LoadsExcept(loads, peer.VM)),
		Gateways:             uint32(m.peers.CountGateways(now)),
		Established:          uint32(m.peers.CountEstablished(now)),
		StoreEra:             uint64(m.directoryTopic.Era()),
		Uses:                 encodeRetryUsage(m.peers.TotalUsage(now, m.retryWindow(), peer.VM, usage)),
	}
	known := m.peers.KnownOffset(peer.VM)
	era := m.peers.LastState(peer.VM).Era
	if records, next, ok := m.peers.RecordsSince(era, known); ok {
		// The topic may have gone on to a later era since these records were retained.
		digest.StoreEra = uint64(era)
		digest.From, digest.Next = uint64(known), uint64(next)
		for _, r := range records {
			digest.Records = append(digest.Records, &peerwire.Record{Offset: uint64(r.Offset), Key: r.Key, Value: r.Value})
		}
	}
	return digest
}

// receiveDigest applies a digest if its sender is accepted as the collector.
// Crashes are applied in any case. process is the sender's.
func (m *Messenger) receiveDigest(now time.Time, from peerkeeper.Peer, process uint64, d *peerwire.Digest) {
	m.mu.Lock()
	accepted := m.peers.AcceptDigest(now, from, m.storeReachable())
	if accepted {
		m.peers.SetRank(int(d.GetRank()))
		m.noteSuccessors(now, d.GetSuccessors())
		m.peers.SetCrashSum(from.VM, d.GetCrashSum())
	}
	m.mu.Unlock()
	m.Gateway.RecordCrashes(now, from.VM, decodeCrashes(d.GetCrashes()), decodeCompletions(d.GetCompletions()))
	if !accepted {
		return
	}
	m.applySums(now, from, d)
	m.receiveDigestStarts(now, from.VM, process, d)
	m.applyConfigurationAge(now, from, d)
	if currantwood.StoreEra(d.GetStoreEra()) > m.directoryTopic.Era() {
		m.directoryTopic.Kick()
		m.configurationTopic.Kick()
	}
	if d.GetNext() == 0 {
		return
	}
	records := make([]currantwood.KeyedRecord, 0, len(d.GetRecords()))
	for _, r := range d.GetRecords() {
		records = append(records, currantwood.KeyedRecord{Offset: currantwood.Offset(r.GetOffset()), Key: r.GetKey(), Value: r.GetValue()})
	}
	// The transit time is unknown and isn't subtracted, so the times are too late by as
	// much.
	read := currantwood.PeerRead{
		ReadAt: now.Add(-time.Duration(d.GetDirectoryAgeUs()) * time.Microsecond),
		Era:    currantwood.StoreEra(d.GetStoreEra()), From: currantwood.Offset(d.GetFrom()), Next: currantwood.Offset(d.GetNext()), Records: records,
	}
	// An older gateway doesn't say whether its reads failed: they may have.
	read.FailedAt = read.ReadAt
	if d.DirectoryFailedAgeUs != nil {
		read.FailedAt = now.Add(-time.Duration(d.GetDirectoryFailedAgeUs()) * time.Microsecond)
	}
	if m.directoryTopic.ApplyPeerRecords(now, read) {
		m.mu.Lock()
		m.directoryCoveredAt = now
		m.mu.Unlock()
	}
}

// applyConfigurationAge notes how recently the collector, from, knew the configuration to
// be the newest, and obtains a newer one if the collector has it. The digest's transit time
// is unknown, so the age counts back from when this gateway sent the state that the digest
// answers.
func (m *Messenger) applyConfigurationAge(now time.Time, from peerkeeper.Peer, d *peerwire.Digest) {
	version := currantwood.ConfigurationVersion(d.GetConfiguration())
	// An older gateway doesn't say for how long it has held the version.
	since := now
	if d.ConfigurationHeldUs != nil {
		since = now.Add(-time.Duration(d.GetConfigurationHeldUs()) * time.Microsecond)
	}
	if m.Configuration.NoteNewest(version, since) {
		m.Logger.Warn("configuration was read from an older copy of the store", zap.Uint64("version", uint64(m.Configuration.Version())), zap.Uint64("newest", uint64(version)), zap.String("collector", string(from.VM)), zap.Duration("held", now.Sub(since)))
	}
	if version > m.Configuration.Version() {
		m.obtainConfiguration(now, from, version)
		return
	}
	m.mu.Lock()
	m.configurationAsker.CaughtUp()
	m.mu.Unlock()
	if version == m.Configuration.Version() && m.isOwnEcho(now, d) {
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
