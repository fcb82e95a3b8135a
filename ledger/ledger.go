// Package ledger decides which call runs an operation that must not run twice. A
// Ledger is one process's view of one shard of the operations log. It is a state
// machine without I/O: events and the current time are its input, actions its
// output.
//
// A process appends an intent for each call and reads the log up to it before it
// sends the call. The first intent in log order owns the operation, and all readers
// whose records reach back far enough agree on it. No other call is sent in place
// of the owner's, even if the owner pauses or crashes, so an operation can't run a
// second time. As long as nothing was sent, the owner may withdraw its intent with
// a void. The operation then has no owner, and the next intent in log order owns
// it; intents that lost to the voided one don't count.
//
// A Scope, which contains the client's Idempotency-Key, identifies an operation for
// its window: a later intent belongs to the same operation if its time is less than
// the window plus maxClockSkew after that of the owner's intent. Processes' clocks
// are assumed to differ by at most maxClockSkew. A process refuses a call for which
// it knows no operation if the records that it knows don't reach back over the
// window.
//
// The record that ends an attempt, an outcome or a void, is its closing record.
package ledger

import (
	"fmt"
	"slices"
	"time"

	"github.com/currantwood/currantwood"
)

const (
	// Shards is the number of log streams over which operations are distributed.
	// It must be the same in all processes.
	Shards = 4

	// MaxCallDuration bounds the time from a call's arrival to its deadline.
	MaxCallDuration = 10 * time.Minute

	// MaxRecordedBytes is the maximum size of a recorded response body. A longer
	// one is returned to the client whose call ran but can't be replayed.
	MaxRecordedBytes = 16 << 10

	// maxClockSkew is the maximum assumed difference between two processes' clocks.
	maxClockSkew = 5 * time.Second

	// logRetryAfter is how long new calls are refused once the log counts as down,
	// and the delay after which clients should retry them.
	logRetryAfter = time.Second
	// clientRetryAfter is the delay after which a client should retry or query an
	// operation again.
	clientRetryAfter = time.Second
	// maxClosingRecordAge is how long the append of a closing record is retried. If
	// the record never reaches the log, other processes never learn the outcome or
	// that the attempt was voided.
	maxClosingRecordAge = time.Hour
	// retryDelay is the delay before a record is appended again.
	retryDelay = 250 * time.Millisecond
	// minEndReads is the number of reads up to the end of the log after which an
	// intent that was not found is appended again. It is 2 because the first read
	// may have started before the append failed.
	minEndReads = 2
	// unknownResultLimit is the number of appends with an unknown result since the
	// last successful append after which the log counts as down.
	unknownResultLimit = 2
	// readFailureLimit is the number of failed reads in a row after which the log
	// counts as down.
	readFailureLimit = 2
	// markInterval is the time without a batch in a shard after which a mark, that is
	// an empty batch, is due.
	markInterval = 10 * time.Minute
)

// Operation describes the operation that a call requests.
type Operation struct {
	Scope Scope
	// Fingerprint distinguishes different requests with the same key.
	Fingerprint currantwood.Fingerprint
	// Deadline is absolute. The call isn't dispatched at or after it.
	Deadline time.Time
	// Window is how long the key is kept; > 0.
	Window time.Duration
}

// ownedOperation is an operation that has an owner in the log.
type ownedOperation struct {
	// owner is the attempt that owns the operation. If ownerUncertain is set and
	// outcome is nil, it is the first claimant that this reader read, even if that
	// one was voided.
	owner       currantwood.AttemptID
	fingerprint currantwood.Fingerprint
	// intentAt, deadline and window are those of the owner's intent. If
	// ownerUncertain is set, they are the latest and longest of all claimants'
	// intents, including voided ones.
	intentAt time.Time
	deadline time.Time
	window   time.Duration
	// outcome is nil until it is known.
	outcome *Outcome
	// ownerUncertain is set if this reader's records don't reach back far enough
	// to exclude an earlier owner. Unless outcome is set, a later intent may then
	// own the operation, because the earlier owner may have been voided in between.
	ownerUncertain bool
	// claimants are the attempts that may own the operation and were not voided. It
	// is empty unless ownerUncertain is set, and not used once outcome is set.
	claimants []currantwood.AttemptID
}

