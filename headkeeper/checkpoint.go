package headkeeper

import "time"

const (
	// renewalsPerRetention is how often the checkpoint is renewed per retention
	// period.
	renewalsPerRetention = 4
	// acceptedPerCheckpoint is the number of accepted publications after which a
	// checkpoint is written early, so that new readers replay few records.
	acceptedPerCheckpoint = 64
	// rankStepsPerInterval divides the interval between two renewals into the steps
	// by which writers of consecutive ranks are delayed. One step is also the least
	// time between two attempts of a writer.
	rankStepsPerInterval = 4
	// maxRank bounds the delay of the last writer: every writer is due once half
	// of the retention period has passed.
	maxRank = rankStepsPerInterval
	// maxCaughtUpAge is how recently a writer must have reached the end of the log.
	// One that has not may have missed records and would write an outdated head.
	maxCaughtUpAge = 5 * time.Second
)

// CheckpointDue reports whether a process of the given rank should write a
// checkpoint. Rank 0 writes first; higher ranks write only if the lower ones did
// not. Writing too often or too late cannot make the head wrong; it only affects
// the volume of the log.
func (k *Keeper) CheckpointDue(now time.Time, rank int) bool {
	if !k.synced || k.snapshot.Head.Revision == 0 || now.Sub(k.caughtUpAt) > maxCaughtUpAge {
		return false
	}
	rank = min(rank, maxRank)
	interval := k.options.Retention / renewalsPerRetention
	rankDelay := interval / rankStepsPerInterval * time.Duration(rank)
	if now.Sub(k.lastAttemptAt) < interval/rankStepsPerInterval {
		return false
	}
	return now.Sub(k.checkpointCaughtUpAt) > interval+rankDelay || k.acceptedSinceCheckpoint >= acceptedPerCheckpoint*(rank+1)
}

// Checkpoint returns a checkpoint record of the current head, to be appended to
// the log.
func (k *Keeper) Checkpoint(now time.Time) ([]byte, error) {
	k.lastAttemptAt = now
	return EncodeCheckpoint(Checkpoint{
		Revision:     k.snapshot.Head.Revision,
		ID:           k.snapshot.Head.Publication,
		PublishedBy:  k.snapshot.PublishedBy,
		Text:         k.snapshot.Head.Text,
		Next:         k.snapshot.Next,
		CaughtUpAtMS: k.caughtUpAt.UnixMilli(),
	})
}

// noteCheckpoint records how recent the state in a checkpoint is. A time in the
// future counts as now, so that a writer whose clock is ahead does not delay the
// next checkpoint. A checkpoint that is acceptedPerCheckpoint or more revisions
// behind the head leaves the count of accepted publications unchanged, as it does
// not spare new readers the replay.
func (k *Keeper) noteCheckpoint(now time.Time, c Checkpoint) {
	at := time.UnixMilli(c.CaughtUpAtMS)
	if at.After(now) {
		at = now
	}
	if at.After(k.checkpointCaughtUpAt) {
		k.checkpointCaughtUpAt = at
	}
	if c.Revision+acceptedPerCheckpoint > k.snapshot.Head.Revision {
		k.acceptedSinceCheckpoint = int(k.snapshot.Head.Revision - min(c.Revision, k.snapshot.Head.Revision))
	}
}
