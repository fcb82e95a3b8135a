package crashkeeper

import (
	"slices"
	"time"

	"github.com/currantwood/currantwood"
)

const (
	// settleTime is how long upstreams must have crashed with a suspect that was
	// completed before, without a completion since. Those that fail together do so at
	// once, and sound requests complete on the others.
	settleTime = 2 * time.Second
	// minUnexplained is the number of crashes that another suspect must lack so that it
	// can't be the cause of those with this one.
	minUnexplained = 2
)

// crashLimit returns the number of crashed upstreams at which a suspect of a kind may
// be blocked.
func crashLimit(kind currantwood.SuspectKind) int {
	if kind == currantwood.SuspectPart {
		return maxPartCrashes
	}
	return maxCrashes
}

// FindBlocked returns a suspect with which so many upstreams have crashed that a request
// with all of the given suspects must not be sent to another, and whether there is one.
func (k *Keeper) FindBlocked(now time.Time, suspects []currantwood.Suspect) (currantwood.Suspect, bool) {
	if blocking := k.blocking(now, suspects); len(blocking) > 0 {
		return blocking[0], true
	}
	return currantwood.Suspect{}, false
}

// blocking returns the suspects that block a request with all of the given ones.
func (k *Keeper) blocking(now time.Time, suspects []currantwood.Suspect) []currantwood.Suspect {
	var blocking []currantwood.Suspect
	// What is suspected beside them is the same for all.
	var others []suspectHistory
	for _, s := range suspects {
		h := k.histories[s]
		if h == nil || !h.isSuspected(now, s) {
			continue
		}
		if others == nil {
			others = k.suspected(now)
		}
		if h.blocks(now, s, suspects, others) {
			blocking = append(blocking, s)
		}
	}
	return blocking
}

// blocks reports whether a suspect, whose history it is, blocks a request with all of the given
// suspects. It must be suspected itself; others are all that are.
//
// Sound requests share paths and parts of prompts with others, so more than the number
// of crashes counts for those. What crashes each upstream is never completed. A suspect
// that was completed is suspected only if the crashes since go on for settleTime, and
// blocks only if enough of them aren't crashes with a suspect that never was. None
// blocks if another suspect, which the request lacks, may have caused its crashes as
// well.
func (h *history) blocks(now time.Time, s currantwood.Suspect, all []currantwood.Suspect, others []suspectHistory) bool {
	if s.Kind == currantwood.SuspectRequest {
		return true
	}
	if !h.completedAt.IsZero() {
		never := slices.DeleteFunc(slices.Clone(others), func(o suspectHistory) bool { return !o.history.completedAt.IsZero() })
		if h.countWithout(now, never...) < crashLimit(s.Kind) {
			return false
		}
	}
	return !slices.ContainsFunc(others, func(o suspectHistory) bool {
		return !slices.Contains(all, o.suspect) && h.countWithout(now, o) < minUnexplained
	})
}

// isSuspected reports whether enough upstreams have crashed with the suspect s, whose
// history it is, that it may be the cause.
func (h *history) isSuspected(now time.Time, s currantwood.Suspect) bool {
	if h.count(now) < crashLimit(s.Kind) {
		return false
	}
	if s.Kind == currantwood.SuspectRequest || h.completedAt.IsZero() {
		return true
	}
	times := h.countedTimes(now)
	return times[len(times)-1].Sub(times[0]) >= settleTime
}

// suspectHistory is a suspect with its history.
type suspectHistory struct {
	suspect currantwood.Suspect
	history *history
}

// suspected returns all that may be the cause of crashes.
func (k *Keeper) suspected(now time.Time) []suspectHistory {
	var found []suspectHistory
	for s, h := range k.recurrent {
		if h.isSuspected(now, s) {
			found = append(found, suspectHistory{s, h})
		}
	}
	return found
}

// countWithout returns how many of the crashes that count aren't crashes with any of
// the others.
func (h *history) countWithout(now time.Time, others ...suspectHistory) int {
	count := 0
	for key, times := range h.crashes {
		elsewhere := slices.ContainsFunc(others, func(o suspectHistory) bool { _, ok := o.history.crashes[key]; return ok })
		if h.counts(now, times.at) && !elsewhere {
			count++
		}
	}
	return count
}
