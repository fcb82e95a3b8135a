// Package headkeeper determines which rules text is the head, that is the latest
// accepted one. It does no I/O. All readers that apply the same records of the
// rules stream agree on the head, and a reader that starts in the middle of the
// stream reaches the same state or none. docs/design/published-rules.md has the
// reasons.
package headkeeper

import (
	"slices"
	"time"

	"github.com/currantwood/currantwood"
)

const (
	// initialScanSpan is how many records before the end of the log a new reader
	// starts to look for a checkpoint. It goes further back if it finds none.
	initialScanSpan = 128
	// scanSpanGrowth is the factor by which the span grows after each failed scan.
	scanSpanGrowth = 4
	// maxDecisions bounds the decisions that a keeper holds.
	maxDecisions = 1024
)

// Options configures when checkpoints are due.
type Options struct {
	// Retention is how long the log service keeps a record. CheckpointDue needs a
	// value > 0.
	Retention time.Duration
}

// Snapshot is a head and the offset of the log up to which records were applied.
type Snapshot struct {
	// Head is zero before the first publication.
	Head currantwood.RulesHead
	// PublishedBy names the person who published the head.
	PublishedBy string
	// Next is the offset of the next record to apply: the head results from
	// exactly the records below it.
	Next currantwood.Offset
}

// Decision says whether a publication was accepted.
type Decision struct {
	Publication currantwood.PublicationID
	Base        currantwood.PublicationID
	PublishedBy string
	Accepted    bool
	// Revision is that of the head after the publication was applied.
	Revision currantwood.Revision
}

// Keeper applies the records of the rules stream. It is not safe for concurrent
// use.
type Keeper struct {
	options  Options
	snapshot Snapshot
	// synced is true if snapshot.Head results from all records below snapshot.Next
	// and no record from there on has been missed. Otherwise the head may be served,
	// but no record can be applied.
	synced bool
	scan   checkpointScan

	// decisions holds the latest decisions in log order.
	decisions []Decision

	// caughtUpAt is when the keeper last reached the end of the log.
	caughtUpAt time.Time
	// checkpointCaughtUpAt is the latest time at which the writer of a checkpoint had
	// reached the end of the log, by the checkpoints read so far.
	checkpointCaughtUpAt time.Time
	// acceptedSinceCheckpoint counts the publications accepted after the revision
	// of the last checkpoint that was read while less than acceptedPerCheckpoint
	// revisions behind the head.
	acceptedSinceCheckpoint int
	// lastAttemptAt is when this process last made a checkpoint to append.
	lastAttemptAt time.Time
}

// checkpointScan is the state of a search for a checkpoint from which the head can
// be computed.
type checkpointScan struct {
	started bool
	// start is where the current pass began; next is the next record to examine.
	start, next currantwood.Offset
	span        currantwood.Offset
}

// New returns a keeper that has applied no records.
func New(options Options) *Keeper {
	return &Keeper{options: options}
}

// NextOffset returns the offset to read from next.
func (k *Keeper) NextOffset() currantwood.Offset {
	if k.synced {
		return k.snapshot.Next
	}
	return k.scan.next
}

// Snapshot returns the keeper's state and whether the keeper is in sync, that is, has
// missed no records. After missed records the keeper retains its head, and the
// second result is false until a checkpoint or a peer closes the gap.
func (k *Keeper) Snapshot() (Snapshot, bool) {
	return k.snapshot, k.synced
}

// CaughtUpAt returns when the keeper last reached the end of the log.
func (k *Keeper) CaughtUpAt() time.Time {
	return k.caughtUpAt
}

// Decision returns the decision on a publication and whether it is known. Only the
// latest publications that this keeper applied itself are known.
func (k *Keeper) Decision(id currantwood.PublicationID) (Decision, bool) {
	for _, d := range slices.Backward(k.decisions) {
		if d.Publication == id {
			return d, true
		}
	}
	return Decision{}, false
}

// Successor returns the decision that accepted a publication on the given base,
// and whether it is known.
func (k *Keeper) Successor(base currantwood.PublicationID) (Decision, bool) {
	for _, d := range k.decisions {
		if d.Accepted && d.Base == base {
			return d, true
		}
	}
	return Decision{}, false
}

// Adopt replaces the keeper's state by one that another process has reached. It
// reports whether the head changed. It ignores a state with a lower offset or a lower
// revision than its own and, while in sync, one at the same offset.
func (k *Keeper) Adopt(snapshot Snapshot) bool {
	if snapshot.Next < k.snapshot.Next || snapshot.Head.Revision < k.snapshot.Head.Revision {
		return false
	}
	if k.synced && snapshot.Next == k.snapshot.Next {
		return false
	}
	changed := snapshot.Head.Revision > k.snapshot.Head.Revision
	k.snapshot = snapshot
	k.synced = true
	return changed
}

