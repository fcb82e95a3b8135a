// Package quarantiner finds the request that crashes every upstream that runs
// it, from the crashes that sides report.
//
// A crash makes suspects of all requests that were in flight. The one that was
// also in flight at another crash is quarantined. Where several were at both,
// it is not known which one it is, and none is refused: suspects are run apart
// from each other, so that the next crash tells. A request that has run to its
// end is cleared of the crashes before.
//
// The verdict depends on the set of reports alone and not on their order, so
// every process that has the same reports says the same.
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
	// DefaultFirst is the length of a first quarantine, from the last crash.
	DefaultFirst = time.Hour
	// DefaultMemory is how long crashes are remembered. It also bounds the
	// doubling of quarantines.
	DefaultMemory = 24 * time.Hour
	// DefaultMaxCrashes bounds the crashes that are remembered.
	DefaultMaxCrashes = 1000
)

// maxInFlight bounds the fingerprints that are kept of one crash.
const maxInFlight = 4096

// Options sets the quarantiner's bounds. A zero value takes the default.
type Options struct {
	First      time.Duration
	Memory     time.Duration
	MaxCrashes int
}

// Crash is one report of an upstream's crash.
type Crash struct {
	// ID is drawn at random by the side, so that a repeated report counts once.
	ID       string
	Upstream currantwood.UpstreamID
	At       time.Time
	// InFlight holds the requests that were running, each once.
	InFlight []currantwood.Fingerprint
}

//go:generate go tool stringer -linecomment -type=Standing

// Standing is what is held against a request.
type Standing uint8

// The standings.
const (
	Clear       Standing = iota + 1 // clear
	Suspect                         // suspect
	Quarantined                     // quarantined
)

// Quarantiner holds the reports. It is not safe for concurrent use.
type Quarantiner struct {
	options Options
	crashes map[string]*Crash
	// seen names the crashes at which a request was in flight, without those
	// before it was cleared.
	seen map[currantwood.Fingerprint][]string
	// cleared is when a request last ran to its end. It is kept while a
	// report from before may still come.
	cleared map[currantwood.Fingerprint]time.Time
}

// New returns a quarantiner without reports.
func New(options Options) *Quarantiner {
	options.First = cmp.Or(options.First, DefaultFirst)
	options.Memory = cmp.Or(options.Memory, DefaultMemory)
	options.MaxCrashes = cmp.Or(options.MaxCrashes, DefaultMaxCrashes)
	return &Quarantiner{
		options: options,
		crashes: make(map[string]*Crash),
		seen:    make(map[currantwood.Fingerprint][]string),
		cleared: make(map[currantwood.Fingerprint]time.Time),
	}
}

// Crashed takes in a report. It returns whether the report is new and so is to
// be passed on.
func (q *Quarantiner) Crashed(now time.Time, crash Crash) bool {
	q.expire(now)
	if q.crashes[crash.ID] != nil || now.Sub(crash.At) >= q.options.Memory {
		return false
	}
	crash.InFlight = crash.InFlight[:min(len(crash.InFlight), maxInFlight)]
	if len(q.crashes) >= q.options.MaxCrashes {
		q.forget(q.oldest())
	}
	q.crashes[crash.ID] = &crash
	for _, fingerprint := range crash.InFlight {
		if !crash.At.After(q.cleared[fingerprint]) {
			continue
		}
		q.seen[fingerprint] = append(q.seen[fingerprint], crash.ID)
	}
	return true
}

// Cleared notes that a request ran to its end at the given time. It returns
// whether that clears it of a crash, which is to be passed on. A quarantined
// request isn't cleared: the run that ended began before.
func (q *Quarantiner) Cleared(now, at time.Time, fingerprint currantwood.Fingerprint) bool {
	standing, _ := q.Standing(now, fingerprint)
	if standing != Suspect {
		return false
	}
	before := q.seen[fingerprint]
	left := slices.DeleteFunc(slices.Clone(before), func(id string) bool {
		return !q.crashes[id].At.After(at)
	})
	if len(left) == len(before) {
		return false
	}
	q.cleared[fingerprint] = at
	q.setSeen(fingerprint, left)
	return true
}

// Standing returns what is held against a request and, in quarantine, how long
// that lasts from now on.
func (q *Quarantiner) Standing(now time.Time, fingerprint currantwood.Fingerprint) (Standing, time.Duration) {
	q.expire(now)
	crashes := q.seen[fingerprint]
	if len(crashes) == 0 {
		return Clear, 0
	}
	if !q.proved(fingerprint, crashes) {
		return Suspect, 0
	}
	last := time.Time{}
	for _, id := range crashes {
		if at := q.crashes[id].At; at.After(last) {
			last = at
		}
	}
	left := last.Add(q.length(len(crashes))).Sub(now)
	if left <= 0 {
		return Suspect, 0
	}
	return Quarantined, left
}

// Crashes returns all reports that are remembered, oldest first, for a process
// that has none yet.
func (q *Quarantiner) Crashes(now time.Time) []Crash {
	q.expire(now)
	reports := make([]Crash, 0, len(q.crashes))
	for _, id := range slices.Sorted(maps.Keys(q.crashes)) {
		reports = append(reports, *q.crashes[id])
	}
	slices.SortStableFunc(reports, func(a, b Crash) int { return a.At.Compare(b.At) })
	return reports
}

// proved reports whether two crashes have only this request in common.
func (q *Quarantiner) proved(fingerprint currantwood.Fingerprint, crashes []string) bool {
	for i, first := range crashes {
		for _, second := range crashes[i+1:] {
			if !q.shareAnother(first, second, fingerprint) {
				return true
			}
		}
	}
	return false
}

// shareAnother reports whether another request, not cleared since, was in
// flight at both crashes.
func (q *Quarantiner) shareAnother(first, second string, except currantwood.Fingerprint) bool {
	for _, fingerprint := range q.crashes[first].InFlight {
		if fingerprint == except {
			continue
		}
		seen := q.seen[fingerprint]
		if slices.Contains(seen, first) && slices.Contains(seen, second) {
			return true
		}
	}
	return false
}

// length is the length of a quarantine after a number of crashes.
func (q *Quarantiner) length(crashes int) time.Duration {
	length := q.options.First
	for range crashes - 2 {
		length = min(2*length, q.options.Memory)
	}
	return length
}

// expire forgets what is too old.
func (q *Quarantiner) expire(now time.Time) {
	for id, crash := range q.crashes {
		if now.Sub(crash.At) >= q.options.Memory {
			q.forget(id)
		}
	}
	for fingerprint, at := range q.cleared {
		if now.Sub(at) >= q.options.Memory {
			delete(q.cleared, fingerprint)
		}
	}
}

func (q *Quarantiner) forget(id string) {
	crash := q.crashes[id]
	for _, fingerprint := range crash.InFlight {
		left := slices.DeleteFunc(slices.Clone(q.seen[fingerprint]), func(other string) bool { return other == id })
		q.setSeen(fingerprint, left)
	}
	delete(q.crashes, id)
}

func (q *Quarantiner) setSeen(fingerprint currantwood.Fingerprint, crashes []string) {
	if len(crashes) == 0 {
		delete(q.seen, fingerprint)
		return
	}
	q.seen[fingerprint] = crashes
}

// oldest returns the id of the oldest crash; there is one.
func (q *Quarantiner) oldest() string {
	ids := slices.Sorted(maps.Keys(q.crashes))
	return slices.MinFunc(ids, func(a, b string) int { return q.crashes[a].At.Compare(q.crashes[b].At) })
}
