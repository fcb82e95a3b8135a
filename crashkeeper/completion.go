package crashkeeper

import (
	"cmp"
	"slices"
	"time"

	"github.com/currantwood/currantwood"
)

const (
	// maxCompletions bounds the suspects without crashes whose completions are kept.
	maxCompletions = 8192
	// evictedCompletions is the number of them that are forgotten at once, those with
	// the earliest completions, so that the table isn't sorted for each completion.
	evictedCompletions = maxCompletions / 8
)

// AgedCompletion tells that an upstream ran a request with a suspect to the end, and
// how long ago.
type AgedCompletion struct {
	Suspect currantwood.Suspect
	Age     time.Duration
}

// RecordCompletion notes that an upstream ran a request with a suspect to the end, or so
// far that it would have crashed before. What crashed until at did so for another
// reason, and no longer counts. It reports whether any crash did count.
func (k *Keeper) RecordCompletion(now time.Time, s currantwood.Suspect, at time.Time) (cleared bool) {
	return k.complete(now, s, at)
}

// ApplyCompletion is RecordCompletion for a completion that a peer reported.
func (k *Keeper) ApplyCompletion(now time.Time, c AgedCompletion) (cleared bool) {
	return k.complete(now, c.Suspect, now.Add(-max(0, c.Age)))
}

// complete notes a completion at a time. If crashes no longer count for it, peers are
// told.
func (k *Keeper) complete(now time.Time, s currantwood.Suspect, at time.Time) (cleared bool) {
	k.noteCompletion(s, at)
	h := k.histories[s]
	if h == nil || !at.After(h.completedAt) {
		return false
	}
	before := h.count(now)
	firstKnown := h.completedAt.IsZero()
	h.completedAt, h.probes = at, 0
	cleared = h.count(now) < before
	if cleared || firstKnown {
		h.tell(now)
	}
	return cleared
}

// noteCompletion keeps a completion for when upstreams crash with the suspect later.
// Nothing is kept of requests: one that comes again later is rare.
func (k *Keeper) noteCompletion(s currantwood.Suspect, at time.Time) {
	if s.Kind == currantwood.SuspectRequest {
		return
	}
	known, ok := k.completions[s]
	if !ok && len(k.completions) >= maxCompletions {
		k.evictCompletions()
	}
	if at.After(known) {
		k.completions[s] = at
	}
}

// evictCompletions forgets the evictedCompletions earliest completions.
func (k *Keeper) evictCompletions() {
	suspects := make([]currantwood.Suspect, 0, len(k.completions))
	for s := range k.completions {
		suspects = append(suspects, s)
	}
	slices.SortFunc(suspects, func(a, b currantwood.Suspect) int { return k.completions[a].Compare(k.completions[b]) })
	for _, s := range suspects[:evictedCompletions] {
		delete(k.completions, s)
	}
}

// RecentCompletions returns the completions to send to peers now, up to limit, and counts them as
// sent: of those for which crashes no longer count, and those of suspects with which a crash has
// just become known, the ones that were sent least often, the newest first.
func (k *Keeper) RecentCompletions(now time.Time, limit int) []AgedCompletion {
	var recent []AgedCompletion
	for s, h := range k.histories {
		if !h.completedAt.IsZero() && !now.After(h.tellUntil) {
			recent = append(recent, AgedCompletion{Suspect: s, Age: now.Sub(h.completedAt)})
		}
	}
	slices.SortFunc(recent, func(a, b AgedCompletion) int {
		told := cmp.Compare(k.histories[a.Suspect].told, k.histories[b.Suspect].told)
		return cmp.Or(told, cmp.Compare(a.Age, b.Age), a.Suspect.Compare(b.Suspect))
	})
	recent = recent[:sendCount(len(recent), limit)]
	for _, c := range recent {
		k.histories[c.Suspect].told++
	}
	return recent
}
