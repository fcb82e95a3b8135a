// Package headkeeper decides which rules text is the head. It is the pure core
// of every reader of the rules stream: all that apply the same records agree on
// the head, and whoever starts in the middle of the stream reaches the same
// state or none. docs/design/published-rules.md has the reasons.
package headkeeper

import (
	"slices"
	"time"

	"github.com/currantwood/currantwood"
)

const (
	// firstSpan is how many records before the end a fresh reader begins to
	// look for a checkpoint. It looks further back where it finds none.
	firstSpan = 128
	// spanGrowth is the factor by which it looks further back.
	spanGrowth = 4
	// maxVerdicts bounds the verdicts that are remembered.
	maxVerdicts = 1024
)

// Options sets when checkpoints are due.
type Options struct {
	// Retention is how long the log service keeps a record; > 0.
	Retention time.Duration
}

// Anchor is a head together with the records that it accounts for.
type Anchor struct {
	// Head is zero before the first publication.
	Head currantwood.RulesHead
	// PublishedBy names the person who published the head.
	PublishedBy string
	// Next says that exactly the records below it are accounted for.
	Next currantwood.Offset
}

// Verdict is what the log decided on a publication.
type Verdict struct {
	Publication currantwood.PublicationID
	Base        currantwood.PublicationID
	PublishedBy string
	Accepted    bool
	// Revision is that of the head right after the publication's place.
	Revision currantwood.Revision
}

// Keeper follows the rules stream. It is not safe for concurrent use.
type Keeper struct {
	options Options
	anchor  Anchor
	// anchored says that anchor is the truth at anchor.Next. Without it the
	// head may be served but no record can be judged.
	anchored bool
	scan     scan

	// verdicts are those on the last publications in order of the log.
	verdicts []Verdict

	// currentAt is when the keeper last stood at the log's end.
	currentAt time.Time
	// checkpoint is the most recent knowledge that a checkpoint in the log
	// has, and accepted counts the publications accepted since one was seen.
	checkpoint time.Time
	accepted   int
	// attempted is when this process last wrote a checkpoint.
	attempted time.Time
}

// scan is the search of a reader that knows no anchor.
type scan struct {
	started bool
	// low is where the present search began; at is the next record to look at.
	low, at currantwood.Offset
	span    currantwood.Offset
}

// New returns a keeper that knows nothing.
func New(options Options) *Keeper {
	return &Keeper{options: options}
}

// Want returns the offset to read from next.
func (k *Keeper) Want() currantwood.Offset {
	if k.anchored {
		return k.anchor.Next
	}
	return k.scan.at
}

// Anchor returns the head and whether it is the truth at its offset. After
// records were missed the head is kept, and the second result is false until a
// checkpoint or a peer closes the gap.
func (k *Keeper) Anchor() (Anchor, bool) {
	return k.anchor, k.anchored
}

// CurrentAt returns when the keeper last stood at the end of the log.
func (k *Keeper) CurrentAt() time.Time {
	return k.currentAt
}

// Verdict returns what was decided on a publication. It knows the last
// publications that it judged itself.
func (k *Keeper) Verdict(id currantwood.PublicationID) (Verdict, bool) {
	for _, v := range slices.Backward(k.verdicts) {
		if v.Publication == id {
			return v, true
		}
	}
	return Verdict{}, false
}

// Successor returns the accepted publication that replaced the given one.
func (k *Keeper) Successor(base currantwood.PublicationID) (Verdict, bool) {
	for _, v := range k.verdicts {
		if v.Accepted && v.Base == base {
			return v, true
		}
	}
	return Verdict{}, false
}

// Adopt takes an anchor from a peer. It reports whether the head changed. An
// anchor that accounts for fewer records is of no use, and a lower revision is
// never taken.
func (k *Keeper) Adopt(anchor Anchor) bool {
	if anchor.Next < k.anchor.Next || anchor.Head.Revision < k.anchor.Head.Revision {
		return false
	}
	if k.anchored && anchor.Next == k.anchor.Next {
		return false
	}
	changed := anchor.Head.Revision > k.anchor.Head.Revision
	k.anchor = anchor
	k.anchored = true
	return changed
}

