// Package abandonkeeper keeps the runs that a gateway stopped, since the client had
// left or the upstream didn't answer in time. If the upstream then turns out to have
// crashed, one of them may be the cause, which nothing else shows.
package abandonkeeper

import (
	"time"

	"github.com/currantwood/currantwood"
)

const (
	// retention is how long a run is kept. The record of a crashed upstream is
	// removed after three missed heartbeats, within about 4 s.
	retention = 6 * time.Second
	// maxRuns bounds the runs that are kept for one upstream, and maxSuspects the suspects of
	// these together; the last run is kept whatever it has.
	maxRuns     = 64
	maxSuspects = 4096
)

// Run is a run that was stopped.
type Run struct {
	// Suspects are those of the request.
	Suspects    []currantwood.Suspect
	Incarnation int64
	// SentAt is when the request was sent to the upstream.
	SentAt time.Time
	// AbandonedAt is when the run was stopped.
	AbandonedAt time.Time
}

// Keeper holds abandoned runs. It is not safe for concurrent use.
type Keeper struct {
	// runs holds the runs at each upstream, the oldest first; at most maxRuns each, with at
	// most maxSuspects unless it is one run, and none empty.
	runs map[currantwood.UpstreamID][]Run
}

// New returns a keeper without runs.
func New() *Keeper { return &Keeper{runs: make(map[currantwood.UpstreamID][]Run)} }

// Add adds a run and returns how many of the oldest were dropped, as the upstream has too many.
func (k *Keeper) Add(upstream currantwood.UpstreamID, r Run) (dropped int) {
	list := append(k.runs[upstream], r)
	suspects := 0
	for _, kept := range list {
		suspects += len(kept.Suspects)
	}
	for len(list)-dropped > maxRuns || len(list)-dropped > 1 && suspects > maxSuspects {
		suspects -= len(list[dropped].Suspects)
		list[dropped] = Run{}
		dropped++
	}
	k.runs[upstream] = list[dropped:]
	return dropped
}

// Take removes and returns the runs of an upstream that were abandoned within
// retention at other incarnations than the given one. 0 takes those of all
// incarnations.
func (k *Keeper) Take(now time.Time, upstream currantwood.UpstreamID, running int64) []Run {
	var taken, kept []Run
	for _, r := range k.runs[upstream] {
		switch {
		case now.Sub(r.AbandonedAt) > retention:
		case running == 0 || r.Incarnation != running:
			taken = append(taken, r)
		default:
			kept = append(kept, r)
		}
	}
	k.set(upstream, kept)
	return taken
}

// DeleteExpired deletes the runs that were abandoned longer ago than retention.
func (k *Keeper) DeleteExpired(now time.Time) {
	for upstream, list := range k.runs {
		first := 0
		for first < len(list) && now.Sub(list[first].AbandonedAt) > retention {
			first++
		}
		k.set(upstream, list[first:])
	}
}

func (k *Keeper) set(upstream currantwood.UpstreamID, list []Run) {
	if len(list) == 0 {
		delete(k.runs, upstream)
		return
	}
	k.runs[upstream] = list
}
