// Package ledger decides which call runs an operation that must not run twice. A
// Ledger is one process's view of one shard of the operations log. It is a state
// machine without I/O: events and the current time are its input, actions its
// output.
//
// A process appends an intent for each call and reads the log up to it before it
// dispatches the call. The first intent in log order owns the operation, and all
// readers agree on it. Only the owner dispatches, even if it pauses or crashes, so
// an operation can't run a second time. As long as nothing was sent, the owner may
// withdraw its intent with a void. The key is then free, and the next intent in
// log order owns it; intents that lost to the voided one don't count.
//
// An operation is kept for its window, measured between the times in the intents
// so that all readers agree. Clocks of processes are assumed to differ by at most
// maxClockSkew. A process refuses a key if the records it knows don't reach back
// over the key's window.
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
	// maxFinalAge is how long appends of an outcome or a void are retried.
	maxFinalAge = time.Hour
	// retryDelay is the delay before a record is appended again.
	retryDelay = 250 * time.Millisecond
	// minHeadReads is the number of reads up to the log's head after which an
	// intent that was not found is appended again. It is 2 because the first read
	// may have started before the append failed.
	minHeadReads = 2
	// unknownResultLimit is the number of appends in a row with an unknown result
	// after which the log counts as down.
	unknownResultLimit = 2
	// readFailureLimit is the number of failed reads in a row after which the log
	// counts as down.
	readFailureLimit = 2
	// markInterval is the time without a batch in a shard after which a mark is due.
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

// operation is an operation that has an owner in the log.
type operation struct {
	owner       currantwood.AttemptID
	fingerprint currantwood.Fingerprint
	// intentAt, deadline and window are those of the owner's intent. If
	// ownerUncertain is set, they are the latest and longest of all intents that
	// may own the operation.
	intentAt time.Time
	deadline time.Time
	window   time.Duration
	// outcome is nil until it is known.
	outcome *Outcome
	// ownerUncertain is set if this reader's records don't reach back far enough
	// to exclude an earlier owner. Any later intent may then own the operation
	// instead.
	ownerUncertain bool
	// claimants are the attempts that may own the operation and were not voided;
	// empty unless ownerUncertain is set.
	claimants []currantwood.AttemptID
}

// addClaimant adds an attempt that may own the operation and extends its times.
func (o *operation) addClaimant(record Record) {
	o.claimants = append(o.claimants, record.Attempt)
	o.intentAt = later(o.intentAt, record.At)
	o.deadline = later(o.deadline, record.Deadline)
	o.window = max(o.window, record.Window)
}

// release handles the void of an attempt. It reports whether the operation has no
// owner left that this reader knows of. Owners that it can't know of are excluded
// by the coverage check.
func (o *operation) release(attempt currantwood.AttemptID) bool {
	if o.outcome != nil {
		return false
	}
	if !o.ownerUncertain {
		return o.owner == attempt
	}
	o.claimants = slices.DeleteFunc(o.claimants, func(a currantwood.AttemptID) bool { return a == attempt })
	return len(o.claimants) == 0
}

// expired reports whether the window is over at the given time.
func (o *operation) expired(at time.Time) bool {
	return !at.Before(o.intentAt.Add(o.window + maxClockSkew))
}

// callState is the state of a call of this process.
type callState uint8

const (
	// stateAppending: the intent has not been read from the log yet.
	stateAppending callState = iota
	// stateWaiting: another attempt owns the operation and has no outcome yet.
	stateWaiting
	// stateOwning: this attempt owns the operation and may be dispatched.
	stateOwning
	// stateDispatched: this attempt is being sent or was sent.
	stateDispatched
)

// call is a call of this process without a final result, or one that was
// dispatched and has no outcome yet.
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
	// headReads counts the reads up to the head since the last append failed.
	headReads int
	// responded is set once the client has been refused although the outcome is
	// still awaited.
	responded bool
}

// pendingFinal is an outcome or a void that is not known to be in the log yet.
type pendingFinal struct {
	record Record
	// inFlight is set while an append of the record has no result.
	inFlight bool
	// retryAt is the earliest time of the next append.
	retryAt time.Time
}

