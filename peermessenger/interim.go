package peermessenger

import (
	"time"

	"github.com/currantwood/currantwood/budgeter"
	"github.com/currantwood/currantwood/peerkeeper"
	"github.com/currantwood/currantwood/peerwire"
)

// sendDigest sends a digest. An interim one has nothing of what the store holds, but for
// the last known evacuations, which end only by a newer read.
func (m *Messenger) sendDigest(address string, d *peerwire.Digest, interim bool) {
	if !interim {
		m.send(address, &peerwire.Datagram{Body: &peerwire.Datagram_Digest{Digest: d}})
		return
	}
	m.send(address, &peerwire.Datagram{Body: &peerwire.Datagram_InterimDigest{InterimDigest: &peerwire.Digest{
		Loads: d.GetLoads(), Uses: d.GetUses(), Gateways: d.GetGateways(), Established: d.GetEstablished(),
		RateLimits: d.GetRateLimits(), SumsRateLimits: d.GetSumsRateLimits(), Notices: d.GetNotices(),
		Crashes: d.GetCrashes(), Completions: d.GetCompletions(), Evacuations: d.GetEvacuations(), Speeds: d.GetSpeeds(),
		WarmUpRates: d.GetWarmUpRates(), SumsWarmUpRates: d.GetSumsWarmUpRates(),
		Limits: d.GetLimits(), HasLimits: d.GetHasLimits(), Promises: d.GetPromises(),
	}}})
}

// receiveInterimDigest applies a digest of a gateway that doesn't reach the store, if this
// one doesn't either. Crashes are applied in any case.
func (m *Messenger) receiveInterimDigest(now time.Time, from peerkeeper.Peer, d *peerwire.Digest) {
	storeReachable := m.storeReachable()
	m.mu.Lock()
	accepted := m.peers.AcceptInterimDigest(now, from, storeReachable)
	m.mu.Unlock()
	m.Gateway.RecordCrashes(now, from.VM, decodeCrashes(d.GetCrashes()), decodeCompletions(d.GetCompletions()))
	if accepted {
		m.applySums(now, from, d)
	}
}

// applySums applies what a digest says of all other gateways.
func (m *Messenger) applySums(now time.Time, from peerkeeper.Peer, d *peerwire.Digest) {
	usage := decodeRetryUsage(d.GetUses())
	m.mu.Lock()
	m.peers.SetDigestUsage(usage)
	m.peers.SetDigestGateways(int(d.GetGateways()))
	m.mu.Unlock()
	m.Gateway.SetPeerLoads(now, decodeLoads(d.GetLoads()))
	m.Gateway.SetBudgetPeers(now, budgeter.Peers{Usage: usage, Gateways: int(d.GetGateways()), Established: int(d.GetEstablished())})
	if d.GetSumsRateLimits() {
		m.Gateway.SetFleetRates(now, decodeRates(now, d.GetRateLimits()), int(d.GetGateways()))
	}
	if d.GetSumsWarmUpRates() {
		m.Gateway.SetFleetWarmUpRates(now, decodeRates(now, d.GetWarmUpRates()), int(d.GetGateways()))
	}
	m.Gateway.LearnNotices(now, from.VM, decodeNotices(now, d.GetNotices()))
	m.Gateway.LearnPromises(now, decodePromises(now, d.GetPromises()))
	if len(d.GetSpeeds()) > 0 {
		m.Gateway.LearnSpeeds(now, from.VM, decodeSpeeds(d.GetSpeeds()))
	}
	if d.GetHasLimits() {
		m.Gateway.LearnLimits(now, decodeLimits(d.GetLimits()))
	}
	if set, known := decodeEvacuations(d.GetEvacuations()); known {
		m.Gateway.LearnEvacuations(now, from.VM, set)
	}
}
