// Package quarantiner identifies requests that crash every upstream that runs
// them, from the crashes that sides report.
//
// All requests in flight at a crash become suspects. A request is quarantined if
// two crashes have it, and no other uncleared request, in common. If they have
// several in common, it isn't known which of them caused the crashes, and none is
// refused: package isolator runs suspects apart from each other, so that only one of
// them is in flight at the next crash. A request that runs to its end is cleared of
// the crashes before that.
//
// The result doesn't depend on the order in which crashes are reported, so that all
// processes with the same reports come to the same result, as long as none of them
// exceeds Options.MaxCrashes. A completion counts only for a request that is a
// suspect when the completion is recorded.
package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/currantwood/currantwood"
)

// Defaults of Options.
const (
	DefaultBaseQuarantine = time.Hour
	DefaultRetention      = 24 * time.Hour
	DefaultMaxCrashes     = 1000
)

// maxFingerprintsPerCrash bounds the fingerprints that are kept of one crash. Those
// beyond it, in the order of the report, are dropped.
const maxFingerprintsPerCrash = 4096

// Options configures a Quarantiner. A zero field takes its default.
type Options struct {
	// BaseQuarantine is the length of a request's quarantine after two crashes,
	// counted from the last. It doubles with each further crash.
	BaseQuarantine time.Duration
	// Retention is the age at which crashes are deleted. It also bounds the
	// doubling of quarantines.
	Retention time.Duration
	// MaxCrashes bounds the number of crashes that are kept. Beyond it the
	// oldest is deleted.
	MaxCrashes int
}

// Crash is the crash of an upstream, as reported by its side.
type Crash struct {
	// ID is drawn at random by the side, so that a repeated report counts once.
	ID       string
	Upstream currantwood.UpstreamID
	// At is the time of the crash by this process's clock.
	At time.Time
	// InFlight holds the requests that were running, each once.
	InFlight []currantwood.Fingerprint
}

//go:generate go tool stringer -linecomment -type=Status

// Status is the quarantine status of a request.
type Status uint8

// The quarantine statuses. A Clear request was in flight at no crash, or has been
// cleared; a Suspect was in flight at one at least; a Quarantined one must be
// refused.
const (
	Clear       Status = iota + 1 // clear
	Suspect                       // suspect
	Quarantined                   // quarantined
)

// Quarantiner holds the reported crashes. It is not safe for concurrent use.
type Quarantiner struct {
	options Options
	// crashes holds the crashes by ID.
	crashes map[string]*Crash
	// crashIDs holds the IDs of the crashes at which a request was in flight,
	// without those of which it was cleared. All are in crashes, and no list is
	// empty.
	crashIDs map[currantwood.Fingerprint][]string
	// clearedAt is the end of the run that last cleared a request. It is kept for
	// Options.Retention, since reports of earlier crashes may still arrive.
	clearedAt map[currantwood.Fingerprint]time.Time
}

// New returns a quarantiner without crashes.
func New(options Options) *Quarantiner {
	options.BaseQuarantine = cmp.Or(options.BaseQuarantine, DefaultBaseQuarantine)
	options.Retention = cmp.Or(options.Retention, DefaultRetention)
	options.MaxCrashes = cmp.Or(options.MaxCrashes, DefaultMaxCrashes)
	return &Quarantiner{
		options:   options,
		crashes:   make(map[string]*Crash),
		crashIDs:  make(map[currantwood.Fingerprint][]string),
		clearedAt: make(map[currantwood.Fingerprint]time.Time),
	}
}

// RecordCrash records a crash. It reports whether the crash is new, so that the
// caller has to pass it on to the other entries.
func (q *Quarantiner) RecordCrash(now time.Time, crash Crash) bool {
	q.expire(now)
	if q.crashes[crash.ID] != nil || now.Sub(crash.At) >= q.options.Retention {
		return false
	}
	crash.InFlight = crash.InFlight[:min(len(crash.InFlight), maxFingerprintsPerCrash)]
	if len(q.crashes) >= q.options.MaxCrashes {
		q.deleteCrash(q.oldestCrash())
	}
	q.crashes[crash.ID] = &crash
	for _, fingerprint := range crash.InFlight {
		if !crash.At.After(q.clearedAt[fingerprint]) {
			continue
		}
		q.crashIDs[fingerprint] = append(q.crashIDs[fingerprint], crash.ID)
	}
	return true
}