// addClaimant adds an attempt that may own the operation and extends its times.
func (o *ownedOperation) addClaimant(record Record) {
	o.claimants = append(o.claimants, record.Attempt)
	o.intentAt = later(o.intentAt, record.At)
	o.deadline = later(o.deadline, record.Deadline)
	o.window = max(o.window, record.Window)
}

// removeClaimant handles the void of an attempt. It reports whether the operation
// has no owner left that this reader knows of, so that it must be deleted. As long
// as there may be an owner that this reader can't know of, joinOrStart refuses new
// calls, because their windows aren't covered.
func (o *ownedOperation) removeClaimant(attempt currantwood.AttemptID) bool {
	if o.outcome != nil {
		return false
	}
	if !o.ownerUncertain {
		return o.owner == attempt
	}
	o.claimants = slices.DeleteFunc(o.claimants, func(a currantwood.AttemptID) bool { return a == attempt })
	return len(o.claimants) == 0
}

// expired reports whether an intent with the given time no longer belongs to the
// operation.
func (o *ownedOperation) expired(at time.Time) bool {
	return !at.Before(o.intentAt.Add(o.window + maxClockSkew))
}

// callState is the state of a call of this process.
type callState uint8

const (
	// stateAppending: the intent has not been read from the log yet.
	stateAppending callState = iota
	// stateWaiting: another attempt owns the operation and has no outcome yet.
	stateWaiting
	// stateOwning: the call's attempt owns the operation and the call may be sent.
	stateOwning
	// stateDispatched: the call is being sent or was sent.
	stateDispatched
)

// call is a call of this process that has no response or refusal yet, or that was
// refused at its deadline while its outcome is still awaited.
type call struct {
	id        currantwood.AttemptID
	operation Operation
	state     callState
	// attempt is id with attemptNumber appended.
	attempt currantwood.AttemptID
	// attemptNumber counts from 1.
	attemptNumber int
	// intentAt is the time in the attempt's intent.
	intentAt time.Time
	// inFlight is set while an append of the intent has no result.
	inFlight bool
	// stored is set once an append of the intent has succeeded.
	stored bool
	// maybeStored is set once an append of the intent has had an unknown result.
	maybeStored bool
	// retryAt is the earliest time of the next append.
	retryAt time.Time
	// endReads counts the reads up to the end of the log since the last append
	// failed.
	endReads int
	// responded is set once the client has been refused although the outcome is
	// still awaited.
	responded bool
}

// pendingClosingRecord is an outcome or a void that is not known to be in the log
// yet.
type pendingClosingRecord struct {
	record Record
	// inFlight is set while an append of the record has no result.
	inFlight bool
	// retryAt is the earliest time of the next append.
	retryAt time.Time
}

// Ledger is this process's view of one shard. It is not safe for concurrent use.
type Ledger struct {
	operations map[Scope]*ownedOperation
	// voided holds the voided attempts until a late duplicate of their intents can
	// have no effect anymore.
	voided map[currantwood.AttemptID]struct{}
	// callsByAttempt holds the calls that have a current attempt, by attempt ID.
	callsByAttempt map[currantwood.AttemptID]*call
	// callsByID holds the same calls by the ID passed to Begin.
	callsByID map[currantwood.AttemptID]*call
	// waiting holds the calls that wait for another attempt's outcome.
	waiting map[Scope][]*call
	// pendingClosingRecords is keyed by attempt ID.
	pendingClosingRecords map[currantwood.AttemptID]*pendingClosingRecord
	expiry                expiryQueue

	coverage coverage
	// next is the first offset that has not been read.
	next currantwood.Offset
	// lastBatchAt is the latest time of a batch that was read, or of a later mark of
	// this process.
	lastBatchAt time.Time
	// downUntil is in the future while the log counts as down. It is set after an
	// append that certainly failed, unknownResultLimit appends with an unknown
	// result or readFailureLimit failed reads.
	downUntil time.Time
	// consecutiveUnknown counts the appends with an unknown result since the last
	// successful append.
	consecutiveUnknown int
	// readFailures counts the failed reads since the last successful read.
	readFailures int
}