// Feed applies a batch that was read at the keeper's next offset. It reports whether
// the head changed.
func (k *Keeper) Feed(now time.Time, batch currantwood.RecordBatch) bool {
	before := k.snapshot.Head.Revision
	if k.synced && batch.First > k.snapshot.Next {
		k.synced = false
		k.scan = checkpointScan{}
	}
	if k.synced {
		k.follow(now, batch)
	} else {
		k.scanForCheckpoint(now, batch)
	}
	return k.snapshot.Head.Revision > before
}

// follow applies the records from the snapshot's offset on.
func (k *Keeper) follow(now time.Time, batch currantwood.RecordBatch) {
	for _, record := range batch.Records {
		if record.Offset != k.snapshot.Next {
			continue
		}
		k.apply(now, record)
		k.snapshot.Next++
	}
	if k.snapshot.Next >= batch.End {
		k.caughtUpAt = now
	}
}

func (k *Keeper) apply(now time.Time, record currantwood.Record) {
	e := decode(record.Data)
	switch {
	case e.Publication != nil:
		k.decide(*e.Publication)
	case e.Checkpoint != nil:
		k.noteCheckpoint(now, *e.Checkpoint)
	}
}

// decide decides on one record of a publication by its position in the log alone:
// the publication is accepted exactly if its base is the head. Retried appends can
// put a publication into the log more than once, but none is accepted twice. This
// holds by induction: the empty base is the head only before the first publication,
// and any other base only after its single acceptance.
func (k *Keeper) decide(p Publication) {
	accepted := p.Base == k.snapshot.Head.Publication
	if accepted {
		revision := k.snapshot.Head.Revision + 1
		k.snapshot.Head = currantwood.RulesHead{Revision: revision, Publication: p.ID, Text: p.Text}
		k.snapshot.PublishedBy = p.PublishedBy
		k.acceptedSinceCheckpoint++
	}
	k.addDecision(Decision{
		Publication: p.ID, Base: p.Base, PublishedBy: p.PublishedBy,
		Accepted: accepted, Revision: k.snapshot.Head.Revision,
	})
}

// addDecision adds a decision unless it is a refusal of a publication that already
// has a decision.
func (k *Keeper) addDecision(decision Decision) {
	if _, known := k.Decision(decision.Publication); known && !decision.Accepted {
		return
	}
	k.decisions = append(k.decisions, decision)
	if len(k.decisions) > maxDecisions {
		k.decisions = k.decisions[1:]
	}
}

// scanForCheckpoint looks for a checkpoint that covers all expired records.
func (k *Keeper) scanForCheckpoint(now time.Time, batch currantwood.RecordBatch) {
	if !k.scan.started {
		k.scan = checkpointScan{started: true, span: initialScanSpan}
		k.scan.restart(batch)
	}
	k.scan.next = max(k.scan.next, batch.First)
	for _, record := range batch.Records {
		if record.Offset != k.scan.next {
			continue
		}
		k.scan.next++
		if k.restoreFrom(now, record, batch.First) {
			return
		}
	}
	if k.scan.next < batch.End {
		return
	}
	switch {
	case k.scan.start > batch.First:
		k.scan.span *= scanSpanGrowth
		k.scan.restart(batch)
	case batch.First == 0 && k.snapshot.Head.Revision == 0:
		k.synced = true
	}
}

// restart starts a new pass, span records before the end of the log.
func (s *checkpointScan) restart(batch currantwood.RecordBatch) {
	s.start = batch.First
	if batch.End > batch.First+s.span {
		s.start = batch.End - s.span
	}
	s.next = s.start
}

// restoreFrom restores the keeper's state from a record. It reports false if the
// record is not a checkpoint, is older than the keeper's state, or if records after
// the checkpoint's offset have expired.
func (k *Keeper) restoreFrom(now time.Time, record currantwood.Record, first currantwood.Offset) bool {
	e := decode(record.Data)
	c := e.Checkpoint
	if c == nil {
		return false
	}
	if c.Next < first || c.Next < k.snapshot.Next || c.Revision < k.snapshot.Head.Revision {
		return false
	}
	k.snapshot = c.snapshot()
	k.synced = true
	k.noteCheckpoint(now, *c)
	return true
}
