package crashkeeper

import (
	"time"

	"github.com/currantwood/currantwood"
)

// SuspectRecord is what the store keeps of a suspect.
type SuspectRecord struct {
	Suspect currantwood.Suspect
	// Crashes are all those that count.
	Crashes []AgedCrash
	// Completed is whether a completion is known, and CompletedAge how long ago the
	// last one was; it is from before all Crashes.
	Completed    bool
	CompletedAge time.Duration
}

// Unsaved is a suspect whose record has to be saved. Without crashes, what was saved
// has to be deleted.
type Unsaved struct {
	SuspectRecord
	// sum is the checksum of Crashes.
	sum uint64
}

// SaveSingles makes Unsaved return suspects with one crash, too. This process ends, and
// nobody else may know of them.
func (k *Keeper) SaveSingles() {
	k.savesSingles = true
	for s, h := range k.histories {
		k.recurrent[s] = h
	}
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
		if !h.isRecurrent(now) && h.savedSum == 0 && !(k.savesSingles && h.count(now) > 0) {
			k.forgetRecurrent(s)
			continue
		}
		if sum := h.sum(now, s); sum != h.savedSum {
			record := SuspectRecord{Suspect: s, Crashes: h.aged(now, s), Completed: !h.completedAt.IsZero(), CompletedAge: now.Sub(h.completedAt)}
			unsaved = append(unsaved, Unsaved{SuspectRecord: record, sum: sum})
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

// RecordSaved records what the store keeps of a suspect, whose crashes may have
// expired, and returns the crashes that were not known.
func (k *Keeper) RecordSaved(now time.Time, record SuspectRecord) []AgedCrash {
	s := record.Suspect
	if record.Completed {
		k.ApplyCompletion(now, AgedCompletion{Suspect: s, Age: record.CompletedAge})
	}
	saved := &history{crashes: make(map[crashKey]crashTimes)}
	var learned []AgedCrash
	for _, c := range record.Crashes {
		saved.crashes[c.key()] = crashTimes{at: now}
		if k.Record(now, c).New {
			learned = append(learned, c)
		}
	}
	h := k.histories[s]
	if h == nil && len(record.Crashes) > 0 {
		// All have expired: kept until they are deleted from the store.
		h = k.historyOf(now, s)
	}
	if h != nil {
		h.savedSum = saved.sum(now, s)
		k.recurrent[s] = h
	}
	return learned
}
