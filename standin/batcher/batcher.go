package batcher

import (
	"sort"
	"time"

	"github.com/currantwood/currantwood"
)

// state is the scheduling state of a stream.
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
	// arrival is the sequence number of arrival, from 1.
	arrival uint64
	// produced is the number of output tokens so far; at most
	// job.OutputTokens.
	produced currantwood.TokenCount
	// prefillLeft is the number of context tokens still to be computed before
	// the next output token.
	prefillLeft currantwood.TokenCount
	// held is the memory that the stream occupies, in tokens; 0 unless
	// running.
	held currantwood.TokenCount
	// evicted is set once the stream has been preempted, or paused after its
	// first output token. Its prefill then counts as repeated.
	evicted bool
}

// Batcher schedules and steps the continuous batch of one engine. It is not
// safe for concurrent use.
type Batcher struct {
	options Options
	streams map[currantwood.EngineStreamID]*stream
	// running is ordered by descending priority, then by admission.
	running []*stream
	// waiting is ordered by descending priority; within a priority, evicted
	// streams come first, and then the earliest arrival.
	waiting []*stream
	// paused is the number of paused streams.
	paused int
	// used is the sum of held over running, in tokens; at most
	// options.MemoryTokens, unless a single larger stream runs alone.
	used   currantwood.TokenCount
	cache  cache
	counts Counts
	// arrivals is the number of streams added so far.
	arrivals uint64
	// tokensPerSec is an exponential moving average over the steps; it doesn't
	// change while nothing runs.
	tokensPerSec float64
	emissions    []Emission
}

// New returns a batcher without streams.
func New(options Options) *Batcher {
	return &Batcher{
		options: options,
		streams: map[currantwood.EngineStreamID]*stream{},
		cache:   cache{limit: options.CacheTokens},
	}
}

// Add queues a job. A job whose stream id is already known is ignored.
func (b *Batcher) Add(job Job) {
	if _, known := b.streams[job.Stream]; known {
		return
	}
	job.OutputTokens = max(job.OutputTokens, 1)
	job.PromptTokens = max(job.PromptTokens, 1)
	job.PrefixTokens = min(job.PrefixTokens, job.PromptTokens)
	b.arrivals++
	s := &stream{job: job, arrival: b.arrivals}
	b.streams[job.Stream] = s
	b.enqueue(s)
}

// Cancel removes a stream and frees its memory. It reports whether the stream
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

// Pause frees a stream's memory and keeps the number of tokens produced; after
// Unpause its context is prefilled again. It reports whether the stream was
// known.
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

// Unpause queues a paused stream again. It reports whether the stream was
// known.
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

// Step admits waiting streams and runs one step of the batch.
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
	return Result{Duration: took, Emissions: b.emissions}
}

// Load returns the current load. Model, version and pool are left empty.
func (b *Batcher) Load() currantwood.EngineLoad {
	return currantwood.EngineLoad{
		Running:      len(b.running),
		Waiting:      len(b.waiting),
		Paused:       b.paused,
		UsedTokens:   b.used,
		MemoryTokens: b.options.MemoryTokens,
		Preemptions:  b.counts.Preemptions,
		TokensPerSec: b.tokensPerSec,
	}
}

// Counts returns the totals.
func (b *Batcher) Counts() Counts { return b.counts }

// CacheEvents returns the recent cache events after the given sequence number,
// in order. Old events are dropped, so there may be a gap.
func (b *Batcher) CacheEvents(after uint64) []currantwood.CacheEvent {
	return b.cache.eventsAfter(after)
}

// admit moves waiting streams into the batch, in order, until memory is short
// for the next one or the batch is full.
func (b *Batcher) admit() {
	admitted := 0
	for _, s := range b.waiting {
		if len(b.running) >= b.options.MaxRunning || !b.fits(s) {
			break
		}
		b.start(s)
		admitted++
	}
	b.waiting = append(b.waiting[:0], b.waiting[admitted:]...)
}

// fits reports whether there is memory for a waiting stream's context and next
// token. A context larger than the whole memory is admitted when nothing else
// runs, as it would otherwise wait forever.
func (b *Batcher) fits(s *stream) bool {
	need := s.job.PromptTokens + s.produced + 1
	return b.used+need <= b.options.MemoryTokens || len(b.running) == 0
}

