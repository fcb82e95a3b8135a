package ledger

import (
	"cmp"
	"slices"
	"time"

	"github.com/currantwood/currantwood"
)

// Batch wraps records from ActionAppend actions for one append. It is called right
// before the append.
func (l *Ledger) Batch(now time.Time, incarnation currantwood.Incarnation, records []Record) Batch {
	return Batch{Incarnation: incarnation, At: now.Round(0), Seen: l.next, Records: records}
}

// MarkDue reports whether an empty batch must be appended so that later readers
// can tell how far back the log reaches.
func (l *Ledger) MarkDue(now time.Time) bool {
	return l.coverage.started && now.Sub(l.lastBatchAt) >= markInterval
}

// PostponeMark postpones the next mark. It is called for every mark, whether or not its
// append succeeds.
func (l *Ledger) PostponeMark(now time.Time) { l.lastBatchAt = now }

// Appended handles a successful append of records.
func (l *Ledger) Appended(records []Record) {
	l.consecutiveUnknown = 0
	for _, record := range records {
		if record.Kind != RecordIntent {
			delete(l.pendingClosingRecords, record.Attempt)
			continue
		}
		if c := l.callsByAttempt[record.Attempt]; c != nil {
			c.inFlight, c.stored = false, true
		}
	}
}

// AppendFailed handles a failed append of records. If certain is set, the records are
// not in the log; otherwise they may be.
func (l *Ledger) AppendFailed(now time.Time, records []Record, certain bool) []Action {
	l.countAppendFailure(now, certain)
	var actions []Action
	for _, record := range records {
		if record.Kind != RecordIntent {
			l.retryClosingRecord(now, record)
			continue
		}
		c := l.callsByAttempt[record.Attempt]
		if c != nil && c.state == stateAppending && !c.stored {
			actions = append(actions, l.intentFailed(now, c, certain)...)
		}
	}
	return actions
}

// ReadFailed handles a failed read of the log. After readFailureLimit failures in
// a row new calls are refused at once, because their intents couldn't be read
// back.
func (l *Ledger) ReadFailed(now time.Time) {
	l.readFailures++
	if l.readFailures >= readFailureLimit {
		l.downUntil = now.Add(logRetryAfter)
	}
}

// Unsettled returns the number of outcomes and voids that are not known to be in
// the log plus the number of dispatched calls without an outcome.
func (l *Ledger) Unsettled() int {
	unsettled := len(l.pendingClosingRecords)
	for _, c := range l.callsByAttempt {
		if c.state == stateDispatched {
			unsettled++
		}
	}
	return unsettled
}

func (l *Ledger) countAppendFailure(now time.Time, certain bool) {
	if !certain {
		l.consecutiveUnknown++
	}
	if certain || l.consecutiveUnknown >= unknownResultLimit {
		l.downUntil = now.Add(logRetryAfter)
	}
}

// intentFailed refuses a call if its intent is certainly not in the log.
// Otherwise the intent is appended again only after the log has been read.
func (l *Ledger) intentFailed(now time.Time, c *call, certain bool) []Action {
	if certain && !c.maybeStored {
		l.removeCall(c)
		return []Action{refuseNotRun(c, currantwood.KindLogDown, "The operations log refused the record, so the call was not sent.", logRetryAfter)}
	}
	c.inFlight = false
	c.maybeStored = true
	c.endReads = 0
	c.retryAt = now.Add(retryDelay)
	return nil
}

// appendClosingRecord appends an outcome or a void, which is retried until it is in
// the log or older than maxClosingRecordAge.
func (l *Ledger) appendClosingRecord(record Record) Action {
	l.pendingClosingRecords[record.Attempt] = &pendingClosingRecord{record: record, inFlight: true}
	return appendRecord(record)
}

func (l *Ledger) retryClosingRecord(now time.Time, record Record) {
	if pending := l.pendingClosingRecords[record.Attempt]; pending != nil {
		pending.inFlight = false
		pending.retryAt = now.Add(retryDelay)
	}
}

