package ledger

import (
	"fmt"
	"math/bits"
	"math/rand/v2"
	"time"

	"pgregory.net/rapid"

	"github.com/currantwood/currantwood"
)

const (
	processCount     = 3
	stepsPerSchedule = 150
	scheduleWindow   = 30 * time.Second
	// callIDLength is the length of "cNN", the ID of a call and the start of its
	// attempts' IDs. A schedule must have at most 100 calls.
	callIDLength = 3
)

// pendingAppend is an append in progress. Unless it was refused, it may be stored
// at any time, even after its result was reported as unknown or its writer crashed.
type pendingAppend struct {
	writer *process
	batch  Batch
	// storeDecided is set once the batch is in the log, or once the append was
	// refused, after which the batch is never stored.
	storeDecided bool
	// reported is set once the writer has received a result.
	reported bool
}

// pendingSend is a call that Dispatch allowed.
type pendingSend struct {
	// sender is nil once it has received a result.
	sender *process
	call   currantwood.AttemptID
	// runDecided is set once the service ran the call, or once the send failed,
	// after which the call never runs.
	runDecided bool
}

// process is one incarnation of a process.
type process struct {
	ledger *Ledger
	skew   time.Duration
	dead   bool
	paused bool
	// records are to be appended.
	records []Record
	// dispatch holds the calls to dispatch.
	dispatch []currantwood.AttemptID
}

// trackedCall is a call's input and what was observed of its result.
type trackedCall struct {
	key         currantwood.OperationKey
	fingerprint currantwood.Fingerprint
	deadline    time.Time
	// at is the time in the intent of the call's last attempt.
	at time.Time
	// responded is set once the client has received a response or a refusal.
	responded bool
	// notRun is set once the client was told that the call did not run.
	notRun bool
	// runs counts how often the service ran the call.
	runs int
}

// schedule simulates a log, the processes that use it and a service, in random
// single steps.
type schedule struct {
	*rapid.T
	random *rand.Rand
	now    time.Time
	log    []LogEntry
	// storedAt has the time of each entry of log.
	storedAt []time.Time
	// first is the oldest offset that the log retains.
	first     int
	processes []*process
	appends   []*pendingAppend
	sends     []*pendingSend
	calls     map[currantwood.AttemptID]*trackedCall
}

// drawSeed combines several draws because rapid favors small numbers.
func drawSeed(t *rapid.T) uint64 {
	var seed uint64
	for range 8 {
		seed = bits.RotateLeft64(seed, 8) ^ rapid.Uint64().Draw(t, "seed")
	}
	return seed
}

func newSchedule(t *rapid.T, worker uint64) *schedule {
	s := &schedule{
		T: t, random: rand.New(rand.NewPCG(drawSeed(t), worker)),
		now: time.Unix(1_000_000, 0), calls: map[currantwood.AttemptID]*trackedCall{},
	}
	for range processCount {
		s.processes = append(s.processes, s.newProcess())
	}
	return s
}

func (s *schedule) newProcess() *process {
	p := &process{ledger: New(), skew: time.Duration(s.draw(5)-2) * time.Second}
	if s.draw(8) > 0 {
		s.readPage(p)
	}
	return p
}

func (s *schedule) draw(n int) int { return s.random.IntN(n) }

func (s *schedule) clock(p *process) time.Time { return s.now.Add(p.skew) }

// drawRunning draws a process that isn't paused; nil if there is none.
func (s *schedule) drawRunning() *process {
	return s.drawRunningWith(func(*process) bool { return true })
}

// drawRunningWith draws a process that isn't paused and for which canAct is true.
func (s *schedule) drawRunningWith(canAct func(*process) bool) *process {
	var eligible []*process
	for _, p := range s.processes {
		if !p.paused && canAct(p) {
			eligible = append(eligible, p)
		}
	}
	if len(eligible) == 0 {
		return nil
	}
	return eligible[s.draw(len(eligible))]
}

func (s *schedule) begin() {
	p := s.drawRunning()
	if p == nil {
		return
	}
	id := currantwood.AttemptID(fmt.Sprintf("c%02d", len(s.calls)))
	c := &trackedCall{
		key:         currantwood.OperationKey([]string{"k0", "k0", "k1"}[s.draw(3)]),
		fingerprint: currantwood.Fingerprint(1 + s.draw(8)/7),
		deadline:    s.clock(p).Add(time.Duration(1+s.draw(20)) * time.Second),
	}
	s.calls[id] = c
	s.perform(p, p.ledger.Begin(s.clock(p), id, Operation{
		Scope: Scope{Customer: "c", Rule: "r", Key: c.key}, Fingerprint: c.fingerprint,
		Deadline: c.deadline, Window: scheduleWindow,
	}))
}

