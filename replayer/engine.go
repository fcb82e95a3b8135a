package replayer

import (
	"fmt"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/gatekeeper"
	"github.com/currantwood/currantwood/standin/batcher"
	"github.com/currantwood/currantwood/tracer"
)

// engine is a model engine together with the admission at its side.
type engine struct {
	index     int
	upstream  currantwood.UpstreamID
	region    currantwood.RegionID
	batch     *batcher.Batcher
	admission admission
	// requests are those that run on the engine or wait at its side. Requests that
	// reached their deadline there stay in it.
	requests map[currantwood.RequestID]*clientRequest
	// stepping is true while no step may start: one is in progress, or its emissions
	// are being read.
	stepping bool
	// leaving is true once the side refuses new requests, reclaimed once the engine
	// is gone.
	leaving   bool
	reclaimed bool
	// lastCacheEvent is the sequence number of the last reported cache event.
	lastCacheEvent uint64
}

func (r *Replayer) newEngine(index int, region currantwood.RegionID) *engine {
	options := batchOptions(r.trace.Header.Engine)
	return &engine{
		index:     index,
		upstream:  currantwood.UpstreamID(fmt.Sprint("engine-", index)),
		region:    region,
		batch:     batcher.New(options),
		admission: r.policy.newAdmission(r, options),
		requests:  map[currantwood.RequestID]*clientRequest{},
	}
}

func batchOptions(size tracer.EngineSpec) batcher.Options {
	us := func(n float64) time.Duration { return time.Duration(n * float64(time.Microsecond)) }
	return batcher.Options{
		MemoryTokens:     size.MemoryTokens,
		CacheTokens:      size.CacheTokens,
		MaxRunning:       size.MaxRunning,
		PrefillChunk:     size.PrefillChunk,
		StepBase:         us(size.StepBaseUs),
		StepPerStream:    us(size.StepPerStreamUs),
		StepPerHeldToken: us(size.StepPerHeldTokenUs),
		PrefillPerToken:  us(size.PrefillPerTokenUs),
	}
}

// streamID returns the id of a request at the engine, which calls each request a
// stream.
func streamID(req *clientRequest) currantwood.EngineStreamID {
	return currantwood.EngineStreamID(req.id)
}

// offer submits a request to the engine's side.
func (r *Replayer) offer(e *engine, req *clientRequest) {
	if req.done || req.engine != e {
		return
	}
	if e.leaving {
		r.handleRefusal(e, req, 0)
		return
	}
	e.requests[req.id] = req
	r.apply(e, e.admission.offer(r.now, req.demand()))
}

// apply carries out the actions of an engine's admission.
func (r *Replayer) apply(e *engine, actions []gatekeeper.Action) {
	for _, action := range actions {
		req := e.requests[action.Request]
		if req == nil {
			// The request ended with the token that made the admission pause it.
			continue
		}
		switch action.Kind {
		case gatekeeper.ActionStart:
			r.recordStart(req)
			e.batch.Add(jobOf(req))
		case gatekeeper.ActionRefuse:
			delete(e.requests, req.id)
			r.handleRefusal(e, req, action.Refusal.RetryAfter)
		case gatekeeper.ActionPause:
			e.batch.Pause(streamID(req))
		case gatekeeper.ActionUnpause:
			e.batch.Unpause(streamID(req))
		case gatekeeper.ActionQueue:
		}
	}
	r.step(e)
}

func jobOf(req *clientRequest) batcher.Job {
	return batcher.Job{
		Stream:       streamID(req),
		Priority:     req.traced.Priority,
		PromptTokens: req.traced.PromptTokens,
		Prefix:       req.traced.PrefixID,
		PrefixTokens: req.traced.PrefixTokens,
		OutputTokens: req.traced.OutputTokens,
	}
}

// step starts a step of the batch, and further steps while there is work.
func (r *Replayer) step(e *engine) {
	if e.stepping || e.reclaimed {
		return
	}
	result := e.batch.Step()
	if result.Duration == 0 {
		return
	}
	e.stepping = true
	r.after(result.Duration, func() {
		e.stepping = false
		if e.reclaimed {
			return
		}
		r.emit(e, result.Emissions)
		r.step(e)
	})
}

// emit passes the tokens that a step produced to the admission and to the clients.
func (r *Replayer) emit(e *engine, emissions []batcher.Emission) {
	for _, emission := range emissions {
		id := currantwood.RequestID(emission.Stream)
		req, known := e.requests[id]
		if !known || req.done {
			continue
		}
		delay := r.delay(e.region, req.entry.region)
		r.recordToken(req, r.now.Add(delay))
		if delay > 0 {
			r.metrics.crossRegionTokens++
		}
		actions := e.admission.token(r.now, id, emission.Index)
		if emission.Last {
			actions = append(actions, e.admission.finished(r.now, id)...)
			delete(e.requests, id)
			r.complete(req, r.now.Add(delay))
		}
		r.applyDuringEmit(e, actions)
	}
}

// applyDuringEmit carries out actions without starting a step, which would overwrite
// the emissions that are being read.
func (r *Replayer) applyDuringEmit(e *engine, actions []gatekeeper.Action) {
	if len(actions) == 0 {
		return
	}
	e.stepping = true
	r.apply(e, actions)
	e.stepping = false
}

// tick ticks the admission of each engine.
func (r *Replayer) tick() {
	for _, e := range r.engines {
		if !e.reclaimed {
			r.apply(e, e.admission.tick(r.now))
		}
	}
}

// reclaim removes an engine. Requests with output are lost. The others count as
// refused by the engine's side, so their entries may send them to another one.
func (r *Replayer) reclaim(e *engine) {
	e.reclaimed = true
	for _, req := range r.requests {
		if req.engine != e || req.done {
			continue
		}
		delete(e.requests, req.id)
		if req.tokens > 0 {
			r.metrics.lost++
			r.limiterDone(req)
			r.detach(req)
			r.end(req)
			continue
		}
		r.handleRefusal(e, req, 0)
	}
}