// New returns an empty ledger that has not read any records.
func New() *Ledger {
	return &Ledger{
		operations:            map[Scope]*ownedOperation{},
		voided:                map[currantwood.AttemptID]struct{}{},
		callsByAttempt:        map[currantwood.AttemptID]*call{},
		callsByID:             map[currantwood.AttemptID]*call{},
		waiting:               map[Scope][]*call{},
		pendingClosingRecords: map[currantwood.AttemptID]*pendingClosingRecord{},
	}
}

// Next returns the first offset that has not been read.
func (l *Ledger) Next() currantwood.Offset { return l.next }

// Operations returns the number of operations that are kept.
func (l *Ledger) Operations() int { return len(l.operations) }

// Begin starts a call. The ID must be unique among all calls of all processes. The
// deadline is limited to MaxCallDuration from now.
func (l *Ledger) Begin(now time.Time, id currantwood.AttemptID, operation Operation) []Action {
	c := &call{id: id, operation: operation}
	c.operation.Deadline = earlier(operation.Deadline.Round(0), now.Add(MaxCallDuration).Round(0))
	if operation.Scope.Key == "" {
		return []Action{refuseNotRun(c, currantwood.KindOperationKeyRequired, "The rule allows this call once only, so it needs an Idempotency-Key.", 0)}
	}
	return l.joinOrStart(now, c)
}

// joinOrStart joins an operation that has an owner. Otherwise it starts an attempt
// to own the operation, or refuses the call if that can't succeed.
func (l *Ledger) joinOrStart(now time.Time, c *call) []Action {
	op := l.operations[c.operation.Scope]
	if op != nil && !op.expired(now) {
		return l.join(now, c, op)
	}
	if !now.Before(c.operation.Deadline) {
		return []Action{refuseNotRun(c, currantwood.KindDeadline, "The deadline passed before the call was recorded.", 0)}
	}
	if now.Before(l.downUntil) {
		return []Action{refuseNotRun(c, currantwood.KindLogDown, "The operations log can't be reached, so this call was not recorded.", logRetryAfter)}
	}
	// Before the first read every window counts as covered; checkDispatch checks
	// it again once the intent has been read.
	if wait := l.coverage.timeUntilCovered(now, c.operation.Window); wait > 0 {
		return []Action{l.refuseUncovered(c, wait)}
	}
	return []Action{l.startAttempt(now, c)}
}

// startAttempt starts a new attempt by appending its intent.
func (l *Ledger) startAttempt(now time.Time, c *call) Action {
	c.attemptNumber++
	c.attempt = currantwood.AttemptID(fmt.Sprintf("%s.%d", c.id, c.attemptNumber))
	c.intentAt = now.Round(0)
	c.state = stateAppending
	c.inFlight, c.stored, c.maybeStored = true, false, false
	l.callsByAttempt[c.attempt] = c
	l.callsByID[c.id] = c
	return appendRecord(c.intent())
}

func (c *call) intent() Record {
	return Record{
		Kind: RecordIntent, Scope: c.operation.Scope, Attempt: c.attempt, At: c.intentAt,
		Window: c.operation.Window, Deadline: c.operation.Deadline, Fingerprint: c.operation.Fingerprint,
	}
}

// join ends a call with the result of an operation that another attempt owns, or
// makes it wait for that result.
func (l *Ledger) join(now time.Time, c *call, op *ownedOperation) []Action {
	l.removeCall(c)
	switch {
	case op.fingerprint != c.operation.Fingerprint:
		return []Action{refuseNotRun(c, currantwood.KindOperationKeyConflict, "The Idempotency-Key was used with another request.", 0)}
	case op.outcome != nil:
		return []Action{respondOrRefuse(c, *op.outcome, true)}
	case !now.Before(c.operation.Deadline):
		return []Action{l.refuseUnfinished(now, c, op)}
	default:
		c.state = stateWaiting
		l.waiting[c.operation.Scope] = append(l.waiting[c.operation.Scope], c)
		return nil
	}
}

