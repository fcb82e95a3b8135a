package ledger

import (
	"cmp"
	"slices"
	"time"

	"github.com/currantwood/currantwood"
)

// Batch returns what to append for records that Append actions asked for. It is
// called right before the append.
func (l *Ledger) Batch(now time.Time, incarnation currantwood.Incarnation, records []Record) Batch {
	return Batch{Incarnation: incarnation, At: now.Round(0), Seen: l.next, Records: records}
}

// MarkDue says that an empty batch has to be appended, so that later readers
// can tell how far back the log reaches.
func (l *Ledger) MarkDue(now time.Time) bool {
	return l.coverage.started && now.Sub(l.lastBatch) >= markInterval
}

// Marked puts the next mark off, whether the append succeeded or not.
func (l *Ledger) Marked(now time.Time) { l.lastBatch = now }

// Appended says that the records are in the log.
func (l *Ledger) Appended(records []Record) {
	l.unsureInRow = 0
	for _, record := range records {
		if record.Kind != RecordIntent {
			delete(l.finals, record.Attempt)
			continue
		}
		if c := l.calls[record.Attempt]; c != nil {
			c.inFlight, c.stored = false, true
		}
	}
}

// Failed says that an append failed. It is sure when the records are surely not
// in the log.
func (l *Ledger) Failed(now time.Time, records []Record, sure bool) []Action {
	l.noteFailure(now, sure)
	var actions []Action
	for _, record := range records {
		if record.Kind != RecordIntent {
			l.retryFinal(now, record)
			continue
		}
		c := l.calls[record.Attempt]
		if c != nil && c.state == stateAppending && !c.stored {
			actions = append(actions, l.intentFailed(now, c, sure)...)
		}
	}
	return actions
}

// ReadFailed says that the log could not be read. When that goes on, calls are
// refused at once, because no intent could be read back.
func (l *Ledger) ReadFailed(now time.Time) {
	l.readFailures++
	if l.readFailures >= readFailureLimit {
		l.downUntil = now.Add(logRetryAfter)
	}
}

// Unsettled returns how many outcomes and voids are not known to be in the log
// and how many dispatched calls have no outcome.
func (l *Ledger) Unsettled() int {
	unsettled := len(l.finals)
	for _, c := range l.calls {
		if c.state == stateDispatched {
			unsettled++
		}
	}
	return unsettled
}

func (l *Ledger) noteFailure(now time.Time, sure bool) {
	if !sure {
		l.unsureInRow++
	}
	if sure || l.unsureInRow >= unsureLimit {
		l.downUntil = now.Add(logRetryAfter)
	}
}

// intentFailed refuses a call whose intent is surely not in the log. Any other
// waits for the log to be read before its intent is appended again.
func (l *Ledger) intentFailed(now time.Time, c *call, sure bool) []Action {
	if sure && !c.unsure {
		l.forget(c)
		return []Action{notRun(c, currantwood.KindLogDown, "The operations log refused the record, so the call was not sent.", logRetryAfter)}
	}
	c.inFlight = false
	c.unsure = true
	c.headReads = 0
	c.retryAt = now.Add(retryDelay)
	return nil
}

// conclusive appends an outcome or a void, until it is in the log.
func (l *Ledger) conclusive(record Record) Action {
	l.finals[record.Attempt] = &final{record: record, inFlight: true}
	return appendRecord(record)
}

func (l *Ledger) retryFinal(now time.Time, record Record) {
	if pending := l.finals[record.Attempt]; pending != nil {
		pending.inFlight = false
		pending.retryAt = now.Add(retryDelay)
	}
}

// Tick does what is due. It is called at least every few tens of milliseconds.
func (l *Ledger) Tick(now time.Time) []Action {
	var actions []Action
	for _, c := range l.activeCalls() {
		actions = append(actions, l.tickCall(now, c)...)
	}
	actions = append(actions, l.tickWaiting(now)...)
	actions = append(actions, l.tickFinals(now)...)
	l.forgetExpired(now)
	return actions
}

func (l *Ledger) tickCall(now time.Time, c *call) []Action {
	late := !now.Before(c.operation.Deadline)
	switch {
	case late && c.state == stateDispatched && !c.answered:
		c.answered = true
		return []Action{unknown(c, currantwood.KindOutcomeUnknown, "The upstream was called and has not answered within the deadline.")}
	case late && c.state != stateDispatched:
		return l.giveUp(now, c, notRun(c, currantwood.KindDeadline, "The deadline passed before the call was sent.", 0))
	case c.state == stateAppending && c.retryDue(now):
		c.inFlight = true
		return []Action{appendRecord(c.intent())}
	default:
		return nil
	}
}

func (c *call) retryDue(now time.Time) bool {
	return c.unsure && !c.inFlight && !c.stored && c.headReads >= lookups && !now.Before(c.retryAt)
}

func (l *Ledger) tickWaiting(now time.Time) []Action {
	var actions []Action
	for _, scope := range l.waitingScopes() {
		known := l.operations[scope]
		var left []*call
		for _, c := range l.waiting[scope] {
			if known != nil && now.Before(c.operation.Deadline) {
				left = append(left, c)
				continue
			}
			actions = append(actions, l.refuseLate(now, c, known))
		}
		l.setWaiting(scope, left)
	}
	return actions
}

func (l *Ledger) refuseLate(now time.Time, c *call, known *operation) Action {
	if known == nil {
		return unknown(c, currantwood.KindOutcomeUnknown, "An earlier request with this key left no outcome.")
	}
	return l.refuseWaiting(now, c, known)
}

func (l *Ledger) setWaiting(scope Scope, calls []*call) {
	if len(calls) == 0 {
		delete(l.waiting, scope)
		return
	}
	l.waiting[scope] = calls
}

func (l *Ledger) tickFinals(now time.Time) []Action {
	var due []Action
	for attempt, pending := range l.finals {
		if pending.inFlight || now.Before(pending.retryAt) {
			continue
		}
		if !now.Before(pending.record.At.Add(maxFinal)) {
			delete(l.finals, attempt)
			continue
		}
		pending.inFlight = true
		due = append(due, appendRecord(pending.record))
	}
	slices.SortFunc(due, func(a, b Action) int { return cmp.Compare(a.Record.Attempt, b.Record.Attempt) })
	return due
}

// activeCalls is sorted, so that the same events give the same actions.
func (l *Ledger) activeCalls() []*call {
	calls := make([]*call, 0, len(l.calls))
	for _, c := range l.calls {
		calls = append(calls, c)
	}
	slices.SortFunc(calls, func(a, b *call) int { return cmp.Compare(a.attempt, b.attempt) })
	return calls
}

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
