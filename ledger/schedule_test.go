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
	processes      = 3
	stepsASchedule = 150
	scheduleWindow = 30 * time.Second
)

// appending is an append under way. It may land at any time until it was
// refused, also after its writer was told that its result is unknown or died.
type appending struct {
	writer   *process
	batch    Batch
	landed   bool
	answered bool
}

// sending is a call that Dispatch allowed.
type sending struct {
	sender *process
	call   currantwood.AttemptID
	ran    bool
}

// process is one life of a process.
type process struct {
	ledger   *Ledger
	skew     time.Duration
	dead     bool
	paused   bool
	records  []Record
	dispatch []currantwood.AttemptID
}

// told is what a call was asked and answered.
type told struct {
	key         currantwood.OperationKey
	fingerprint currantwood.Fingerprint
	deadline    time.Time
	// at is when the call's last try began.
	at     time.Time
	final  bool
	notRun bool
	runs   int
}

// schedule is a log, its processes and a service, moved by single steps.
type schedule struct {
	*rapid.T
	random  *rand.Rand
	now     time.Time
	log     []Logged
	landed  []time.Time
	first   int
	all     []*process
	appends []*appending
	sends   []*sending
	calls   map[currantwood.AttemptID]*told
}

// drawSeed mixes several draws, because rapid prefers small numbers.
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
		now: time.Unix(1_000_000, 0), calls: map[currantwood.AttemptID]*told{},
	}
	for range processes {
		s.all = append(s.all, s.newProcess())
	}
	return s
}

func (s *schedule) newProcess() *process {
	p := &process{ledger: New(), skew: time.Duration(s.draw(5)-2) * time.Second}
	if s.draw(8) > 0 {
		s.readAs(p)
	}
	return p
}

func (s *schedule) draw(n int) int { return s.random.IntN(n) }

func (s *schedule) clock(p *process) time.Time { return s.now.Add(p.skew) }

// awake draws a process that may take a step.
func (s *schedule) awake() *process {
	return s.awakeWith(func(*process) bool { return true })
}

func (s *schedule) awakeWith(work func(*process) bool) *process {
	var able []*process
	for _, p := range s.all {
		if !p.paused && work(p) {
			able = append(able, p)
		}
	}
	if len(able) == 0 {
		return nil
	}
	return able[s.draw(len(able))]
}

func (s *schedule) begin() {
	p := s.awake()
	if p == nil {
		return
	}
	id := currantwood.AttemptID(fmt.Sprintf("c%02d", len(s.calls)))
	c := &told{
		key:         currantwood.OperationKey([]string{"k0", "k0", "k1"}[s.draw(3)]),
		fingerprint: currantwood.Fingerprint(1 + s.draw(8)/7),
		deadline:    s.clock(p).Add(time.Duration(1+s.draw(20)) * time.Second),
	}
	s.calls[id] = c
	s.take(p, p.ledger.Begin(s.clock(p), id, Operation{
		Scope: Scope{Customer: "c", Rule: "r", Key: c.key}, Fingerprint: c.fingerprint,
		Deadline: c.deadline, Window: scheduleWindow,
	}))
}

// take does what the ledger asks, and checks what callers are told.
func (s *schedule) take(p *process, actions []Action) {
	for _, action := range actions {
		switch action.Kind {
		case ActionAppend:
			p.records = append(p.records, action.Record)
			if action.Record.Kind == RecordIntent {
				s.calls[action.Record.Attempt[:3]].at = action.Record.At
			}
		case ActionDispatch:
			p.dispatch = append(p.dispatch, action.Call)
		case ActionAnswer:
			s.checkAnswer(action)
		case ActionRefuse:
			s.checkRefusal(action)
		}
	}
}

func (s *schedule) close(id currantwood.AttemptID) *told {
	c := s.calls[id]
	if c.final {
		s.Fatalf("%s got two final answers", id)
	}
	c.final = true
	return c
}

