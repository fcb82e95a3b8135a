package crashkeeper

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/currantwood/currantwood"
)

// Sum returns a checksum of the crashes of all recurrent suspects: two keepers that
// hold the same have the same sum. It is 0 if there are none.
func (k *Keeper) Sum(now time.Time) uint64 {
	sum := uint64(0)
	for s, h := range k.recurrent {
		h.deleteExpired(now)
		if h.isRecurrent(now) {
			sum ^= h.sum(now, s)
		}
	}
	return sum
}

// RecurrentCrashes returns up to limit crashes of recurrent suspects, all of a suspect
// at a time and those of at least one, in the order of suspects. It starts after the
// suspect after, continues from the lowest once it has reached the highest, and
// returns the last suspect included. Peers are then told of completions before these
// crashes, which they may lack, too.
func (k *Keeper) RecurrentCrashes(now time.Time, after currantwood.Suspect, limit int) ([]AgedCrash, currantwood.Suspect) {
	recurrent := k.sortedRecurrent(now)
	first, found := slices.BinarySearchFunc(recurrent, after, currantwood.Suspect.Compare)
	if found {
		first++
	}
	var crashes []AgedCrash
	for i := range recurrent {
		s := recurrent[(first+i)%len(recurrent)]
		more := k.histories[s].aged(now, s)
		if len(crashes) > 0 && len(crashes)+len(more) > limit {
			break
		}
		crashes = append(crashes, more...)
		k.histories[s].tell(now)
		after = s
	}
	return crashes, after
}

// sortedRecurrent returns all recurrent suspects in ascending order.
func (k *Keeper) sortedRecurrent(now time.Time) []currantwood.Suspect {
	var sorted []currantwood.Suspect
	for s, h := range k.recurrent {
		h.deleteExpired(now)
		if h.isRecurrent(now) {
			sorted = append(sorted, s)
		}
	}
	slices.SortFunc(sorted, currantwood.Suspect.Compare)
	return sorted
}

// isRecurrent reports whether recurrentCrashes count.
func (h *history) isRecurrent(now time.Time) bool { return h.count(now) >= recurrentCrashes }

// aged returns the crashes that count. The history is that of s.
func (h *history) aged(now time.Time, s currantwood.Suspect) []AgedCrash {
	crashes := make([]AgedCrash, 0, len(h.crashes))
	for key, times := range h.crashes {
		if h.counts(now, times.at) {
			crashes = append(crashes, newAgedCrash(now, s, key, times))
		}
	}
	return crashes
}

// sum returns a checksum of the crashes that count, whatever their order; 0 if none
// do. The history is that of s. The checksum of a request is as gateways that know no
// other kind compute it.
func (h *history) sum(now time.Time, s currantwood.Suspect) uint64 {
	sum := uint64(0)
	var buffer []byte
	for key, times := range h.crashes {
		if !h.counts(now, times.at) {
			continue
		}
		buffer = binary.BigEndian.AppendUint64(buffer[:0], uint64(s.Fingerprint))
		if s.Kind != currantwood.SuspectRequest {
			buffer = append(buffer, byte(s.Kind))
		}
		buffer = binary.BigEndian.AppendUint64(buffer, uint64(key.incarnation))
		buffer = binary.BigEndian.AppendUint32(buffer, key.unseenRestarts)
		buffer = append(buffer, key.upstream...)
		sum ^= xxhash.Sum64(buffer)
	}
	return sum
}