// refuseUnfinished refuses a call because the operation has no outcome yet. Once
// the owner's deadline is past by maxClockSkew, the outcome counts as unknown.
func (l *Ledger) refuseUnfinished(now time.Time, c *call, op *ownedOperation) Action {
	if now.Before(op.deadline.Add(maxClockSkew)) {
		return refuseUnknown(c, currantwood.KindInProgress, "An earlier request with this key has not finished.")
	}
	return refuseUnknown(c, currantwood.KindOutcomeUnknown, "An earlier request with this key left no outcome.")
}

// refuseUncovered refuses a call whose window will be covered only after the given
// wait.
func (l *Ledger) refuseUncovered(c *call, wait time.Duration) Action {
	return refuseNotRun(c, currantwood.KindOperationKeyExpired, "The log's records don't reach back over the key's window, so an earlier run can't be excluded.", wait)
}

// AllowSend reports whether a call may be sent; it is called right before sending.
// Only a call whose attempt owns the operation may be sent, and only before its
// deadline and if its window is covered. If the deadline or the window forbids it,
// the attempt is voided and the call refused as not run.
func (l *Ledger) AllowSend(now time.Time, id currantwood.AttemptID) (bool, []Action) {
	c := l.findCall(id, stateOwning)
	if c == nil {
		return false, nil
	}
	if actions := l.checkDispatch(now, c); actions != nil {
		return false, actions
	}
	c.state = stateDispatched
	return true, nil
}

// checkDispatch voids the owner's attempt and refuses its call if the call must not
// be sent. It returns nil if the call may be sent.
func (l *Ledger) checkDispatch(now time.Time, c *call) []Action {
	if !now.Before(c.operation.Deadline) {
		return l.voidAttempt(now, c, refuseNotRun(c, currantwood.KindDeadline, "The deadline passed before the call was sent.", 0))
	}
	if wait := l.coverage.timeUntilCovered(c.intentAt, c.operation.Window); wait > 0 {
		return l.voidAttempt(now, c, l.refuseUncovered(c, wait))
	}
	return nil
}

// voidAttempt ends a call that was not sent and appends a void, so that the attempt
// doesn't own the operation. It returns the append, followed by refusal.
func (l *Ledger) voidAttempt(now time.Time, c *call, refusal Action) []Action {
	l.removeCall(c)
	void := Record{
		Kind: RecordVoid, Scope: c.operation.Scope, Attempt: c.attempt,
		At: now.Round(0), Window: c.operation.Window,
	}
	return []Action{l.appendClosingRecord(void), refusal}
}

// NotSent ends a call of which certainly no byte was sent, although Dispatch
// allowed it.
func (l *Ledger) NotSent(now time.Time, id currantwood.AttemptID, detail string) []Action {
	c := l.findCall(id, stateDispatched)
	if c == nil {
		return nil
	}
	refusal := refuseNotRun(c, currantwood.KindUpstreamError, detail, clientRetryAfter)
	actions := l.voidAttempt(now, c, refusal)
	if c.responded {
		return actions[:1]
	}
	return actions
}

// Done ends a dispatched call with its outcome.
func (l *Ledger) Done(now time.Time, id currantwood.AttemptID, outcome Outcome) []Action {
	c := l.findCall(id, stateDispatched)
	if c == nil {
		return nil
	}
	l.removeCall(c)
	record := Record{
		Kind: RecordOutcome, Scope: c.operation.Scope, Attempt: c.attempt, At: now.Round(0),
		Fingerprint: c.operation.Fingerprint, Outcome: outcome.recordedForm(),
	}
	actions := []Action{l.appendClosingRecord(record)}
	if !c.responded {
		actions = append(actions, respondOrRefuse(c, outcome, false))
	}
	return append(actions, l.applyOutcome(now, record)...)
}

// removeCall removes a call from the calls that have a current attempt.
func (l *Ledger) removeCall(c *call) {
	delete(l.callsByAttempt, c.attempt)
	delete(l.callsByID, c.id)
}

// findCall returns the call with the ID, or nil if there is none in that state.
func (l *Ledger) findCall(id currantwood.AttemptID, state callState) *call {
	c := l.callsByID[id]
	if c == nil || c.state != state {
		return nil
	}
	return c
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
