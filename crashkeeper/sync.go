package crashkeeper

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/currantwood/currantwood"
)

// Sum returns a checksum of the crashes of all suspects: two keepers that hold the
// same have the same sum. It is 0 if there are none.
func (k *Keeper) Sum(now time.Time) uint64 {
	sum := uint64(0)
	for f, r := range k.requests {
		if r.isSuspect(now) {
			sum ^= r.sum(now, f)
		}
	}
	return sum
}

// SuspectReports returns up to limit crashes of suspects, whole requests at a time
// and at least one request, in order of fingerprint. It starts after the fingerprint
// after, continues from the lowest once it has reached the highest, and returns the
// last fingerprint included.
func (k *Keeper) SuspectReports(now time.Time, after currantwood.Fingerprint, limit int) ([]AgedCrash, currantwood.Fingerprint) {
	suspects := k.suspects(now)
	first, _ := slices.BinarySearch(suspects, after+1)
	var reports []AgedCrash
	for i := range suspects {
		f := suspects[(first+i)%len(suspects)]
		more := k.requests[f].reports(now, f)
		if len(reports) > 0 && len(reports)+len(more) > limit {
			break
		}
		reports = append(reports, more...)
		after = f
	}
	return reports, after
}

// suspects returns the fingerprints of all suspects in ascending order.
func (k *Keeper) suspects(now time.Time) []currantwood.Fingerprint {
	var suspects []currantwood.Fingerprint
	for f, r := range k.requests {
		if r.isSuspect(now) {
			suspects = append(suspects, f)
		}
	}
	slices.Sort(suspects)
	return suspects
}

// isSuspect reports whether the request has suspectCrashes that haven't expired.
// Those from before a completion are included: the completion is known only here.
func (r *request) isSuspect(now time.Time) bool {
	if len(r.crashes) < suspectCrashes {
		return false
	}
	r.deleteExpired(now)
	return len(r.crashes) >= suspectCrashes
}

// reports returns the crashes of the request with the fingerprint f.
func (r *request) reports(now time.Time, f currantwood.Fingerprint) []AgedCrash {
	reports := make([]AgedCrash, 0, len(r.crashes))
	for key, times := range r.crashes {
		if now.Sub(times.at) <= crashLifetime {
			reports = append(reports, newAgedCrash(now, f, key, times))
		}
	}
	return reports
}

// sum returns a checksum of the crashes of the request with the fingerprint f,
// whatever their order.
func (r *request) sum(now time.Time, f currantwood.Fingerprint) uint64 {
	sum := uint64(0)
	var buffer []byte
	for key, times := range r.crashes {
		if now.Sub(times.at) > crashLifetime {
			continue
		}
		buffer = binary.BigEndian.AppendUint64(buffer[:0], uint64(f))
		buffer = binary.BigEndian.AppendUint64(buffer, uint64(key.incarnation))
		buffer = binary.BigEndian.AppendUint32(buffer, key.unseenRestarts)
		buffer = append(buffer, key.upstream...)
		sum ^= xxhash.Sum64(buffer)
	}
	return sum
}
