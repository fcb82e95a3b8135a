package ledger

import (
	"time"

	"github.com/currantwood/currantwood"
)

// ApplyPage applies a page that was read from offset Next or earlier. After an entry
// that could not be decoded, calls without a known operation are refused until
// their windows no longer include that entry.
func (l *Ledger) ApplyPage(now time.Time, page Page) []Action {
	var actions []Action
	l.readFailures = 0
	switch {
	case !l.coverage.started:
		l.coverage.reset(now, page.First)
		l.next = page.First
	case page.First > l.next:
		actions = l.handleGap(now, page.First)
	}
	for _, entry := range page.Entries {
		if entry.Offset < l.next {
			continue
		}
		l.next = entry.Offset + 1
		if entry.Unreadable {
			actions = append(actions, l.handleGap(now, l.next)...)
			continue
		}
		actions = append(actions, l.applyBatch(now, entry.Batch)...)
	}
	if l.next >= page.Next {
		l.countEndRead()
	}
	return actions
}

// handleGap resets coverage after records were lost to this reader. Calls whose
// intents may be among them are voided; none of them has been sent.
func (l *Ledger) handleGap(now time.Time, start currantwood.Offset) []Action {
	l.coverage.reset(now, start)
	l.next = max(l.next, start)
	var actions []Action
	for _, c := range l.activeCalls() {
		if c.state == stateAppending {
			refusal := refuseNotRun(c, currantwood.KindLogDown, "The log dropped records before they were read.", logRetryAfter)
			actions = append(actions, l.voidAttempt(now, c, refusal)...)
		}
	}
	return actions
}

func (l *Ledger) countEndRead() {
	for _, c := range l.callsByAttempt {
		c.endReads++
	}
}

func (l *Ledger) applyBatch(now time.Time, batch Batch) []Action {
	l.coverage.extend(batch)
	if batch.At.After(l.lastBatchAt) {
		l.lastBatchAt = batch.At
	}
	var actions []Action
	for _, record := range batch.Records {
		switch record.Kind {
		case RecordIntent:
			actions = append(actions, l.applyIntent(now, record)...)
		case RecordOutcome:
			delete(l.pendingClosingRecords, record.Attempt)
			actions = append(actions, l.applyOutcome(now, record)...)
		case RecordVoid:
			delete(l.pendingClosingRecords, record.Attempt)
			actions = append(actions, l.applyVoid(now, record)...)
		}
	}
	return actions
}

// applyIntent determines in log order which attempt owns the operation. Unless the
// owner is uncertain, it follows from the records and not from the reader's clock,
// so that all readers agree on it. Tick removes operations by the reader's clock,
// but not before the deadline of any call of this process whose intent belongs to
// them, so no such call is sent because its operation was removed.
func (l *Ledger) applyIntent(now time.Time, record Record) []Action {
	if _, voided := l.voided[record.Attempt]; voided {
		return nil
	}
	op := l.claimOperation(record)
	c := l.callsByAttempt[record.Attempt]
	if c == nil || c.state != stateAppending {
		return nil
	}
	if op.owner != record.Attempt {
		return l.join(now, c, op)
	}
	if actions := l.checkDispatch(now, c); actions != nil {
		return actions
	}
	c.state = stateOwning
	return []Action{{Kind: ActionDispatch, Call: c.id}}
}

// claimOperation returns the operation that the intent belongs to. It creates the
// operation if there is none within its window; otherwise the existing owner
// keeps it.
func (l *Ledger) claimOperation(record Record) *ownedOperation {
	op := l.operations[record.Scope]
	if op != nil && op.owner == record.Attempt {
		return op
	}
	if op != nil && !op.expired(record.At) {
		if op.ownerUncertain {
			op.addClaimant(record)
		}
		return op
	}
	op = &ownedOperation{
		owner: record.Attempt, fingerprint: record.Fingerprint,
		intentAt: record.At, deadline: record.Deadline, window: record.Window,
	}
	if l.coverage.timeUntilCovered(record.At, record.Window) > 0 {
		op.ownerUncertain = true
		op.claimants = []currantwood.AttemptID{record.Attempt}
	}
	l.operations[record.Scope] = op
	l.expiry.add(expiryItem{at: record.expiresAt(), scope: record.Scope})
	return op
}

// applyOutcome stores the outcome that the owner recorded. Only owners' calls are
// sent, so an outcome also identifies the owner of an operation whose owner was
// uncertain.
func (l *Ledger) applyOutcome(now time.Time, record Record) []Action {
	op := l.operations[record.Scope]
	if op == nil || op.outcome != nil || (op.owner != record.Attempt && !op.ownerUncertain) {
		return nil
	}
	op.owner = record.Attempt
	op.fingerprint = record.Fingerprint
	op.outcome = record.Outcome
	var actions []Action
	for _, c := range l.takeWaiting(record.Scope) {
		actions = append(actions, l.join(now, c, op)...)
	}
	return actions
}

// applyVoid deletes the operation if no owner that this reader knows of is left.
// Calls that waited for it start new attempts or are refused.
func (l *Ledger) applyVoid(now time.Time, record Record) []Action {
	l.voided[record.Attempt] = struct{}{}
	l.expiry.add(expiryItem{at: record.expiresAt(), voided: record.Attempt})
	op := l.operations[record.Scope]
	if op == nil || !op.removeClaimant(record.Attempt) {
		return nil
	}
	delete(l.operations, record.Scope)
	var actions []Action
	for _, c := range l.takeWaiting(record.Scope) {
		actions = append(actions, l.joinOrStart(now, c)...)
	}
	return actions
}

func (l *Ledger) takeWaiting(scope Scope) []*call {
	waiting := l.waiting[scope]
	delete(l.waiting, scope)
	return waiting
}
