package peermessenger

import (
	"time"

	"go.uber.org/zap"

	"github.com/currantwood/currantwood/readpacer"
)

const (
	// coverageTimeout is how long after an accepted digest this gateway relies on
	// the collector to read the directory. The digest must cover an offset range
	// that leaves no gap; the range may be empty.
	coverageTimeout = 700 * time.Millisecond
	// collectorSettleTime is how long a gateway is the collector before it counts as the
	// last one. Until then it may not have heard of a better one.
	collectorSettleTime = time.Second
)

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

// noteCollector tells the gateway whether it is the collector, and logs when it
// becomes it or stops being it. Called with mu held.
func (m *Messenger) noteCollector(now time.Time, storeReachable bool) {
	isCollector := m.peers.IsCollector(now, storeReachable)
	m.Gateway.SetCollects(isCollector)
	m.noteOtherCollector(now)
	isInterim := m.peers.IsInterimCollector(now, storeReachable)
	if addsUp := isCollector || isInterim; addsUp && !m.wasCollector && !m.wasInterim {
		m.peers.InheritUsage(now)
	}
	if isInterim != m.wasInterim {
		m.wasInterim = isInterim
		m.Logger.Info("this gateway began or stopped adding up reports while no gateway reaches the store", zap.Bool("adds-up", isInterim), zap.Int("gateways", m.peers.CountGateways(now)))
	}
	if isCollector != m.wasCollector {
		m.wasCollector, m.roleSince = isCollector, now
		m.Logger.Info("this gateway became the collector or stopped being it", zap.Bool("collects", isCollector), zap.Bool("store", storeReachable), zap.Int("gateways", m.peers.CountGateways(now)))
	}
}

// noteOtherCollector notes whether another gateway is the collector. If one is for the
// first time after none was, this gateway may have missed what it read meanwhile and
// reads once itself, without the pause after failed reads. Called with mu held.
func (m *Messenger) noteOtherCollector(now time.Time) {
	_, covered := m.peers.OtherCollector(now)
	if covered && !m.wasCovered && !m.storeReachable() {
		m.directoryTopic.Kick()
	}
	if covered != m.wasCovered {
		m.wasCovered, m.coveredSince = covered, now
	}
	if covered && now.Sub(m.coveredSince) >= collectorSettleTime {
		m.collectedLast = false
	} else if m.wasCollector && now.Sub(m.roleSince) >= collectorSettleTime {
		m.collectedLast = true
	}
}

// Collects reports whether this gateway is the collector. It is false while this gateway
// doesn't reach the store.
func (m *Messenger) Collects(now time.Time) bool {
	storeReachable := m.storeReachable()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peers.IsCollector(now, storeReachable)
}

// Fleet returns what is known of all gateways.
func (m *Messenger) Fleet(now time.Time) readpacer.Fleet {
	m.mu.Lock()
	defer m.mu.Unlock()
	return readpacer.Fleet{Gateways: m.peers.FleetSize(now), Rank: m.peers.Rank(), Collected: m.collectedLast}
}

// GatewaysHeard returns the number of gateways, this one included, that exchange their state:
// as many as this one hears from as the collector, else as many as the collector does.
func (m *Messenger) GatewaysHeard(now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, known := m.peers.OtherCollector(now); known {
		return m.peers.DigestGateways()
	}
	return m.peers.CountGateways(now)
}

// storeReachable reports whether this gateway's latest own reads of both topics
// succeeded, however long ago.
func (m *Messenger) storeReachable() bool {
	return m.directoryTopic.Reachable() && m.configurationTopic.Reachable()
}
