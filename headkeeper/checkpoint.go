package headkeeper

import "time"

const (
	// renewals is how many times within the retention a checkpoint is renewed.
	renewals = 4
	// acceptedPerCheckpoint is the number of accepted publications after which
	// one is written early, so that fresh readers replay little.
	acceptedPerCheckpoint = 64
	// maxRank bounds how much later than the first writer the last one acts:
	// all have acted when half of the retention is over.
	maxRank = renewals
	// currentWithin is how recently a writer must have stood at the log's end.
	currentWithin = 5 * time.Second
)

// CheckpointDue says whether a process of the given rank should write a
// checkpoint. Rank 0 writes first; the others only where it did not. Writing
// too often or too late does no harm to the head, only to the log's volume.
func (k *Keeper) CheckpointDue(now time.Time, rank int) bool {
	if !k.anchored || k.anchor.Head.Revision == 0 || now.Sub(k.currentAt) > currentWithin {
		return false
	}
	rank = min(rank, maxRank)
	interval := k.options.Retention / renewals
	patience := interval / renewals * time.Duration(rank)
	if now.Sub(k.attempted) < interval/renewals {
		return false
	}
	return now.Sub(k.checkpoint) > interval+patience || k.accepted >= acceptedPerCheckpoint*(rank+1)
}

// Checkpoint returns the record to append for the present head.
func (k *Keeper) Checkpoint(now time.Time) ([]byte, error) {
	k.attempted = now
	return EncodeCheckpoint(Checkpoint{
		Revision:    k.anchor.Head.Revision,
		ID:          k.anchor.Head.Publication,
		PublishedBy: k.anchor.PublishedBy,
		Text:        k.anchor.Head.Text,
		Next:        k.anchor.Next,
		WrittenAtMS: k.currentAt.UnixMilli(),
	})
}

// note remembers how recent the knowledge in a checkpoint is. A clock ahead of
// this one must not put the next checkpoint off.
func (k *Keeper) note(now time.Time, c Checkpoint) {
	at := time.UnixMilli(c.WrittenAtMS)
	if at.After(now) {
		at = now
	}
	if at.After(k.checkpoint) {
		k.checkpoint = at
	}
	if c.Revision+acceptedPerCheckpoint > k.anchor.Head.Revision {
		k.accepted = int(k.anchor.Head.Revision - min(c.Revision, k.anchor.Head.Revision))
	}
}