// RecordCompletion records that a request ran to its end at the time at. It reports
// whether the completion clears the request of a crash, so that the caller has to
// pass it on to the other entries. A quarantined request isn't cleared: it is refused
// until its quarantine ends, so a run that ends now was started before the
// quarantine.
func (q *Quarantiner) RecordCompletion(now, at time.Time, fingerprint currantwood.Fingerprint) bool {
	status, _ := q.Status(now, fingerprint)
	if status != Suspect {
		return false
	}
	before := q.crashIDs[fingerprint]
	left := slices.DeleteFunc(slices.Clone(before), func(id string) bool {
		return !q.crashes[id].At.After(at)
	})
	if len(left) == len(before) {
		return false
	}
	q.clearedAt[fingerprint] = at
	q.setCrashIDs(fingerprint, left)
	return true
}

// Status returns the quarantine status of a request and, if it is Quarantined,
// how long the quarantine still lasts; else 0.
func (q *Quarantiner) Status(now time.Time, fingerprint currantwood.Fingerprint) (Status, time.Duration) {
	q.expire(now)
	ids := q.crashIDs[fingerprint]
	if len(ids) == 0 {
		return Clear, 0
	}
	if !q.isCulprit(fingerprint, ids) {
		return Suspect, 0
	}
	last := time.Time{}
	for _, id := range ids {
		if at := q.crashes[id].At; at.After(last) {
			last = at
		}
	}
	left := last.Add(q.quarantineLength(len(ids))).Sub(now)
	if left <= 0 {
		return Suspect, 0
	}
	return Quarantined, left
}

// Crashes returns all crashes that are kept, oldest first, for a process that has
// none yet.
func (q *Quarantiner) Crashes(now time.Time) []Crash {
	q.expire(now)
	crashes := make([]Crash, 0, len(q.crashes))
	for _, id := range slices.Sorted(maps.Keys(q.crashes)) {
		crashes = append(crashes, *q.crashes[id])
	}
	slices.SortStableFunc(crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
	return crashes
}

// isCulprit reports whether two of the request's crashes, whose IDs are ids, have no
// other request in common that isn't cleared of them.
func (q *Quarantiner) isCulprit(fingerprint currantwood.Fingerprint, ids []string) bool {
	for i, first := range ids {
		for _, second := range ids[i+1:] {
			if !q.haveOtherInCommon(first, second, fingerprint) {
				return true
			}
		}
	}
	return false
}

// haveOtherInCommon reports whether a request other than except was in flight at
// both crashes and isn't cleared of them.
func (q *Quarantiner) haveOtherInCommon(first, second string, except currantwood.Fingerprint) bool {
	for _, fingerprint := range q.crashes[first].InFlight {
		if fingerprint == except {
			continue
		}
		ids := q.crashIDs[fingerprint]
		if slices.Contains(ids, first) && slices.Contains(ids, second) {
			return true
		}
	}
	return false
}

// quarantineLength returns the length of a quarantine after a number of crashes,
// which is 2 or more.
func (q *Quarantiner) quarantineLength(crashes int) time.Duration {
	length := q.options.BaseQuarantine
	for range crashes - 2 {
		length = min(2*length, q.options.Retention)
	}
	return length
}

// expire deletes what is as old as Options.Retention.
func (q *Quarantiner) expire(now time.Time) {
	for id, crash := range q.crashes {
		if now.Sub(crash.At) >= q.options.Retention {
			q.deleteCrash(id)
		}
	}
	for fingerprint, at := range q.clearedAt {
		if now.Sub(at) >= q.options.Retention {
			delete(q.clearedAt, fingerprint)
		}
	}
}

// deleteCrash deletes a crash, which must exist, and its ID from crashIDs.
func (q *Quarantiner) deleteCrash(id string) {
	crash := q.crashes[id]
	for _, fingerprint := range crash.InFlight {
		left := slices.DeleteFunc(slices.Clone(q.crashIDs[fingerprint]), func(other string) bool { return other == id })
		q.setCrashIDs(fingerprint, left)
	}
	delete(q.crashes, id)
}

// setCrashIDs sets the crashes of a request, and deletes the request if there are
// none.
func (q *Quarantiner) setCrashIDs(fingerprint currantwood.Fingerprint, ids []string) {
	if len(ids) == 0 {
		delete(q.crashIDs, fingerprint)
		return
	}
	q.crashIDs[fingerprint] = ids
}

// oldestCrash returns the ID of the oldest crash. There must be one.
func (q *Quarantiner) oldestCrash() string {
	ids := slices.Sorted(maps.Keys(q.crashes))
	return slices.MinFunc(ids, func(a, b string) int { return q.crashes[a].At.Compare(q.crashes[b].At) })
}
