package batcher

import (
	"sort"
	"time"

	"github.com/currantwood/currantwood"
)

// state is where a stream stands.
type state uint8

const (
	stateWaiting state = iota
	stateRunning
	statePaused
)

// stream is one job and its progress.
type stream struct {
	job   Job
	state state
	// order is the order of arrival.
	order uint64
	// produced is at most job.OutputTokens.
	produced currantwood.TokenCount
	// prefill is what is left to compute before the next token.
	prefill currantwood.TokenCount
	// held is the memory it occupies; 0 unless running.
	held currantwood.TokenCount
	// evicted says that memory was lost, so the prefill repeats work.
	evicted bool
}

// Batcher is one engine's batch. It is not safe for concurrent use.
type Batcher struct {
	options Options
	streams map[currantwood.EngineStreamID]*stream
	// running is ordered by descending priority, then by admission.
	running []*stream
	// waiting is ordered by descending priority, evicted streams first, then
	// by arrival.
	waiting []*stream
	paused  int
	// used is the sum of held over running; at most options.MemoryTokens.
	used      currantwood.TokenCount
	cache     cache
	counts    Counts
	arrivals  uint64
	rate      float64
	emissions []Emission
}

// New returns an empty batch.
func New(options Options) *Batcher {
	return &Batcher{
		options: options,
		streams: map[currantwood.EngineStreamID]*stream{},
		cache:   cache{limit: options.CacheTokens},
	}
}

// Add puts a job in the queue. A stream id that is already known is ignored.
func (b *Batcher) Add(job Job) {
	if _, known := b.streams[job.Stream]; known {
		return
	}
	job.OutputTokens = max(job.OutputTokens, 1)
	job.PromptTokens = max(job.PromptTokens, 1)
	job.PrefixTokens = min(job.PrefixTokens, job.PromptTokens)
	b.arrivals++
	s := &stream{job: job, order: b.arrivals}
	b.streams[job.Stream] = s
	b.enqueue(s)
}

// Cancel forgets a stream and frees its memory. It reports whether the stream
// was known.
func (b *Batcher) Cancel(id currantwood.EngineStreamID) bool {
	s, known := b.streams[id]
	if !known {
		return false
	}
	b.detach(s)
	delete(b.streams, id)
	return true
}

// Pause frees a stream's memory and keeps its progress. It reports whether the
// stream was known.
func (b *Batcher) Pause(id currantwood.EngineStreamID) bool {
	s, known := b.streams[id]
	if !known {
		return false
	}
	if s.state == statePaused {
		return true
	}
	b.detach(s)
	s.evicted = s.evicted || s.produced > 0
	s.state = statePaused
	b.paused++
	b.counts.Pauses++
	return true
}

// Unpause lets a paused stream run on. It reports whether the stream was known.
func (b *Batcher) Unpause(id currantwood.EngineStreamID) bool {
	s, known := b.streams[id]
	if !known {
		return false
	}
	if s.state == statePaused {
		b.paused--
		b.enqueue(s)
	}
	return true
}

// Step runs the batch once.
func (b *Batcher) Step() Result {
	b.emissions = b.emissions[:0]
	b.admit()
	if len(b.running) == 0 {
		return Result{}
	}
	prefilled := b.prefill()
	decoded := b.decode()
	took := b.duration(decoded, prefilled)
	b.observeRate(decoded, took)
	b.retire()
	return Result{Took: took, Emissions: b.emissions}
}

// Load says how full the engine is. Model, version and pool are left empty.
func (b *Batcher) Load() currantwood.EngineLoad {
	return currantwood.EngineLoad{
		Running:      len(b.running),
		Waiting:      len(b.waiting),
		Paused:       b.paused,
		UsedTokens:   b.used,
		MemoryTokens: b.options.MemoryTokens,
		Preemptions:  b.counts.Preemptions,
		TokensPerSec: b.rate,
	}
}

// Counts returns the totals.
func (b *Batcher) Counts() Counts { return b.counts }

// CacheEvents returns the recent cache events after the given sequence number,
// in order. Old events are dropped, so there may be a gap.
func (b *Batcher) CacheEvents(after uint64) []currantwood.CacheEvent {
	return b.cache.eventsAfter(after)
}

// admit moves waiting streams into the batch while there is memory for their
// prompts.
func (b *Batcher) admit() {
	taken := 0
	for _, s := range b.waiting {
		if len(b.running) >= b.options.MaxRunning || !b.fits(s) {
			break
		}
		b.start(s)
		taken++
	}
	b.waiting = append(b.waiting[:0], b.waiting[taken:]...)
}

// fits reports whether a waiting stream's context and next token have room. A
// context larger than the whole memory is let in alone, or it would wait for
// ever.
func (b *Batcher) fits(s *stream) bool {
	need := s.job.PromptTokens + s.produced + 1
	return b.used+need <= b.options.MemoryTokens || len(b.running) == 0
}

