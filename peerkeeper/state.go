package peerkeeper

import (
	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/balancer"
	"github.com/currantwood/currantwood/budgeter"
	"github.com/currantwood/currantwood/ratekeeper"
)

// State is what a gateway reports about itself.
type State struct {
	// SentAt is the sender's clock in nanoseconds. Only the sender can
	// interpret it.
	SentAt int64
	// StoreReachable reports whether the sender's latest own reads of the store
	// succeeded, however long ago. A sender for which the collector reads makes
	// none of its own unless a read is requested.
	StoreReachable bool
	// NextOffset is the offset up to which the sender knows the directory; 0
	// if it doesn't know it.
	NextOffset currantwood.Offset
	// Era is the era of the store to which NextOffset belongs.
	Era   currantwood.StoreEra
	Loads balancer.Loads
	// RetryUsage is what the sender sent to each group within the retry window.
	RetryUsage budgeter.GroupUsage
	// Rates is what the sender has heard itself of the rates that upstreams accept, with
	// its demand.
	Rates ratekeeper.Rates
	// WarmUpRates is the sender's demand at cold upstreams and what it has sent them.
	WarmUpRates ratekeeper.Rates
	// CrashSum is a checksum of the crashes that all gateways must know.
	CrashSum uint64
	// Process identifies the sender's process among those of its VM; 0 if unknown.
	Process uint64
}

// Peer is a gateway and its address.
type Peer struct {
	VM      currantwood.VMID
	Address string
	// Capacity is the capacity of its VM, in thousandths of a core. The higher
	// it is, the higher the gateway ranks as the collector.
	Capacity uint32
	// Established is whether its process knows all that its VM has spent of the retry
	// budgets within their window.
	Established bool
}

// precedes reports whether p takes precedence over o as the collector.
func (p Peer) precedes(o Peer) bool {
	return compareRank(p, o) < 0
}
