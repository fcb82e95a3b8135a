package crashkeeper

import (
	"cmp"
	"slices"
	"time"

	"github.com/currantwood/currantwood"
)

// makeRoom forgets the suspects whose crashes no longer count and, if there are
// fewer than evictedSuspects, as many more: those with the fewest crashes first, and
// of these the ones that crashed an upstream longest ago.
func (k *Keeper) makeRoom(now time.Time) {
	type candidate struct {
		suspect currantwood.Suspect
		count   int
		newest  time.Time
	}
	var candidates []candidate
	evicted := 0
	for s, h := range k.histories {
		h.deleteExpired(now)
		if len(h.crashes) == 0 {
			k.forget(s)
			evicted++
			continue
		}
		candidates = append(candidates, candidate{s, k.count(now, s), h.newest()})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.count, b.count), a.newest.Compare(b.newest))
	})
	for _, c := range candidates[:max(0, evictedSuspects-evicted)] {
		k.forget(c.suspect)
		k.forgotten++
	}
}

// Forgotten returns how many suspects were forgotten although their crashes counted, as there were
// too many.
func (k *Keeper) Forgotten() int64 { return k.forgotten }

// forget forgets a suspect.
func (k *Keeper) forget(s currantwood.Suspect) {
	delete(k.histories, s)
	delete(k.recurrent, s)
}

// forgetRecurrent notes that a suspect isn't recurrent, and forgets it if it has no
// crashes.
func (k *Keeper) forgetRecurrent(s currantwood.Suspect) {
	if len(k.histories[s].crashes) == 0 {
		k.forget(s)
	}
	delete(k.recurrent, s)
}