// Feed takes in a window that was read at Want. It reports whether the head
// changed.
func (k *Keeper) Feed(now time.Time, window currantwood.RecordBatch) bool {
	before := k.anchor.Head.Revision
	if k.anchored && window.First > k.anchor.Next {
		k.anchored = false
		k.scan = scan{}
	}
	if k.anchored {
		k.follow(now, window)
	} else {
		k.search(now, window)
	}
	return k.anchor.Head.Revision > before
}

// follow applies the records from the anchor on.
func (k *Keeper) follow(now time.Time, window currantwood.RecordBatch) {
	for _, record := range window.Records {
		if record.Offset != k.anchor.Next {
			continue
		}
		k.apply(now, record)
		k.anchor.Next++
	}
	if k.anchor.Next >= window.End {
		k.currentAt = now
	}
}

func (k *Keeper) apply(now time.Time, record currantwood.Record) {
	e := decode(record.Data)
	switch {
	case e.Publication != nil:
		k.judge(*e.Publication)
	case e.Checkpoint != nil:
		k.note(now, *e.Checkpoint)
	}
}

// judge decides on one copy of a publication by its place in the log alone: it
// is accepted exactly if its base is the head. No publication is accepted
// twice, since its base would have to be the head twice and so to have been
// accepted twice before it.
func (k *Keeper) judge(p Publication) {
	accepted := p.Base == k.anchor.Head.Publication
	if accepted {
		revision := k.anchor.Head.Revision + 1
		k.anchor.Head = currantwood.RulesHead{Revision: revision, Publication: p.ID, Text: p.Text}
		k.anchor.PublishedBy = p.PublishedBy
		k.accepted++
	}
	k.remember(Verdict{
		Publication: p.ID, Base: p.Base, PublishedBy: p.PublishedBy,
		Accepted: accepted, Revision: k.anchor.Head.Revision,
	})
}

// remember keeps the verdict on the first copy, or on the accepted one.
func (k *Keeper) remember(verdict Verdict) {
	if _, known := k.Verdict(verdict.Publication); known && !verdict.Accepted {
		return
	}
	k.verdicts = append(k.verdicts, verdict)
	if len(k.verdicts) > maxVerdicts {
		k.verdicts = k.verdicts[1:]
	}
}

// search looks for a checkpoint that accounts for all that has expired.
func (k *Keeper) search(now time.Time, window currantwood.RecordBatch) {
	if !k.scan.started {
		k.scan = scan{started: true, span: firstSpan}
		k.scan.restart(window)
	}
	k.scan.at = max(k.scan.at, window.First)
	for _, record := range window.Records {
		if record.Offset != k.scan.at {
			continue
		}
		k.scan.at++
		if k.anchorOn(now, record, window.First) {
			return
		}
	}
	if k.scan.at < window.End {
		return
	}
	switch {
	case k.scan.low > window.First:
		k.scan.span *= spanGrowth
		k.scan.restart(window)
	case window.First == 0 && k.anchor.Head.Revision == 0:
		k.anchored = true
	}
}

// restart begins the search anew, span records before the end.
func (s *scan) restart(window currantwood.RecordBatch) {
	s.low = window.First
	if window.End > window.First+s.span {
		s.low = window.End - s.span
	}
	s.at = s.low
}

// anchorOn takes a record for the anchor where it is a checkpoint from which
// on all records are still in the log.
func (k *Keeper) anchorOn(now time.Time, record currantwood.Record, first currantwood.Offset) bool {
	e := decode(record.Data)
	c := e.Checkpoint
	if c == nil {
		return false
	}
	if c.Next < first || c.Next < k.anchor.Next || c.Revision < k.anchor.Head.Revision {
		return false
	}
	k.anchor = c.anchor()
	k.anchored = true
	k.note(now, *c)
	return true
}
