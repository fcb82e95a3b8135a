package engine

import (
	"net/http"
	"sync"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/standin/batcher"
)

// stream is what the HTTP side knows of a stream.
type stream struct {
	id   currantwood.EngineStreamID
	mark uint32
	// ready is the number of tokens that a reader may have.
	ready uint64
	done  bool
	// cancelled cuts every reader.
	cancelled bool
	// readers counts open connections; idleSince is valid when it is 0.
	readers   int
	idleSince time.Time
	// changed is closed and replaced when ready or done changes.
	changed chan struct{}
}

// Engine is one model engine stand-in. It is an http.Handler.
type Engine struct {
	options Options
	mux     *http.ServeMux
	stop    chan struct{}
	stopped chan struct{}
	wake    chan struct{}

	mu      sync.Mutex
	faults  Faults
	batch   *batcher.Batcher
	streams map[currantwood.EngineStreamID]*stream
	// life is closed when the engine crashes and replaced on its restart.
	life chan struct{}
	// downUntil is in the future while the engine restarts.
	downUntil time.Time
	// thawed is closed when the engine is not frozen.
	thawed  chan struct{}
	loads   []timedLoad
	counts  Counts
	past    batcher.Counts
	model   currantwood.ModelID
	version string
	pool    string
	fencing currantwood.FencingNumber
}

// timedLoad is a load report and when it was true.
type timedLoad struct {
	at   time.Time
	load currantwood.EngineLoad
}

// New starts an engine. Close stops it.
func New(options Options) *Engine {
	e := &Engine{
		options: options,
		stop:    make(chan struct{}),
		stopped: make(chan struct{}),
		wake:    make(chan struct{}, 1),
		faults:  options.Faults,
		batch:   batcher.New(options.Batch),
		streams: map[currantwood.EngineStreamID]*stream{},
		life:    make(chan struct{}),
		thawed:  closedChannel(),
		model:   options.Model,
		version: "1",
		pool:    currantwood.PoolMixed.String(),
	}
	e.mux = e.routes()
	go func() {
		defer close(e.stopped)
		for e.wait(e.step()) {
		}
	}()
	return e
}

// Close stops the batch and cuts every stream.
func (e *Engine) Close() {
	close(e.stop)
	<-e.stopped
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loseStreams()
}

// idlePoll is how often an idle engine looks for streams to let go.
const idlePoll = 200 * time.Millisecond

// wait sleeps for a step's duration, or until there is work when that is 0. It
// returns false when the engine is closed.
func (e *Engine) wait(took time.Duration, life chan struct{}, emissions []batcher.Emission) bool {
	wake := e.wake
	if took > 0 {
		wake = nil
	} else {
		took = idlePoll
	}
	timer := time.NewTimer(took)
	defer timer.Stop()
	select {
	case <-e.stop:
		return false
	case <-timer.C:
	case <-wake:
	}
	e.deliver(life, emissions)
	return true
}

// step runs the batch once and returns how long that takes.
func (e *Engine) step() (time.Duration, chan struct{}, []batcher.Emission) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.letGo(now)
	e.recordLoad(now)
	if e.faults.Freeze || now.Before(e.downUntil) {
		return 0, e.life, nil
	}
	result := e.batch.Step()
	took := result.Took
	if took > 0 && e.faults.TokensPerSecond > 0 {
		took = time.Second / time.Duration(e.faults.TokensPerSecond)
	}
	return took, e.life, result.Emissions
}

// deliver shows a step's tokens to the readers, unless the engine has crashed
// since.
func (e *Engine) deliver(life chan struct{}, emissions []batcher.Emission) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if life != e.life {
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
		s.announce()
	}
}

func (s *stream) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// letGo drops streams that have had no reader for too long.
func (e *Engine) letGo(now time.Time) {
	for id, s := range e.streams {
		if s.readers > 0 || now.Sub(s.idleSince) < e.options.LetGo {
			continue
		}
		e.batch.Cancel(id)
		delete(e.streams, id)
		if !s.done {
			e.counts.LetGo++
		}
	}
}

// maxLoads bounds the load reports that are kept for the lag.
const maxLoads = 4096

func (e *Engine) recordLoad(now time.Time) {
	load := e.batch.Load()
	load.Model, load.Version, load.Pool = e.model, e.version, e.pool
	if len(e.loads) == maxLoads {
		e.loads = append(e.loads[:0], e.loads[maxLoads/2:]...)
	}
	e.loads = append(e.loads, timedLoad{at: now, load: load})
}

// lateLoad returns the newest report that is at least the lag old.
func (e *Engine) lateLoad(now time.Time) currantwood.EngineLoad {
	lag := time.Duration(e.faults.LoadLagMs) * time.Millisecond
	for i := len(e.loads) - 1; i >= 0; i-- {
		if now.Sub(e.loads[i].at) >= lag {
			return e.loads[i].load
		}
	}
	return currantwood.EngineLoad{MemoryTokens: e.options.Batch.MemoryTokens, Model: e.model, Version: e.version, Pool: e.pool}
}

// Crash ends the engine as a fault of its own would, and restarts it.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash(time.Now())
}

// crash loses every stream and the cache and takes the engine away for the
// restart. The caller holds the lock.
func (e *Engine) crash(now time.Time) {
	restart := e.options.Restart
	if e.faults.RestartMs > 0 {
		restart = time.Duration(e.faults.RestartMs) * time.Millisecond
	}
	e.counts.Crashes++
	e.downUntil = now.Add(restart)
	e.loseStreams()
}

func (e *Engine) loseStreams() {
	e.past = e.totals()
	e.batch = batcher.New(e.options.Batch)
	e.streams = map[currantwood.EngineStreamID]*stream{}
	e.loads = nil
	close(e.life)
	e.life = make(chan struct{})
}

// totals adds up the batches of all lives.
func (e *Engine) totals() batcher.Counts {
	now, past := e.batch.Counts(), e.past
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
