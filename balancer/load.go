package balancer

import (
	"time"

	"github.com/currantwood/currantwood"
)

// Load is the load of the requests in flight at an upstream.
type Load struct {
	Requests int
	// MemoryTokens is the number of tokens whose key-value cache the requests need
	// by their end.
	MemoryTokens currantwood.TokenCount
	// PrefillTokens is the number of prompt tokens of the requests whose first
	// event has not arrived yet; a moved run counts a fixed number instead.
	PrefillTokens currantwood.TokenCount
}

// Loads holds the load of each upstream.
type Loads map[currantwood.UpstreamID]Load

// Add adds o to l.
func (l *Load) Add(o Load) {
	l.Requests += o.Requests
	l.MemoryTokens += o.MemoryTokens
	l.PrefillTokens += o.PrefillTokens
}

// Subtract lowers l by o. No field falls below 0.
func (l *Load) Subtract(o Load) {
	l.Requests = max(0, l.Requests-o.Requests)
	l.MemoryTokens = max(0, l.MemoryTokens-o.MemoryTokens)
	l.PrefillTokens = max(0, l.PrefillTokens-o.PrefillTokens)
}

// SetPeerLoads replaces the loads of a peer. They count for peerLoadMaxAge.
func (b *Balancer) SetPeerLoads(now time.Time, peer currantwood.VMID, loads Loads) {
	b.forgetRooms()
	b.peers[peer] = peerLoad{at: now, loads: loads}
}

// OwnLoads returns what this gateway has in flight at each upstream, to be sent to
// its peers.
func (b *Balancer) OwnLoads() Loads {
	loads := make(Loads, len(b.upstreams))
	for id, u := range b.upstreams {
		if u.own.Requests > 0 {
			loads[id] = u.own
		}
	}
	return loads
}

// TotalLoad returns what this gateway and its peers have in flight at an
// upstream.
func (b *Balancer) TotalLoad(now time.Time, id currantwood.UpstreamID) Load {
	var total Load
	if u := b.upstreams[id]; u != nil {
		total = u.own
	}
	for _, p := range b.peers {
		if now.Sub(p.at) < peerLoadMaxAge {
			total.Add(p.loads[id])
		}
	}
	return total
}