// perform performs the ledger's actions and checks the results that clients get.
func (s *schedule) perform(p *process, actions []Action) {
	for _, action := range actions {
		switch action.Kind {
		case ActionAppend:
			p.records = append(p.records, action.Record)
			if action.Record.Kind == RecordIntent {
				s.calls[action.Record.Attempt[:callIDLength]].at = action.Record.At
			}
		case ActionDispatch:
			p.dispatch = append(p.dispatch, action.Call)
		case ActionRespond:
			s.checkAnswer(action)
		case ActionRefuse:
			s.checkRefusal(action)
		}
	}
}

// closeCall marks a call as responded and fails the test if it already was.
func (s *schedule) closeCall(id currantwood.AttemptID) *trackedCall {
	c := s.calls[id]
	if c.responded {
		s.Fatalf("%s got a second response or refusal", id)
	}
	c.responded = true
	return c
}

func (s *schedule) checkAnswer(action Action) {
	c := s.closeCall(action.Call)
	runner := currantwood.AttemptID(action.Outcome.Response.Body)
	ran := s.calls[runner]
	if ran.runs != 1 || ran.key != c.key || ran.fingerprint != c.fingerprint {
		s.Fatalf("%s got the outcome of %s, which belongs to another operation or didn't run exactly once", action.Call, runner)
	}
	if action.Replayed {
		totals.replays.Add(1)
	}
	if action.Replayed == (runner == action.Call) {
		s.Fatalf("%s: Replayed is %v, but the outcome is that of %s", action.Call, action.Replayed, runner)
	}
}

func (s *schedule) checkRefusal(action Action) {
	c := s.closeCall(action.Call)
	c.notRun = action.Refusal.Ran == currantwood.NotRun
	if c.notRun {
		totals.notRun.Add(1)
	} else {
		totals.unknown.Add(1)
	}
	if action.Refusal.Kind == currantwood.KindOperationKeyConflict {
		totals.conflicts.Add(1)
	}
	if c.notRun && c.runs > 0 {
		s.Fatalf("%s ran but was refused as not run: %v", action.Call, action.Refusal)
	}
	if !c.notRun && action.Refusal.Operation == "" {
		s.Fatalf("%s was refused with an unknown outcome but without an operation ID", action.Call)
	}
}

// flush starts one append of all pending records of a process.
func (s *schedule) flush() {
	p := s.drawRunningWith(func(p *process) bool { return len(p.records) > 0 })
	if p == nil {
		return
	}
	batch := p.ledger.Batch(s.clock(p), 0, p.records)
	p.records = nil
	s.appends = append(s.appends, &pendingAppend{writer: p, batch: batch})
}

// mark starts an append of an empty batch.
func (s *schedule) mark() {
	if p := s.drawRunning(); p != nil && p.ledger.coverage.started {
		s.appends = append(s.appends, &pendingAppend{writer: p, batch: p.ledger.Batch(s.clock(p), 0, nil)})
	}
}

func (s *schedule) drawAppend() *pendingAppend {
	if len(s.appends) == 0 {
		return nil
	}
	return drawRecent(s, s.appends)
}

// drawRecent draws an item, usually one of the last four.
func drawRecent[T any](s *schedule, items []T) T {
	first := 0
	if s.draw(4) != 3 {
		first = max(0, len(items)-4)
	}
	return items[first+s.draw(len(items)-first)]
}

// store adds a pending append to the log.
func (s *schedule) store() {
	if a := s.drawAppend(); a != nil && !a.storeDecided {
		a.storeDecided = true
		s.log = append(s.log, LogEntry{Offset: currantwood.Offset(len(s.log)), Batch: a.batch})
		s.storedAt = append(s.storedAt, s.now)
	}
}

// reportAppend reports an append's result to its writer, or an unknown result.
func (s *schedule) reportAppend() {
	a := s.drawAppend()
	if a == nil || a.reported || a.writer.paused || a.writer.dead {
		return
	}
	if !a.storeDecided && s.draw(4) != 3 {
		return // still in progress
	}
	a.reported = true
	p := a.writer
	lost := s.draw(3) == 2
	switch {
	case a.storeDecided && !lost:
		p.ledger.Appended(a.batch.Records)
	case !a.storeDecided && !lost:
		a.storeDecided = true // refused, so never stored
		s.perform(p, p.ledger.AppendFailed(s.clock(p), a.batch.Records, true))
	default:
		s.perform(p, p.ledger.AppendFailed(s.clock(p), a.batch.Records, false))
	}
}

func (s *schedule) read() {
	behind := func(p *process) bool { return int(p.ledger.Next()) < len(s.log) || s.draw(4) == 0 }
	if p := s.drawRunningWith(behind); p != nil {
		s.readPage(p)
	}
}

