package peerkeeper

import (
	"time"

	"github.com/currantwood/currantwood"
)

// crashSyncInterval is the shortest time between two sets of crashes that are sent
// to a gateway that may lack them.
const crashSyncInterval = 250 * time.Millisecond

// SetCrashSum sets the checksum of the crashes that a gateway knows, from its
// digest.
func (k *Keeper) SetCrashSum(id currantwood.VMID, sum uint64) {
	if entry := k.peers[id]; entry != nil {
		entry.state.CrashSum = sum
	}
}

// CrashesDue reports whether a gateway may lack crashes that this one knows and has
// to be sent some now. sum is the checksum of those that this one knows. after is
// the last suspect whose crashes were sent to it.
func (k *Keeper) CrashesDue(now time.Time, id currantwood.VMID, sum uint64) (after currantwood.Suspect, due bool) {
	entry := k.peers[id]
	if entry == nil || sum == 0 || entry.state.CrashSum == sum || now.Sub(entry.crashesSentAt) < crashSyncInterval {
		return currantwood.Suspect{}, false
	}
	return entry.lastCrashSent, true
}

// MarkCrashesSent notes that the crashes of suspects up to last were sent to a gateway.
func (k *Keeper) MarkCrashesSent(now time.Time, id currantwood.VMID, last currantwood.Suspect) {
	if entry := k.peers[id]; entry != nil {
		entry.crashesSentAt, entry.lastCrashSent = now, last
	}
}
