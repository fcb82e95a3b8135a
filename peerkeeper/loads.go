package peerkeeper

import (
	"maps"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/balancer"
)

// TotalLoads returns the sum of own and the loads of all gateways heard from
// within peerTimeout.
func (k *Keeper) TotalLoads(now time.Time, own balancer.Loads) balancer.Loads {
	sum := maps.Clone(own)
	if sum == nil {
		sum = make(balancer.Loads)
	}
	for _, entry := range k.peers {
		if now.Sub(entry.lastSeen) > peerTimeout {
			continue
		}
		for id, load := range entry.state.Loads {
			total := sum[id]
			total.Add(load)
			sum[id] = total
		}
	}
	return sum
}

// LoadsExcept returns sum less the loads that the gateway id reported.
func (k *Keeper) LoadsExcept(sum balancer.Loads, id currantwood.VMID) balancer.Loads {
	entry := k.peers[id]
	if entry == nil {
		return sum
	}
	others := make(balancer.Loads, len(sum))
	for upstream, total := range sum {
		total.Subtract(entry.state.Loads[upstream])
		if total != (balancer.Load{}) {
			others[upstream] = total
		}
	}
	return others
}