func (b *Batcher) start(s *stream) {
	context := s.job.PromptTokens + s.produced
	cached := b.cache.touch(s.job.Prefix, s.job.PrefixTokens)
	// One token is prefilled even if the whole context is cached.
	s.prefillLeft = max(context-cached, 1)
	b.counts.CacheHitTokens += int64(cached)
	if s.evicted {
		b.counts.RepeatedTokens += int64(s.prefillLeft)
	}
	s.state = stateRunning
	s.held = context
	b.used += context
	at := sort.Search(len(b.running), func(i int) bool { return b.running[i].job.Priority < s.job.Priority })
	b.running = insertStream(b.running, at, s)
}

// prefill computes up to PrefillChunk context tokens of the running streams, in
// order, and returns the number computed.
func (b *Batcher) prefill() currantwood.TokenCount {
	left := b.options.PrefillChunk
	for _, s := range b.running {
		part := min(s.prefillLeft, left)
		s.prefillLeft -= part
		left -= part
		if left == 0 {
			break
		}
	}
	return b.options.PrefillChunk - left
}

// decode produces a token for each stream whose context is computed and returns
// the number of tokens. It preempts first where needed, so that memory is not
// exceeded unless a single larger stream runs alone.
func (b *Batcher) decode() int {
	b.preemptToFit()
	decoded := 0
	for _, s := range b.running {
		if s.prefillLeft > 0 {
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

// preemptToFit preempts streams until one more token for each decoding stream
// fits in memory. A stream that runs alone is never preempted.
func (b *Batcher) preemptToFit() {
	for len(b.running) > 1 && b.used+b.countDecoding() > b.options.MemoryTokens {
		s := b.victim()
		b.detach(s)
		s.evicted = true
		b.counts.Preemptions++
		b.enqueue(s)
	}
}

func (b *Batcher) countDecoding() currantwood.TokenCount {
	var n currantwood.TokenCount
	for _, s := range b.running {
		if s.prefillLeft == 0 {
			n++
		}
	}
	return n
}

// victim returns the running stream to preempt: the latest arrival of the
// lowest priority.
func (b *Batcher) victim() *stream {
	worst := b.running[0]
	for _, s := range b.running[1:] {
		lower := s.job.Priority < worst.job.Priority
		later := s.job.Priority == worst.job.Priority && s.arrival > worst.arrival
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

// rateWeight is the weight of the newest step in the moving average of the
// token rate.
const rateWeight = 0.05

func (b *Batcher) observeRate(decoded int, took time.Duration) {
	if took <= 0 {
		return
	}
	rate := float64(decoded) / took.Seconds()
	b.tokensPerSec += rateWeight * (rate - b.tokensPerSec)
}

// retire removes completed streams from the batch.
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

// detach removes a stream from the batch, the queue or the paused streams and
// frees its memory.
func (b *Batcher) detach(s *stream) {
	switch s.state {
	case stateRunning:
		b.used -= s.held
		s.held = 0
		b.running = removeStream(b.running, s)
	case stateWaiting:
		b.waiting = removeStream(b.waiting, s)
	case statePaused:
		b.paused--
	}
}

func (b *Batcher) enqueue(s *stream) {
	s.state = stateWaiting
	at := sort.Search(len(b.waiting), func(i int) bool { return queuesBefore(s, b.waiting[i]) })
	b.waiting = insertStream(b.waiting, at, s)
}

func insertStream(streams []*stream, at int, s *stream) []*stream {
	streams = append(streams, nil)
	copy(streams[at+1:], streams[at:])
	streams[at] = s
	return streams
}

// queuesBefore reports whether a comes before b in the waiting queue.
func queuesBefore(a, b *stream) bool {
	if a.job.Priority != b.job.Priority {
		return a.job.Priority > b.job.Priority
	}
	if a.evicted != b.evicted {
		return a.evicted
	}
	return a.arrival < b.arrival
}

func removeStream(streams []*stream, s *stream) []*stream {
	for i, other := range streams {
		if other == s {
			return append(streams[:i], streams[i+1:]...)
		}
	}
	return streams
}
