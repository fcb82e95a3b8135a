package replayer

import (
	"fmt"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/gatekeeper"
	"github.com/currantwood/currantwood/standin/batcher"
	"github.com/currantwood/currantwood/tracer"
)

// engine is one engine with its side.
type engine struct {
	index    int
	upstream currantwood.UpstreamID
	region   currantwood.RegionID
	batch    *batcher.Batcher
	gate     gate
	// flights are those at this engine or its gate.
	flights map[currantwood.RequestID]*flight
	// stepping says that a step is under way.
	stepping bool
	// leaving says that the side refuses new work; gone that all is lost.
	leaving bool
	gone    bool
	// seen is the last cache event that was reported.
	seen uint64
}

func (r *Replayer) newEngine(index int, region currantwood.RegionID) *engine {
	size := batchOptions(r.trace.Header.Engine)
	return &engine{
		index:    index,
		upstream: currantwood.UpstreamID(fmt.Sprint("engine-", index)),
		region:   region,
		batch:    batcher.New(size),
		gate:     r.policy.gate(r, size),
		flights:  map[currantwood.RequestID]*flight{},
	}
}

func batchOptions(size tracer.EngineSize) batcher.Options {
	us := func(n float64) time.Duration { return time.Duration(n * float64(time.Microsecond)) }
	return batcher.Options{
		MemoryTokens:     size.MemoryTokens,
		CacheTokens:      size.CacheTokens,
		MaxRunning:       size.MaxRunning,
		PrefillChunk:     size.PrefillChunk,
		StepBase:         us(size.StepBaseUs),
		StepPerStream:    us(size.StepStreamUs),
		StepPerHeldToken: us(size.StepHeldUs),
		PrefillPerToken:  us(size.PrefillUs),
	}
}

func streamOf(f *flight) currantwood.EngineStreamID { return currantwood.EngineStreamID(f.id) }

// offer gives an attempt to the engine's side.
func (r *Replayer) offer(e *engine, f *flight) {
	if f.over || f.engine != e {
		return
	}
	if e.leaving {
		r.declined(e, f, 0)
		return
	}
	e.flights[f.id] = f
	r.apply(e, e.gate.offer(r.now, f.demand()))
}

// apply does what a gate decided.
func (r *Replayer) apply(e *engine, actions []gatekeeper.Action) {
	for _, action := range actions {
		f := e.flights[action.Request]
		if f == nil {
			// The stream ended with the token that made the gate pause it.
			continue
		}
		switch action.Kind {
		case gatekeeper.ActionStart:
			r.start(f)
			e.batch.Add(jobOf(f))
		case gatekeeper.ActionRefuse:
			delete(e.flights, f.id)
			r.declined(e, f, action.Refusal.RetryAfter)
		case gatekeeper.ActionPause:
			e.batch.Pause(streamOf(f))
		case gatekeeper.ActionUnpause:
			e.batch.Unpause(streamOf(f))
		case gatekeeper.ActionQueue:
		}
	}
	r.step(e)
}

func jobOf(f *flight) batcher.Job {
	return batcher.Job{
		Stream:       streamOf(f),
		Priority:     f.request.Priority,
		PromptTokens: f.request.PromptTokens,
		Prefix:       f.request.PrefixID,
		PrefixTokens: f.request.PrefixTokens,
		OutputTokens: f.request.OutputTokens,
	}
}

// step runs the batch while it has work.
func (r *Replayer) step(e *engine) {
	if e.stepping || e.gone {
		return
	}
	result := e.batch.Step()
	if result.Took == 0 {
		return
	}
	e.stepping = true
	r.after(result.Took, func() {
		e.stepping = false
		if e.gone {
			return
		}
		r.emit(e, result.Emissions)
		r.step(e)
	})
}

// emit hands a step's tokens to the gate and the callers.
func (r *Replayer) emit(e *engine, emissions []batcher.Emission) {
	for _, emission := range emissions {
		id := currantwood.RequestID(emission.Stream)
		f, known := e.flights[id]
		if !known || f.over {
			continue
		}
		delay := r.delay(e.region, f.entry.region)
		r.token(f, r.now.Add(delay))
		if delay > 0 {
			r.measure.crossRegionTokens++
		}
		actions := e.gate.token(r.now, id, emission.Index)
		if emission.Last {
			actions = append(actions, e.gate.finished(r.now, id)...)
			delete(e.flights, id)
			r.complete(f, r.now.Add(delay))
		}
		r.applyDuringEmit(e, actions)
	}
}

// applyDuringEmit applies actions without starting a step, since the emissions
// of the last one are still being read.
func (r *Replayer) applyDuringEmit(e *engine, actions []gatekeeper.Action) {
	if len(actions) == 0 {
		return
	}
	e.stepping = true
	r.apply(e, actions)
	e.stepping = false
}

// tick lets each gate look at the time.
func (r *Replayer) tick() {
	for _, e := range r.engines {
		if !e.gone {
			r.apply(e, e.gate.tick(r.now))
		}
	}
}

// reclaim takes an engine away with all that it holds.
func (r *Replayer) reclaim(e *engine) {
	e.gone = true
	for _, f := range r.flights {
		if f.engine != e || f.over {
			continue
		}
		delete(e.flights, f.id)
		if f.tokens > 0 {
			r.measure.lost++
			r.leaveEntry(f)
			r.detach(f)
			r.end(f)
			continue
		}
		r.declined(e, f, 0)
	}
}
