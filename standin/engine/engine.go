package engine

import (
	"net/http"
	"sync"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/standin/batcher"
)

// stream is the state of a stream that its readers need.
type stream struct {
	id currantwood.EngineStreamID
	// idHash is part of the text of each token.
	idHash uint32
	// ready is the number of tokens that readers may receive.
	ready uint64
	done  bool
	// canceled makes every reader's connection abort.
	canceled bool
	// readers is the number of open connections.
	readers int
	// unreadSince is when the last reader left; valid while readers is 0.
	unreadSince time.Time
	// changed is closed and replaced when ready, done or canceled changes.
	changed chan struct{}
}

// Engine is one model engine stand-in. It is an http.Handler.
type Engine struct {
	options Options
	mux     *http.ServeMux
	// stop is closed by Close, stopped when the step loop has ended.
	stop    chan struct{}
	stopped chan struct{}
	// wake signals an idle step loop that there is work.
	wake chan struct{}

	mu      sync.Mutex
	faults  Faults
	batch   *batcher.Batcher
	streams map[currantwood.EngineStreamID]*stream
	// incarnation is closed and replaced when the engine crashes or closes.
	incarnation chan struct{}
	// downUntil is when the engine is up again after its latest crash.
	downUntil time.Time
	// unfrozen is closed while the engine is not frozen.
	unfrozen chan struct{}
	// loadHistory is in ascending order of time, at most maxLoads long.
	loadHistory []timedLoad
	counts      Counts
	// earlierCounts are the totals of earlier incarnations.
	earlierCounts batcher.Counts
	model         currantwood.ModelID
	version       string
	pool          string
	// highestFencing is the highest fencing number in an order so far.
	highestFencing currantwood.FencingNumber
}

// timedLoad is a load report and the time when it was taken.
type timedLoad struct {
	at   time.Time
	load currantwood.EngineLoad
}

// New starts an engine. Close stops it.
func New(options Options) *Engine {
	e := &Engine{
		options:     options,
		stop:        make(chan struct{}),
		stopped:     make(chan struct{}),
		wake:        make(chan struct{}, 1),
		faults:      options.Faults,
		batch:       batcher.New(options.Batch),
		streams:     map[currantwood.EngineStreamID]*stream{},
		incarnation: make(chan struct{}),
		unfrozen:    closedChannel(),
		model:       options.Model,
		version:     "1",
		pool:        currantwood.PoolMixed.String(),
	}
	e.mux = e.routes()
	go func() {
		defer close(e.stopped)
		for e.wait(e.step()) {
		}
	}()
	return e
}

// Close stops the batch and aborts every stream's connections.
func (e *Engine) Close() {
	close(e.stop)
	<-e.stopped
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endIncarnation()
}

// idlePollInterval is how often the step loop records the load and cancels
// abandoned streams while no step runs.
const idlePollInterval = 200 * time.Millisecond

// wait sleeps for a step's duration and then delivers its tokens. If the
// duration is 0 it sleeps until there is work, for idlePollInterval at most. It
// returns false when the engine is closed.
func (e *Engine) wait(took time.Duration, incarnation chan struct{}, emissions []batcher.Emission) bool {
	wake := e.wake
	if took > 0 {
		wake = nil
	} else {
		took = idlePollInterval
	}
	timer := time.NewTimer(took)
	defer timer.Stop()
	select {
	case <-e.stop:
		return false
	case <-timer.C:
	case <-wake:
	}
	e.deliver(incarnation, emissions)
	return true
}

// step runs one step of the batch. It returns the step's duration, the
// incarnation that it ran in and the tokens, which are due after the duration.
// The duration is 0 when nothing ran.
func (e *Engine) step() (time.Duration, chan struct{}, []batcher.Emission) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelAbandoned(now)
	e.recordLoad(now)
	if e.faults.Freeze || now.Before(e.downUntil) {
		return 0, e.incarnation, nil
	}
	result := e.batch.Step()
	took := result.Duration
	if took > 0 && e.faults.TokensPerSecond > 0 {
		took = time.Second / time.Duration(e.faults.TokensPerSecond)
	}
	return took, e.incarnation, result.Emissions
}

