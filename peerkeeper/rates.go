package peerkeeper

import (
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/ratekeeper"
)

// TotalRates returns what own and all gateways heard from within peerTimeout know of the
// rates that upstreams accept, with the sums of their demand and recent requests.
func (k *Keeper) TotalRates(now time.Time, own ratekeeper.Rates) ratekeeper.Rates {
	return k.totalRates(now, own, func(s *State) ratekeeper.Rates { return s.Rates })
}

// TotalWarmUpRates is TotalRates for the rates of cold upstreams.
func (k *Keeper) TotalWarmUpRates(now time.Time, own ratekeeper.Rates) ratekeeper.Rates {
	return k.totalRates(now, own, func(s *State) ratekeeper.Rates { return s.WarmUpRates })
}

func (k *Keeper) totalRates(now time.Time, own ratekeeper.Rates, of func(s *State) ratekeeper.Rates) ratekeeper.Rates {
	sum := own
	for _, entry := range k.peers {
		if rates := of(&entry.state); now.Sub(entry.lastSeen) <= peerTimeout && len(rates) > 0 {
			sum = sum.Plus(rates)
		}
	}
	return sum
}

// RatesExcept returns sum less the demand and the recent requests of the gateway id.
func (k *Keeper) RatesExcept(sum ratekeeper.Rates, id currantwood.VMID) ratekeeper.Rates {
	return k.ratesExcept(sum, id, func(s *State) ratekeeper.Rates { return s.Rates })
}

// WarmUpRatesExcept is RatesExcept for the rates of cold upstreams.
func (k *Keeper) WarmUpRatesExcept(sum ratekeeper.Rates, id currantwood.VMID) ratekeeper.Rates {
	return k.ratesExcept(sum, id, func(s *State) ratekeeper.Rates { return s.WarmUpRates })
}

func (k *Keeper) ratesExcept(sum ratekeeper.Rates, id currantwood.VMID, of func(s *State) ratekeeper.Rates) ratekeeper.Rates {
	entry := k.peers[id]
	if entry == nil || len(sum) == 0 {
		return sum
	}
	return sum.Without(of(&entry.state))
}
