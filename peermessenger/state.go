package peermessenger

import (
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/balancer"
	"github.com/currantwood/currantwood/crashkeeper"
	"github.com/currantwood/currantwood/peerkeeper"
	"github.com/currantwood/currantwood/peerwire"
)

// sendState sends this gateway's state to the other gateway that is the
// collector. If none is known, also because this one is the collector, it goes
// to gateways and contacts that may answer with a referral.
func (m *Messenger) sendState(now time.Time, state *peerwire.State) {
	m.mu.Lock()
	recipients := m.peers.StateRecipients(now)
	_, known := m.peers.OtherCollector(now)
	contacts := m.contacts.All(now)
	m.mu.Unlock()
	datagram := &peerwire.Datagram{Body: &peerwire.Datagram_State{State: state}}
	for _, peer := range recipients {
		m.send(peer.Address, datagram)
	}
	if known {
		return
	}
	for _, address := range contacts {
		m.send(address, datagram)
	}
}

// buildState returns the state of this gateway.
func (m *Messenger) buildState(now time.Time, storeReachable bool, loads balancer.Loads) *peerwire.State {
	sum := m.Gateway.CrashSum(now)
	recent, completed := m.Gateway.RecentCrashes(now, maxStateCrashes)
	m.mu.Lock()
	collector, _ := m.peers.OtherCollector(now)
	missing := m.missingCrashes(now, collector.VM, sum)
	speedsAreDue := speedsDue(now, &m.stateSpeedsAt)
	m.mu.Unlock()
	state := &peerwire.State{
		SentAt:      now.UnixNano(),
		Store:       storeReachable,
		Next:        uint64(m.directoryTopic.Position()),
		Loads:       encodeLoads(loads),
		Crashes:     encodeCrashes(append(recent, missing...)),
		Completions: encodeCompletions(completed),
		Uses:        encodeRetryUsage(m.Gateway.RetryUsage(now)),
		CrashSum:    sum,
		StoreEra:    uint64(m.directoryTopic.Era()),
		RateLimits:  encodeRates(now, m.Gateway.OwnRates(now)),
		Notices:     encodeNotices(now, m.Gateway.HeardNotices(now)),
		WarmUpRates: encodeRates(now, m.Gateway.OwnWarmUpRates(now)),
		Promises:    encodePromises(now, m.Gateway.RecentPromises(now, maxStatePromises)),
	}
	if speedsAreDue {
		state.Speeds, state.LoadLevels = encodeSpeeds(m.Gateway.OwnSpeeds(now)), encodeLoadLevels(m.Gateway.OwnLoadLevels(now))
	}
	m.mu.Lock()
	m.addStartsToState(now, collector.VM, state)
	m.mu.Unlock()
	return state
}

// missingCrashes returns crashes that a peer may lack, as its checksum differs from
// sum, this gateway's own. It returns none if the peer is unknown or was sent some a
// moment ago. Called with mu held.
func (m *Messenger) missingCrashes(now time.Time, peer currantwood.VMID, sum uint64) []crashkeeper.AgedCrash {
	after, due := m.peers.CrashesDue(now, peer, sum)
	if !due {
		return nil
	}
	reports, last := m.Gateway.RecurrentCrashes(now, after, maxMissingCrashes)
	m.peers.MarkCrashesSent(now, peer, last)
	return reports
}

// receiveState stores a peer's state and answers with a referral if a third
// gateway is the collector.
func (m *Messenger) receiveState(now time.Time, from peerkeeper.Peer, process uint64, s *peerwire.State) {
	m.Gateway.RecordCrashes(now, from.VM, decodeCrashes(s.GetCrashes()), decodeCompletions(s.GetCompletions()))
	m.mu.Lock()
	m.peers.ApplyState(now, from, peerkeeper.State{
		SentAt:         s.GetSentAt(),
		StoreReachable: s.GetStore(),
		NextOffset:     currantwood.Offset(s.GetNext()),
		Loads:          decodeLoads(s.GetLoads()),
		RetryUsage:     decodeRetryUsage(s.GetUses()),
		CrashSum:       s.GetCrashSum(),
		Process:        process,
		Rates:          decodeRates(now, s.GetRateLimits()),
		WarmUpRates:    decodeRates(now, s.GetWarmUpRates()),
		Era:            currantwood.StoreEra(s.GetStoreEra()),
	})
	collector, known := m.peers.OtherCollector(now)
	m.mu.Unlock()
	m.receiveStateStarts(now, from.VM, process, s)
	m.Gateway.LearnNotices(now, from.VM, decodeNotices(now, s.GetNotices()))
	m.Gateway.LearnPromises(now, decodePromises(now, s.GetPromises()))
	if len(s.GetSpeeds()) > 0 {
		m.Gateway.LearnSpeeds(now, from.VM, decodeSpeeds(s.GetSpeeds()))
	}
	if len(s.GetLoadLevels()) > 0 {
		m.Gateway.LearnLoadLevels(now, from.VM, decodeLoadLevels(s.GetLoadLevels()))
	}
	if known && collector.VM != from.VM {
		m.send(from.Address, &peerwire.Datagram{Body: &peerwire.Datagram_Referral{
			Referral: &peerwire.Referral{Vm: string(collector.VM), Address: collector.Address, Strength: collector.Capacity, Established: collector.Established},
		}})
	}
}