// deliver makes a step's tokens available to the readers, unless the engine has
// crashed since.
func (e *Engine) deliver(incarnation chan struct{}, emissions []batcher.Emission) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if incarnation != e.incarnation {
		return
	}
	for _, emission := range emissions {
		s, known := e.streams[emission.Stream]
		if !known {
			continue
		}
		s.ready = uint64(emission.Index) + 1
		s.done = emission.Last
		if s.done {
			e.counts.Completed++
		}
		s.notifyReaders()
	}
}

// notifyReaders wakes the readers after a change. The caller holds Engine.mu.
func (s *stream) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// cancelAbandoned cancels and removes streams that have had no reader for
// Options.AbandonAfter. The caller holds mu.
func (e *Engine) cancelAbandoned(now time.Time) {
	for id, s := range e.streams {
		if s.readers > 0 || now.Sub(s.unreadSince) < e.options.AbandonAfter {
			continue
		}
		e.batch.Cancel(id)
		delete(e.streams, id)
		if !s.done {
			e.counts.Abandoned++
		}
	}
}

// maxLoads is the maximum number of load reports kept to simulate the report
// lag. A full history loses its older half; the rest covers about 20 s of 10 ms
// steps, the shortest that batcher.DefaultOptions allows.
const maxLoads = 4096

func (e *Engine) recordLoad(now time.Time) {
	load := e.batch.Load()
	load.Model, load.Version, load.Pool = e.model, e.version, e.pool
	if len(e.loadHistory) == maxLoads {
		e.loadHistory = append(e.loadHistory[:0], e.loadHistory[maxLoads/2:]...)
	}
	e.loadHistory = append(e.loadHistory, timedLoad{at: now, load: load})
}

// laggedLoad returns the newest report that is at least Faults.LoadLagMs old, or
// an idle engine's report if there is none. The caller holds mu.
func (e *Engine) laggedLoad(now time.Time) currantwood.EngineLoad {
	lag := time.Duration(e.faults.LoadLagMs) * time.Millisecond
	for i := len(e.loadHistory) - 1; i >= 0; i-- {
		if now.Sub(e.loadHistory[i].at) >= lag {
			return e.loadHistory[i].load
		}
	}
	return currantwood.EngineLoad{MemoryTokens: e.options.Batch.MemoryTokens, Model: e.model, Version: e.version, Pool: e.pool}
}

// Crash crashes and restarts the engine, as the fault CrashOn does.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash(time.Now())
}

// crash drops every stream and the cache, and keeps the engine down for the time
// of the restart. The caller holds mu.
func (e *Engine) crash(now time.Time) {
	restart := e.options.Restart
	if e.faults.RestartMs > 0 {
		restart = time.Duration(e.faults.RestartMs) * time.Millisecond
	}
	e.counts.Crashes++
	e.downUntil = now.Add(restart)
	e.endIncarnation()
}

// endIncarnation drops every stream, the cache and the load history, and aborts
// all streams' connections. The caller holds mu.
func (e *Engine) endIncarnation() {
	e.earlierCounts = e.totals()
	e.batch = batcher.New(e.options.Batch)
	e.streams = map[currantwood.EngineStreamID]*stream{}
	e.loadHistory = nil
	close(e.incarnation)
	e.incarnation = make(chan struct{})
}

// totals returns the batch counts summed over all incarnations. The caller holds
// mu.
func (e *Engine) totals() batcher.Counts {
	now, past := e.batch.Counts(), e.earlierCounts
	return batcher.Counts{
		Tokens:         past.Tokens + now.Tokens,
		Preemptions:    past.Preemptions + now.Preemptions,
		Pauses:         past.Pauses + now.Pauses,
		RepeatedTokens: past.RepeatedTokens + now.RepeatedTokens,
		CacheHitTokens: past.CacheHitTokens + now.CacheHitTokens,
	}
}

func closedChannel() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}