func (s *schedule) checkAnswer(action Action) {
	c := s.close(action.Call)
	runner := currantwood.AttemptID(action.Outcome.Answer.Body)
	ran := s.calls[runner]
	if ran.runs != 1 || ran.key != c.key || ran.fingerprint != c.fingerprint {
		s.Fatalf("%s was answered with the outcome of %s, which is another operation or didn't run", action.Call, runner)
	}
	if action.Replayed {
		seen.replays.Add(1)
	}
	if action.Replayed == (runner == action.Call) {
		s.Fatalf("%s: replayed is %v for a run by %s", action.Call, action.Replayed, runner)
	}
}

func (s *schedule) checkRefusal(action Action) {
	c := s.close(action.Call)
	c.notRun = action.Refusal.Ran == currantwood.NotRun
	if c.notRun {
		seen.notRun.Add(1)
	} else {
		seen.unknown.Add(1)
	}
	if action.Refusal.Kind == currantwood.KindKeyConflict {
		seen.conflicts.Add(1)
	}
	if c.notRun && c.runs > 0 {
		s.Fatalf("%s ran and was told %v", action.Call, action.Refusal)
	}
	if !c.notRun && action.Refusal.Operation == "" {
		s.Fatalf("%s was told an unknown outcome without an operation id", action.Call)
	}
}

// flush starts one append of everything that waits at a process.
func (s *schedule) flush() {
	p := s.awakeWith(func(p *process) bool { return len(p.records) > 0 })
	if p == nil {
		return
	}
	batch := p.ledger.Batch(s.clock(p), 0, p.records)
	p.records = nil
	s.appends = append(s.appends, &appending{writer: p, batch: batch})
}

func (s *schedule) mark() {
	if p := s.awake(); p != nil && p.ledger.coverage.started {
		s.appends = append(s.appends, &appending{writer: p, batch: p.ledger.Batch(s.clock(p), 0, nil)})
	}
}

func (s *schedule) drawAppend() *appending {
	if len(s.appends) == 0 {
		return nil
	}
	return recent(s, s.appends)
}

// recent draws an item, mostly one of the last few.
func recent[T any](s *schedule, items []T) T {
	first := 0
	if s.draw(4) != 3 {
		first = max(0, len(items)-4)
	}
	return items[first+s.draw(len(items)-first)]
}

func (s *schedule) land() {
	if a := s.drawAppend(); a != nil && !a.landed {
		a.landed = true
		s.log = append(s.log, Logged{Offset: currantwood.Offset(len(s.log)), Batch: a.batch})
		s.landed = append(s.landed, s.now)
	}
}

// answer tells the writer of the append's result, or loses the answer.
func (s *schedule) answer() {
	a := s.drawAppend()
	if a == nil || a.answered || a.writer.paused || a.writer.dead {
		return
	}
	if !a.landed && s.draw(4) != 3 {
		return // still under way
	}
	a.answered = true
	p := a.writer
	lost := s.draw(3) == 2
	switch {
	case a.landed && !lost:
		p.ledger.Appended(a.batch.Records)
	case !a.landed && !lost:
		a.landed = true // refused: it never lands
		s.take(p, p.ledger.Failed(s.clock(p), a.batch.Records, true))
	default:
		s.take(p, p.ledger.Failed(s.clock(p), a.batch.Records, false))
	}
}

func (s *schedule) read() {
	behind := func(p *process) bool { return int(p.ledger.Next()) < len(s.log) || s.draw(4) == 0 }
	if p := s.awakeWith(behind); p != nil {
		s.readAs(p)
	}
}

func (s *schedule) readAs(p *process) {
	from := max(int(p.ledger.Next()), s.first)
	to := min(len(s.log), from+1+s.draw(8))
	page := Page{First: currantwood.Offset(s.first), Next: currantwood.Offset(len(s.log)), Entries: s.log[min(from, to):to]}
	s.take(p, p.ledger.Read(s.clock(p), page))
}

