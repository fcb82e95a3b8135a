package ledger

import (
	"time"

	"github.com/currantwood/currantwood"
)

// Query returns the outcome of an operation without running it. The log must have
// been read up to its end, or the result may be out of date. The refusal for an
// operation without a record says RanUnknown, because the operation may have run
// before the log's oldest record.
func (l *Ledger) Query(now time.Time, id currantwood.AttemptID, scope Scope) Action {
	c := &call{id: id, operation: Operation{Scope: scope}}
	op := l.operations[scope]
	switch {
	case op == nil || op.expired(now):
		return refuseUnknown(c, currantwood.KindNotFound, "No record of this operation is kept.")
	case op.outcome != nil:
		return respondOrRefuse(c, *op.outcome, true)
	default:
		return l.refuseUnfinished(now, c, op)
	}
}
