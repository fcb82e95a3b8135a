package crashkeeper

import (
	"time"

	"github.com/currantwood/currantwood"
)

// Unsaved is a suspect whose crashes have to be saved.
type Unsaved struct {
	Suspect currantwood.Suspect
	// Crashes are all those of the suspect. If there are none, what was saved has to
	// be deleted.
	Crashes []AgedCrash
	// sum is the checksum of Crashes.
	sum uint64
}

// Unsaved returns up to limit suspects whose crashes have to be saved: recurrent ones
// of which others are saved, and those with saved crashes none of which counts.
func (k *Keeper) Unsaved(now time.Time, limit int) []Unsaved {
	var unsaved []Unsaved
	for s, h := range k.recurrent {
		if len(unsaved) >= limit {
			break
		}
		h.deleteExpired(now)
		if !h.isRecurrent(now) && h.savedSum == 0 {
			k.forgetRecurrent(s)
			continue
		}
		if sum := h.sum(now, s); sum != h.savedSum {
			unsaved = append(unsaved, Unsaved{Suspect: s, Crashes: h.aged(now, s), sum: sum})
		}
	}
	return unsaved
}

// MarkSaved notes that crashes returned by Unsaved were saved.
func (k *Keeper) MarkSaved(saved []Unsaved) {
	for _, u := range saved {
		if h := k.recurrent[u.Suspect]; h != nil {
			h.savedSum = u.sum
		}
	}
}

// ForgetSaved notes that nothing is saved for certain: the store has come back from an
// older copy. All recurrent suspects are saved again.
func (k *Keeper) ForgetSaved() {
	for _, h := range k.recurrent {
		h.savedSum = 0
	}
}

// RecordSaved records the saved crashes of a suspect, which may have expired, and
// returns those that were not known.
func (k *Keeper) RecordSaved(now time.Time, s currantwood.Suspect, crashes []AgedCrash) []AgedCrash {
	saved := &history{crashes: make(map[crashKey]crashTimes)}
	var learned []AgedCrash
	for _, c := range crashes {
		saved.crashes[c.key()] = crashTimes{at: now}
		if k.Record(now, c).New {
			learned = append(learned, c)
		}
	}
	h := k.histories[s]
	if h == nil && len(crashes) > 0 {
		// All have expired: kept until they are deleted from the store.
		h = k.historyOf(now, s)
	}
	if h != nil {
		h.savedSum = saved.sum(now, s)
		k.recurrent[s] = h
	}
	return learned
}