// Ledger is this process's view of one shard. It is not safe for concurrent use.
type Ledger struct {
	operations map[Scope]*operation
	// voided holds the voided attempts until a late copy of their intents can have
	// no effect anymore.
	voided map[currantwood.AttemptID]struct{}
	// calls holds the calls that have a current attempt, by attempt ID.
	calls map[currantwood.AttemptID]*call
	// byID holds the same calls by the ID passed to Begin.
	byID map[currantwood.AttemptID]*call
	// waiting holds the calls that wait for another attempt's outcome.
	waiting map[Scope][]*call
	// pendingFinals is keyed by attempt ID.
	pendingFinals map[currantwood.AttemptID]*pendingFinal
	expiry        expiryQueue

	coverage coverage
	// next is the first offset that has not been read.
	next currantwood.Offset
	// lastBatch is the latest time of a batch that was read, or of a later mark of
	// this process.
	lastBatch time.Time
	// downUntil is in the future while the log counts as down.
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
		operations:    map[Scope]*operation{},
		voided:        map[currantwood.AttemptID]struct{}{},
		calls:         map[currantwood.AttemptID]*call{},
		byID:          map[currantwood.AttemptID]*call{},
		waiting:       map[Scope][]*call{},
		pendingFinals: map[currantwood.AttemptID]*pendingFinal{},
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
		return []Action{refuseNotRun(c, currantwood.KindKeyRequired, "The rule allows this call once only, so it needs an Idempotency-Key.", 0)}
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
	// Before the first read nothing counts as missing; checkDispatch decides then.
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
	l.calls[c.attempt] = c
	l.byID[c.id] = c
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
func (l *Ledger) join(now time.Time, c *call, op *operation) []Action {
	l.removeCall(c)
	switch {
	case op.fingerprint != c.operation.Fingerprint:
		return []Action{refuseNotRun(c, currantwood.KindKeyConflict, "The Idempotency-Key was used with another request.", 0)}
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
func (l *Ledger) refuseUnfinished(now time.Time, c *call, op *operation) Action {
	if now.Before(op.deadline.Add(maxClockSkew)) {
		return refuseUnknown(c, currantwood.KindInProgress, "An earlier request with this key has not finished.")
	}
	return refuseUnknown(c, currantwood.KindOutcomeUnknown, "An earlier request with this key left no outcome.")
}

// refuseUncovered refuses a call whose window isn't covered for another wait.
func (l *Ledger) refuseUncovered(c *call, wait time.Duration) Action {
	return refuseNotRun(c, currantwood.KindKeyExpired, "The log's records don't reach back over the key's window, so an earlier run can't be excluded.", wait)
}

// Dispatch reports whether a call may be sent; it is called right before sending.
// Only the owner may be sent, and only before its deadline and if its window is
// covered. An owner that may not be sent ends without having run.
func (l *Ledger) Dispatch(now time.Time, id currantwood.AttemptID) (bool, []Action) {
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

// checkDispatch voids an owner that must not be sent. It returns nil if the call
// may be sent.
func (l *Ledger) checkDispatch(now time.Time, c *call) []Action {
	if !now.Before(c.operation.Deadline) {
		return l.voidAttempt(now, c, refuseNotRun(c, currantwood.KindDeadline, "The deadline passed before the call was sent.", 0))
	}
	if wait := l.coverage.timeUntilCovered(c.intentAt, c.operation.Window); wait > 0 {
		return l.voidAttempt(now, c, l.refuseUncovered(c, wait))
	}
	return nil
}

// voidAttempt ends a call that was not sent and appends a void, which releases its
// key. It returns the append, followed by refusal.
func (l *Ledger) voidAttempt(now time.Time, c *call, refusal Action) []Action {
	l.removeCall(c)
	void := Record{
		Kind: RecordVoid, Scope: c.operation.Scope, Attempt: c.attempt,
		At: now.Round(0), Window: c.operation.Window,
	}
	return []Action{l.appendFinal(void), refusal}
}

// NotDispatched ends a call of which certainly no byte was sent, although Dispatch
// allowed it.
func (l *Ledger) NotDispatched(now time.Time, id currantwood.AttemptID, detail string) []Action {
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
	actions := []Action{l.appendFinal(record)}
	if !c.responded {
		actions = append(actions, respondOrRefuse(c, outcome, false))
	}
	return append(actions, l.applyOutcome(now, record)...)
}

// removeCall removes a call from the calls that have a current attempt.
func (l *Ledger) removeCall(c *call) {
	delete(l.calls, c.attempt)
	delete(l.byID, c.id)
}

// findCall returns the call with the ID, or nil if there is none in that state.
func (l *Ledger) findCall(id currantwood.AttemptID, state callState) *call {
	c := l.byID[id]
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