func (s *schedule) readPage(p *process) {
	from := max(int(p.ledger.Next()), s.first)
	to := min(len(s.log), from+1+s.draw(8))
	page := Page{First: currantwood.Offset(s.first), Next: currantwood.Offset(len(s.log)), Entries: s.log[min(from, to):to]}
	s.perform(p, p.ledger.ApplyPage(s.clock(p), page))
}

func (s *schedule) dispatch() {
	p := s.drawRunningWith(func(p *process) bool { return len(p.dispatch) > 0 })
	if p == nil {
		return
	}
	id := p.dispatch[0]
	p.dispatch = p.dispatch[1:]
	allowed, actions := p.ledger.AllowSend(s.clock(p), id)
	s.perform(p, actions)
	if !allowed {
		return
	}
	if !s.clock(p).Before(s.calls[id].deadline) {
		s.Fatalf("%s was dispatched at or after its deadline", id)
	}
	s.sends = append(s.sends, &pendingSend{sender: p, call: id})
}

func (s *schedule) drawSend() *pendingSend {
	if len(s.sends) == 0 {
		return nil
	}
	return drawRecent(s, s.sends)
}

// run lets the service run a call. It fails the test if the call already ran, if
// its client was told that it didn't run, or if another call of the same key ran
// within the window.
func (s *schedule) run() {
	send := s.drawSend()
	if send == nil || send.runDecided {
		return
	}
	send.runDecided = true
	totals.runs.Add(1)
	c := s.calls[send.call]
	c.runs++
	if c.notRun || c.runs > 1 {
		s.Fatalf("%s ran %d times; refused as not run: %v", send.call, c.runs, c.notRun)
	}
	for id, other := range s.calls {
		if other != c && other.runs > 0 && other.key == c.key && c.at.Sub(other.at).Abs() < scheduleWindow {
			s.Fatalf("%s and %s both ran with the same key within the window", id, send.call)
		}
	}
}

// finish reports a call's result to its sender.
func (s *schedule) finish() {
	send := s.drawSend()
	if send == nil || send.sender == nil || send.sender.paused || send.sender.dead {
		return
	}
	p := send.sender
	send.sender = nil
	switch {
	case !send.runDecided && s.draw(2) == 0:
		send.runDecided = true // it never reached the service
		s.perform(p, p.ledger.NotSent(s.clock(p), send.call, "connection refused"))
	case send.runDecided && s.draw(3) > 0:
		answer := currantwood.ServiceResponse{Body: []byte(send.call)}
		s.perform(p, p.ledger.Done(s.clock(p), send.call, Outcome{Response: answer}))
	default:
		s.perform(p, p.ledger.Done(s.clock(p), send.call, Outcome{Unknown: true}))
	}
}

func (s *schedule) tick() {
	if p := s.drawRunning(); p != nil {
		s.perform(p, p.ledger.Tick(s.clock(p)))
	}
}

func (s *schedule) crash() {
	i := s.draw(len(s.processes))
	s.processes[i].dead = true
	s.processes[i] = s.newProcess()
}

func (s *schedule) pauseOrResume() {
	p := s.processes[s.draw(len(s.processes))]
	p.paused = !p.paused && s.draw(2) == 0
}

func (s *schedule) wait() {
	if s.draw(6) != 5 {
		s.now = s.now.Add(300 * time.Millisecond)
		return
	}
	longWaits := []time.Duration{2 * time.Second, 6 * time.Second, 12 * time.Second, scheduleWindow, scheduleWindow, MaxCallDuration}
	s.now = s.now.Add(longWaits[s.draw(len(longWaits))])
}

// expire drops log records that are older than a randomly drawn retention, which
// is sometimes shorter than the window needs.
func (s *schedule) expire() {
	retention := []time.Duration{0, scheduleWindow, 2 * scheduleWindow, 2 * scheduleWindow}[s.draw(4)]
	for s.first < len(s.log) && s.now.Sub(s.storedAt[s.first]) > retention {
		s.first++
	}
}

// rarely returns a step that is executed with probability 1/3.
func (s *schedule) rarely(step func()) func() {
	return func() {
		if s.draw(3) == 2 {
			step()
		}
	}
}

// step executes a random step. A step that is listed several times is more likely.
func (s *schedule) step() {
	steps := []func(){
		s.begin, s.flush, s.store, s.read, s.dispatch, s.run, s.finish, s.read,
		s.read, s.store, s.wait, s.tick, s.flush, s.dispatch, s.reportAppend, s.read,
		s.begin, s.flush, s.store, s.read, s.dispatch, s.run, s.finish, s.reportAppend,
		s.rarely(s.crash), s.rarely(s.pauseOrResume), s.rarely(s.expire), s.rarely(s.mark),
	}
	steps[s.draw(len(steps))]()
}
