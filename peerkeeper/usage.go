package peerkeeper

import (
	"maps"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/budgeter"
)

// formerUsage is what a process reported last before it ended.
type formerUsage struct {
	usage budgeter.GroupUsage
	// lastSeen is when the process was last heard from.
	lastSeen time.Time
}

// CountEstablished returns how many of the gateways that CountGateways counts are
// established.
func (k *Keeper) CountEstablished(now time.Time) int {
	count := 0
	if k.self.Established {
		count++
	}
	for _, entry := range k.peers {
		if now.Sub(entry.lastSeen) <= peerTimeout && entry.Established {
			count++
		}
	}
	return count
}

// SetEstablished sets whether this gateway is established.
func (k *Keeper) SetEstablished(established bool) { k.self.Established = established }

// SetDigestUsage sets the retry usage of all other gateways that an accepted digest
// reported.
func (k *Keeper) SetDigestUsage(usage budgeter.GroupUsage) { k.digestUsage = usage }

// InheritUsage notes that this gateway adds up reports from now on, as the collector or
// the interim collector. What the one before it knew of gateways that this one doesn't hear
// from, itself included, is in its last digest alone. What was inherited before stays if
// no digest was accepted since.
func (k *Keeper) InheritUsage(now time.Time) {
	if k.digestUsage == nil {
		return
	}
	k.inherited, k.inheritedAt, k.inheritedSettled = maps.Clone(k.digestUsage), now, false
	k.digestUsage = nil
}

// inheritedUsage returns the retries of gateways that only the last collector knew.
// Until all gateways have had the time to report, that is all it knew; then it is
// what their reports don't account for. It is empty once the window has passed.
func (k *Keeper) inheritedUsage(now time.Time, window time.Duration) budgeter.GroupUsage {
	age := now.Sub(k.inheritedAt)
	if age > window {
		k.inherited = nil
	}
	if k.inherited == nil || k.inheritedSettled || age <= peerTimeout {
		return k.inherited
	}
	k.inheritedSettled = true
	for id, u := range k.inherited {
		for _, entry := range k.peers {
			u.Retries -= entry.state.RetryUsage[id].Retries
		}
		u.Retries = max(0, u.Retries)
		k.inherited[id] = u
	}
	return k.inherited
}

// TotalUsage returns the sum of own and the retry usage of all other gateways
// but except. The retries of a gateway that is no longer heard from count until
// the retry window has passed, its requests only until peerTimeout: requests
// raise the retry budget, and retries use it up. So do those of former processes.
func (k *Keeper) TotalUsage(now time.Time, window time.Duration, except currantwood.VMID, own budgeter.GroupUsage) budgeter.GroupUsage {
	sum := make(budgeter.GroupUsage, len(own))
	add := func(usage budgeter.GroupUsage, requests bool) {
		for id, u := range usage {
			total := sum[id]
			total.Retries += u.Retries
			if requests {
				total.Requests += u.Requests
			}
			sum[id] = total
		}
	}
	add(own, true)
	for id, entry := range k.peers {
		if id != except && now.Sub(entry.lastSeen) <= window {
			add(entry.state.RetryUsage, now.Sub(entry.lastSeen) <= peerTimeout)
		}
		for _, former := range entry.former {
			if now.Sub(former.lastSeen) <= window {
				add(former.usage, false)
			}
		}
	}
	add(k.inheritedUsage(now, window), false)
	return sum
}