func (s *schedule) dispatch() {
	p := s.awakeWith(func(p *process) bool { return len(p.dispatch) > 0 })
	if p == nil {
		return
	}
	id := p.dispatch[0]
	p.dispatch = p.dispatch[1:]
	allowed, actions := p.ledger.Dispatch(s.clock(p), id)
	s.take(p, actions)
	if !allowed {
		return
	}
	if !s.clock(p).Before(s.calls[id].deadline) {
		s.Fatalf("%s was dispatched after its deadline", id)
	}
	s.sends = append(s.sends, &sending{sender: p, call: id})
}

func (s *schedule) drawSend() *sending {
	if len(s.sends) == 0 {
		return nil
	}
	return recent(s, s.sends)
}

// run lets the service run a call, and counts.
func (s *schedule) run() {
	send := s.drawSend()
	if send == nil || send.ran {
		return
	}
	send.ran = true
	seen.runs.Add(1)
	c := s.calls[send.call]
	c.runs++
	if c.notRun || c.runs > 1 {
		s.Fatalf("%s ran %d times, told not-run: %v", send.call, c.runs, c.notRun)
	}
	for id, other := range s.calls {
		if other != c && other.runs > 0 && other.key == c.key && c.at.Sub(other.at).Abs() < scheduleWindow {
			s.Fatalf("%s and %s ran for the same key", id, send.call)
		}
	}
}

// finish tells the sender what came of a call.
func (s *schedule) finish() {
	send := s.drawSend()
	if send == nil || send.sender == nil || send.sender.paused || send.sender.dead {
		return
	}
	p := send.sender
	send.sender = nil
	switch {
	case !send.ran && s.draw(2) == 0:
		send.ran = true // it never reached the service
		s.take(p, p.ledger.NotDispatched(s.clock(p), send.call, "connection refused"))
	case send.ran && s.draw(3) > 0:
		answer := currantwood.ServiceResponse{Body: []byte(send.call)}
		s.take(p, p.ledger.Done(s.clock(p), send.call, Outcome{Answer: answer}))
	default:
		s.take(p, p.ledger.Done(s.clock(p), send.call, Outcome{Unknown: true}))
	}
}

func (s *schedule) tick() {
	if p := s.awake(); p != nil {
		s.take(p, p.ledger.Tick(s.clock(p)))
	}
}

func (s *schedule) crash() {
	i := s.draw(len(s.all))
	s.all[i].dead = true
	s.all[i] = s.newProcess()
}

func (s *schedule) pauseOrWake() {
	p := s.all[s.draw(len(s.all))]
	p.paused = !p.paused && s.draw(2) == 0
}

func (s *schedule) wait() {
	if s.draw(6) != 5 {
		s.now = s.now.Add(300 * time.Millisecond)
		return
	}
	long := []time.Duration{2 * time.Second, 6 * time.Second, 12 * time.Second, scheduleWindow, scheduleWindow, MaxCall}
	s.now = s.now.Add(long[s.draw(len(long))])
}

// expire drops the log's records past a retention that is at times too short.
func (s *schedule) expire() {
	retention := []time.Duration{0, scheduleWindow, 2 * scheduleWindow, 2 * scheduleWindow}[s.draw(4)]
	for s.first < len(s.log) && s.now.Sub(s.landed[s.first]) > retention {
		s.first++
	}
}

// rarely takes the step once in three times.
func (s *schedule) rarely(step func()) func() {
	return func() {
		if s.draw(3) == 2 {
			step()
		}
	}
}

// step takes one step. Frequent ones stand several times; rapid draws early ones
// more often than late ones.
func (s *schedule) step() {
	steps := []func(){
		s.begin, s.flush, s.land, s.read, s.dispatch, s.run, s.finish, s.read,
		s.read, s.land, s.wait, s.tick, s.flush, s.dispatch, s.answer, s.read,
		s.begin, s.flush, s.land, s.read, s.dispatch, s.run, s.finish, s.answer,
		s.rarely(s.crash), s.rarely(s.pauseOrWake), s.rarely(s.expire), s.rarely(s.mark),
	}
	steps[s.draw(len(steps))]()
}
