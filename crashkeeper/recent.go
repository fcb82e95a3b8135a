package crashkeeper

import (
	"cmp"
	"slices"
	"time"

	"github.com/currantwood/currantwood"
)

// Recent returns the crashes to send to peers now, up to limit, and counts them as sent: of those
// first recorded here within sendWindow, including those that peers reported, the ones that were
// sent least often, the newest first.
func (k *Keeper) Recent(now time.Time, limit int) []AgedCrash {
	type recentCrash struct {
		AgedCrash
		history *history
		key     crashKey
	}
	var recent []recentCrash
	for s, h := range k.histories {
		for key, times := range h.crashes {
			if now.Sub(times.learnedAt) <= sendWindow {
				recent = append(recent, recentCrash{newAgedCrash(now, s, key, times), h, key})
			}
		}
	}
	slices.SortFunc(recent, func(a, b recentCrash) int {
		sent := cmp.Compare(a.history.crashes[a.key].sent, b.history.crashes[b.key].sent)
		return cmp.Or(sent, cmp.Compare(a.Age, b.Age), a.Suspect.Compare(b.Suspect))
	})
	var crashes []AgedCrash
	for _, r := range recent[:sendCount(len(recent), limit)] {
		times := r.history.crashes[r.key]
		times.sent++
		r.history.crashes[r.key] = times
		crashes = append(crashes, r.AgedCrash)
	}
	return crashes
}

// sendCount returns how many of all that are to be sent are sent at a time.
func sendCount(all, limit int) int {
	return min(all, limit, max(minSent, int(sentShare*float64(all))))
}

func newAgedCrash(now time.Time, s currantwood.Suspect, key crashKey, times crashTimes) AgedCrash {
	return AgedCrash{
		Crash: Crash{Suspect: s, Upstream: key.upstream, Incarnation: key.incarnation, UnseenRestarts: key.unseenRestarts},
		Age:   now.Sub(times.at),
	}
}
