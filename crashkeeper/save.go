package crashkeeper

import (
	"time"

	"github.com/currantwood/currantwood"
)

// Unsaved is a request whose crashes have to be saved.
type Unsaved struct {
	Fingerprint currantwood.Fingerprint
	// Crashes are all those of the request. If there are none, what was saved has to
	// be deleted.
	Crashes []AgedCrash
	// sum is the checksum of Crashes.
	sum uint64
}

// Unsaved returns up to limit requests whose crashes have to be saved: recurrent ones of
// which others are saved, and those with saved crashes that have all expired.
func (k *Keeper) Unsaved(now time.Time, limit int) []Unsaved {
	var unsaved []Unsaved
	for f, r := range k.recurrent {
		if len(unsaved) >= limit {
			break
		}
		r.deleteExpired(now)
		if !r.isRecurrent() && r.savedSum == 0 {
			k.forgetRecurrent(f)
			continue
		}
		if sum := r.sum(f); sum != r.savedSum {
			unsaved = append(unsaved, Unsaved{Fingerprint: f, Crashes: r.aged(now, f), sum: sum})
		}
	}
	return unsaved
}

// MarkSaved notes that crashes returned by Unsaved were saved.
func (k *Keeper) MarkSaved(saved []Unsaved) {
	for _, u := range saved {
		if r := k.recurrent[u.Fingerprint]; r != nil {
			r.savedSum = u.sum
		}
	}
}

// ForgetSaved notes that nothing is saved for certain: the store has come back from an
// older copy. All recurrent requests are saved again.
func (k *Keeper) ForgetSaved() {
	for _, r := range k.recurrent {
		r.savedSum = 0
	}
}

// RecordSaved records the saved crashes of a request, which may have expired, and
// returns those that were not known.
func (k *Keeper) RecordSaved(now time.Time, f currantwood.Fingerprint, crashes []AgedCrash) []AgedCrash {
	saved := &request{crashes: make(map[crashKey]crashTimes)}
	var learned []AgedCrash
	for _, c := range crashes {
		saved.crashes[c.key()] = crashTimes{}
		if k.Record(now, c).New {
			learned = append(learned, c)
		}
	}
	r := k.requests[f]
	if r == nil && len(crashes) > 0 {
		// All have expired: kept until they are deleted from the store.
		r = &request{crashes: make(map[crashKey]crashTimes)}
		k.requests[f] = r
	}
	if r != nil {
		r.savedSum = saved.sum(f)
		k.recurrent[f] = r
	}
	return learned
}