// Tick handles deadlines, retries and expiry. It should be called at least every
// few tens of milliseconds.
func (l *Ledger) Tick(now time.Time) []Action {
	var actions []Action
	for _, c := range l.activeCalls() {
		actions = append(actions, l.tickCall(now, c)...)
	}
	actions = append(actions, l.tickWaiting(now)...)
	actions = append(actions, l.tickClosingRecords(now)...)
	l.removeExpired(now)
	return actions
}

func (l *Ledger) tickCall(now time.Time, c *call) []Action {
	pastDeadline := !now.Before(c.operation.Deadline)
	switch {
	case pastDeadline && c.state == stateDispatched && !c.responded:
		c.responded = true
		return []Action{refuseUnknown(c, currantwood.KindOutcomeUnknown, "The upstream was called and has not answered within the deadline.")}
	case pastDeadline && c.state != stateDispatched:
		return l.voidAttempt(now, c, refuseNotRun(c, currantwood.KindDeadline, "The deadline passed before the call was sent.", 0))
	case c.state == stateAppending && c.retryDue(now):
		c.inFlight = true
		return []Action{appendRecord(c.intent())}
	default:
		return nil
	}
}

func (c *call) retryDue(now time.Time) bool {
	return c.maybeStored && !c.inFlight && !c.stored && c.endReads >= minEndReads && !now.Before(c.retryAt)
}

func (l *Ledger) tickWaiting(now time.Time) []Action {
	var actions []Action
	for _, scope := range l.waitingScopes() {
		op := l.operations[scope]
		var remaining []*call
		for _, c := range l.waiting[scope] {
			if op != nil && now.Before(c.operation.Deadline) {
				remaining = append(remaining, c)
				continue
			}
			actions = append(actions, l.refuseWaitingCall(now, c, op))
		}
		l.setWaiting(scope, remaining)
	}
	return actions
}

// refuseWaitingCall refuses a waiting call whose deadline has passed or whose
// operation is no longer kept (op is nil).
func (l *Ledger) refuseWaitingCall(now time.Time, c *call, op *ownedOperation) Action {
	if op == nil {
		return refuseUnknown(c, currantwood.KindOutcomeUnknown, "An earlier request with this key left no outcome.")
	}
	return l.refuseUnfinished(now, c, op)
}

func (l *Ledger) setWaiting(scope Scope, calls []*call) {
	if len(calls) == 0 {
		delete(l.waiting, scope)
		return
	}
	l.waiting[scope] = calls
}

func (l *Ledger) tickClosingRecords(now time.Time) []Action {
	var due []Action
	for attempt, pending := range l.pendingClosingRecords {
		if pending.inFlight || now.Before(pending.retryAt) {
			continue
		}
		if !now.Before(pending.record.At.Add(maxClosingRecordAge)) {
			delete(l.pendingClosingRecords, attempt)
			continue
		}
		pending.inFlight = true
		due = append(due, appendRecord(pending.record))
	}
	slices.SortFunc(due, func(a, b Action) int { return cmp.Compare(a.Record.Attempt, b.Record.Attempt) })
	return due
}

// activeCalls returns calls sorted by attempt, so that the same events produce
// the same actions in the same order.
func (l *Ledger) activeCalls() []*call {
	calls := make([]*call, 0, len(l.callsByAttempt))
	for _, c := range l.callsByAttempt {
		calls = append(calls, c)
	}
	slices.SortFunc(calls, func(a, b *call) int { return cmp.Compare(a.attempt, b.attempt) })
	return calls
}

// waitingScopes returns the keys of waiting in sorted order, for the same reason.
func (l *Ledger) waitingScopes() []Scope {
	scopes := make([]Scope, 0, len(l.waiting))
	for scope := range l.waiting {
		scopes = append(scopes, scope)
	}
	slices.SortFunc(scopes, func(a, b Scope) int {
		return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Rule, b.Rule), cmp.Compare(a.Key, b.Key))
	})
	return scopes
}