func (b *Batcher) start(s *stream) {
	context := s.job.PromptTokens + s.produced
	cached := b.cache.use(s.job.Prefix, s.job.PrefixTokens)
	s.prefill = max(context-cached, 1)
	b.counts.CacheHitTokens += int64(cached)
	if s.evicted {
		b.counts.RepeatedTokens += int64(s.prefill)
	}
	s.state = stateRunning
	s.held = context
	b.used += context
	at := sort.Search(len(b.running), func(i int) bool { return b.running[i].job.Priority < s.job.Priority })
	b.running = insert(b.running, at, s)
}

// prefill spends the step's chunk on running streams in order and returns the
// tokens that it computed.
func (b *Batcher) prefill() currantwood.TokenCount {
	left := b.options.PrefillChunk
	for _, s := range b.running {
		part := min(s.prefill, left)
		s.prefill -= part
		left -= part
		if left == 0 {
			break
		}
	}
	return b.options.PrefillChunk - left
}

// decode produces a token for each stream whose context is computed. It makes
// room first, so that the memory bound holds.
func (b *Batcher) decode() int {
	b.makeRoom()
	decoded := 0
	for _, s := range b.running {
		if s.prefill > 0 {
			continue
		}
		index := currantwood.TokenIndex(s.produced)
		s.produced++
		s.held++
		b.used++
		decoded++
		last := s.produced >= s.job.OutputTokens
		b.emissions = append(b.emissions, Emission{Stream: s.job.Stream, Index: index, Last: last})
	}
	b.counts.Tokens += int64(decoded)
	return decoded
}

// makeRoom preempts until one more token for each decoding stream fits.
func (b *Batcher) makeRoom() {
	for len(b.running) > 1 && b.used+b.decoding() > b.options.MemoryTokens {
		s := b.victim()
		b.detach(s)
		s.evicted = true
		b.counts.Preemptions++
		b.enqueue(s)
	}
}

func (b *Batcher) decoding() currantwood.TokenCount {
	var n currantwood.TokenCount
	for _, s := range b.running {
		if s.prefill == 0 {
			n++
		}
	}
	return n
}

// victim returns the last to come of the lowest priority.
func (b *Batcher) victim() *stream {
	worst := b.running[0]
	for _, s := range b.running[1:] {
		lower := s.job.Priority < worst.job.Priority
		later := s.job.Priority == worst.job.Priority && s.order > worst.order
		if lower || later {
			worst = s
		}
	}
	return worst
}

func (b *Batcher) duration(decoded int, prefilled currantwood.TokenCount) time.Duration {
	return b.options.StepBase +
		time.Duration(decoded)*b.options.StepPerStream +
		time.Duration(b.used)*b.options.StepPerHeldToken +
		time.Duration(prefilled)*b.options.PrefillPerToken
}

// rateGain is the part that the newest step has in the reported token rate.
const rateGain = 0.05

func (b *Batcher) observeRate(decoded int, took time.Duration) {
	if took <= 0 {
		return
	}
	now := float64(decoded) / took.Seconds()
	b.rate += rateGain * (now - b.rate)
}

// retire removes complete streams from the batch.
func (b *Batcher) retire() {
	kept := b.running[:0]
	for _, s := range b.running {
		if s.produced < s.job.OutputTokens {
			kept = append(kept, s)
			continue
		}
		b.used -= s.held
		delete(b.streams, s.job.Stream)
	}
	b.running = kept
}

// detach takes a stream out of the batch, the queue or the paused ones.
func (b *Batcher) detach(s *stream) {
	switch s.state {
	case stateRunning:
		b.used -= s.held
		s.held = 0
		b.running = remove(b.running, s)
	case stateWaiting:
		b.waiting = remove(b.waiting, s)
	case statePaused:
		b.paused--
	}
}

func (b *Batcher) enqueue(s *stream) {
	s.state = stateWaiting
	at := sort.Search(len(b.waiting), func(i int) bool { return before(s, b.waiting[i]) })
	b.waiting = insert(b.waiting, at, s)
}

func insert(into []*stream, at int, s *stream) []*stream {
	into = append(into, nil)
	copy(into[at+1:], into[at:])
	into[at] = s
	return into
}

func before(a, b *stream) bool {
	if a.job.Priority != b.job.Priority {
		return a.job.Priority > b.job.Priority
	}
	if a.evicted != b.evicted {
		return a.evicted
	}
	return a.order < b.order
}

func remove(from []*stream, s *stream) []*stream {
	for i, other := range from {
		if other == s {
			return append(from[:i], from[i+1:]...)
		}
	}
	return from
}
