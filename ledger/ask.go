package ledger

import (
	"time"

	"github.com/currantwood/currantwood"
)

// Ask returns what is known of an operation without running it. The caller of
// Ask has read the log up to its head, or an answer may be out of date. An
// operation that is not known may still have run before the log's oldest
// record, so that answer says unknown too.
func (l *Ledger) Ask(now time.Time, id currantwood.AttemptID, scope Scope) Action {
	c := &call{id: id, operation: Operation{Scope: scope}}
	known := l.operations[scope]
	switch {
	case known == nil || known.expired(now):
		return unknown(c, currantwood.KindNotFound, "No record of this operation is kept.")
	case known.outcome != nil:
		return conclude(c, *known.outcome, true)
	default:
		return l.refuseWaiting(now, c, known)
	}
}
