package crashkeeper

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/currantwood/currantwood"
)

// Sum returns a checksum of the crashes of all recurrent requests: two keepers that hold the
// same have the same sum. It is 0 if there are none.
func (k *Keeper) Sum(now time.Time) uint64 {
	sum := uint64(0)
	for f, r := range k.recurrent {
		r.deleteExpired(now)
		if r.isRecurrent() {
			sum ^= r.sum(f)
		}
	}
	return sum
}

// RecurrentCrashes returns up to limit crashes of recurrent requests, whole requests at a time
// and at least one request, in order of fingerprint. It starts after the fingerprint
// after, continues from the lowest once it has reached the highest, and returns the
// last fingerprint included.
func (k *Keeper) RecurrentCrashes(now time.Time, after currantwood.Fingerprint, limit int) ([]AgedCrash, currantwood.Fingerprint) {
	recurrent := k.sortedRecurrent(now)
	first, _ := slices.BinarySearch(recurrent, after+1)
	var crashes []AgedCrash
	for i := range recurrent {
		f := recurrent[(first+i)%len(recurrent)]
		more := k.requests[f].aged(now, f)
		if len(crashes) > 0 && len(crashes)+len(more) > limit {
			break
		}
		crashes = append(crashes, more...)
		after = f
	}
	return crashes, after
}

// sortedRecurrent returns the fingerprints of all recurrent requests in ascending order.
func (k *Keeper) sortedRecurrent(now time.Time) []currantwood.Fingerprint {
	var sorted []currantwood.Fingerprint
	for f, r := range k.recurrent {
		r.deleteExpired(now)
		if r.isRecurrent() {
			sorted = append(sorted, f)
		}
	}
	slices.Sort(sorted)
	return sorted
}

// isRecurrent reports whether the request has recurrentCrashes. Those from before a
// completion are included: the completion is known only here.
func (r *request) isRecurrent() bool { return len(r.crashes) >= recurrentCrashes }

// aged returns the crashes of the request with the fingerprint f.
func (r *request) aged(now time.Time, f currantwood.Fingerprint) []AgedCrash {
	crashes := make([]AgedCrash, 0, len(r.crashes))
	for key, times := range r.crashes {
		crashes = append(crashes, newAgedCrash(now, f, key, times))
	}
	return crashes
}

// sum returns a checksum of the crashes of the request with the fingerprint f,
// whatever their order; 0 if there are none.
func (r *request) sum(f currantwood.Fingerprint) uint64 {
	sum := uint64(0)
	var buffer []byte
	for key := range r.crashes {
		buffer = binary.BigEndian.AppendUint64(buffer[:0], uint64(f))
		buffer = binary.BigEndian.AppendUint64(buffer, uint64(key.incarnation))
		buffer = binary.BigEndian.AppendUint32(buffer, key.unseenRestarts)
		buffer = append(buffer, key.upstream...)
		sum ^= xxhash.Sum64(buffer)
	}
	return sum
}
