// Package watcher wraps a side's engine to detect its crashes. It tracks the
// streams in flight and, when a stream is interrupted, asks the engine whether it
// still has the stream. It also runs the suspects, which are the requests that were
// in flight at an earlier crash of any upstream, one at a time.
//
// A Watcher is a currantwood.Engine itself, so code that runs streams doesn't
// depend on this package.
package watcher

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/isolator"
	"github.com/currantwood/currantwood/quarantiner"
)

const (
	// checkTimeout bounds each call that distinguishes a crash of the engine from
	// an interrupted connection. An engine that doesn't respond to a load request
	// within it is taken to have crashed, even if it is only slow.
	checkTimeout = time.Second
	// cancelGracePeriod is how long a canceled stream still counts as in flight
	// if the engine has not confirmed the cancellation, because the stream may
	// still crash the engine, and how long one that failed to start without a
	// response, because it may have crashed the engine, which another stream shows.
	cancelGracePeriod = 3 * time.Second
	// maxSuspects bounds the suspects that are remembered; further ones run like
	// other requests. A suspect is kept until it runs to its end at this
	// engine.
	maxSuspects = 16 << 10
)

// Options configures a Watcher. All fields are required.
type Options struct {
	Engine   currantwood.Engine
	Upstream currantwood.UpstreamID
	// OnCrash is called once for each crash, before Next returns the error of any
	// stream lost in it, apart from streams that were canceled or whose source was
	// closed. It must not call the watcher, whose mutex is held.
	OnCrash func(crash quarantiner.Crash)
	// OnCleared is called when a suspect has run to its end; at is the time of
	// that end.
	OnCleared func(at time.Time, fingerprint currantwood.Fingerprint)
}

// Watcher is a currantwood.Engine that detects crashes. It is safe for
// concurrent use.
type Watcher struct {
	currantwood.Engine
	options Options

	mu sync.Mutex
	// engineUp is true if the engine has responded since the side started or since
	// the last crash. No stream is started while it is false.
	engineUp bool
	// running holds the fingerprints of the streams that were sent to the engine
	// and have not ended.
	running map[currantwood.EngineStreamID]currantwood.Fingerprint
	// suspects holds the requests that must not run concurrently with each other.
	suspects map[currantwood.Fingerprint]bool
	// canceled is the subset of running for which Cancel was called.
	canceled map[currantwood.EngineStreamID]bool
	isolator *isolator.Isolator
	// waiting holds a channel for each waiting suspect, which is closed once the
	// suspect may run.
	waiting map[currantwood.EngineStreamID]chan struct{}
}

var _ currantwood.Engine = (*Watcher)(nil)

// New returns a watcher for options.Engine.
func New(options Options) *Watcher {
	return &Watcher{
		Engine:   options.Engine,
		options:  options,
		running:  make(map[currantwood.EngineStreamID]currantwood.Fingerprint),
		suspects: make(map[currantwood.Fingerprint]bool),
		canceled: make(map[currantwood.EngineStreamID]bool),
		isolator: isolator.New(),
		waiting:  make(map[currantwood.EngineStreamID]chan struct{}),
	}
}

// FingerprintOf returns the hash of a request's body. It must be the same hash that
// entries compute for the request (package entryserver).
func FingerprintOf(body []byte) currantwood.Fingerprint {
	return currantwood.Fingerprint(xxhash.Sum64(body))
}

// AddSuspect records that a request was in flight at a crash of some upstream.
func (w *Watcher) AddSuspect(fingerprint currantwood.Fingerprint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.suspects) < maxSuspects {
		w.suspects[fingerprint] = true
	}
}

// Generate starts a stream. A suspect waits until no other suspect runs and is
// sent to the engine only then.
func (w *Watcher) Generate(ctx context.Context, g currantwood.GenerationRequest) (currantwood.TokenSource, error) {
	fingerprint := FingerprintOf(g.Prompt)
	if !w.isEngineUp(ctx) {
		return nil, engineDownError()
	}
	if err := w.admit(ctx, g.Stream, fingerprint); err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { w.endAfterGracePeriod(g.Stream) })
	source, err := w.Engine.Generate(ctx, g)
	if err == nil {
		return &watchedSource{TokenSource: source, watcher: w, stream: g.Stream, ctx: ctx}, nil
	}
	if errors.Is(err, currantwood.ErrNotDispatched) {
		w.end(g.Stream)
		return nil, err
	}
	w.checkFailedStart(ctx, g.Stream)
	switch {
	case !stop():
	case errors.Is(err, currantwood.ErrNoResponse) && w.isRunning(g.Stream):
		w.endAfterGracePeriod(g.Stream)
	default:
		w.end(g.Stream)
	}
	return nil, err
}

// endAfterGracePeriod ends a stream after cancelGracePeriod.
func (w *Watcher) endAfterGracePeriod(stream currantwood.EngineStreamID) {
	time.AfterFunc(cancelGracePeriod, func() { w.end(stream) })
}

// checkFailedStart reports a crash if a stream could not be started and the
// engine doesn't respond. An engine that responds is taken to have only refused the
// stream.
func (w *Watcher) checkFailedStart(ctx context.Context, stream currantwood.EngineStreamID) {
	if ctx.Err() == nil && w.isRunning(stream) && !w.engineResponds(ctx) && ctx.Err() == nil {
		w.reportCrash(stream)
	}
}

// isEngineUp reports whether streams may be started. After a crash the engine must
// respond first, so that a stream that is started while the engine is still down
// isn't counted as in flight at another crash.
func (w *Watcher) isEngineUp(ctx context.Context) bool {
	w.mu.Lock()
	up := w.engineUp
	w.mu.Unlock()
	if up {
		return true
	}
	if !w.engineResponds(ctx) {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.engineUp = true
	return true
}

// Resume reopens a stream at the token index from. A running stream that the
// engine doesn't know is taken to be lost in a crash, which Resume reports.
func (w *Watcher) Resume(ctx context.Context, stream currantwood.EngineStreamID, from currantwood.TokenIndex) (currantwood.TokenSource, error) {
	source, err := w.Engine.Resume(ctx, stream, from)
	if err == nil {
		return &watchedSource{TokenSource: source, watcher: w, stream: stream, ctx: ctx}, nil
	}
	if errors.Is(err, currantwood.ErrStreamUnknown) && w.isRunningUncanceled(stream) {
		w.reportCrash(stream)
	}
	return nil, err
}

// Cancel cancels a stream. The end of a canceled stream isn't taken as a sign of a
// crash. If the call fails, the stream counts as in flight for cancelGracePeriod,
// because the engine may still run it.
func (w *Watcher) Cancel(ctx context.Context, stream currantwood.EngineStreamID) error {
	w.markCanceled(stream)
	err := w.Engine.Cancel(ctx, stream)
	if err != nil {
		w.endAfterGracePeriod(stream)
		return err
	}
	w.end(stream)
	return nil
}

// markCanceled marks a running stream as canceled.
func (w *Watcher) markCanceled(stream currantwood.EngineStreamID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, running := w.running[stream]; running {
		w.canceled[stream] = true
	}
}

// admit registers a stream as running. A suspect first waits until it may run.
func (w *Watcher) admit(ctx context.Context, stream currantwood.EngineStreamID, fingerprint currantwood.Fingerprint) error {
	w.mu.Lock()
	if !w.suspects[fingerprint] || w.isolator.Enter(stream) {
		defer w.mu.Unlock()
		return w.register(stream, fingerprint)
	}
	admitted := make(chan struct{})
	w.waiting[stream] = admitted
	w.mu.Unlock()
	select {
	case <-admitted:
	case <-ctx.Done():
		w.end(stream)
		return errors.Wrapf(currantwood.ErrNotDispatched, "watcher: wait apart from other suspects: %v", ctx.Err())
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.register(stream, fingerprint)
}

// register adds a stream to running unless a crash was reported since the engine
// last responded. The caller holds mu.
func (w *Watcher) register(stream currantwood.EngineStreamID, fingerprint currantwood.Fingerprint) error {
	if !w.engineUp {
		w.endLocked(stream)
		return engineDownError()
	}
	w.running[stream] = fingerprint
	return nil
}

func engineDownError() error {
	return errors.Wrap(currantwood.ErrNotDispatched, "watcher: the engine is down")
}

// end removes a stream and lets the next suspect run.
func (w *Watcher) end(stream currantwood.EngineStreamID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endLocked(stream)
}

// endLocked is like end, but the caller holds mu.
func (w *Watcher) endLocked(stream currantwood.EngineStreamID) {
	delete(w.running, stream)
	delete(w.canceled, stream)
	delete(w.waiting, stream)
	next := w.isolator.Leave(stream)
	if admitted := w.waiting[next]; admitted != nil {
		close(admitted)
		delete(w.waiting, next)
	}
}

// handleCompletion ends a stream that the engine has completed. If it was a
// suspect, the suspicion is cleared.
func (w *Watcher) handleCompletion(stream currantwood.EngineStreamID) {
	w.mu.Lock()
	fingerprint, running := w.running[stream]
	suspect := running && w.suspects[fingerprint]
	if suspect {
		delete(w.suspects, fingerprint)
	}
	w.endLocked(stream)
	w.mu.Unlock()
	if suspect {
		w.options.OnCleared(time.Now(), fingerprint)
	}
}

// isRunningUncanceled reports whether a stream is running and was not canceled.
func (w *Watcher) isRunningUncanceled(stream currantwood.EngineStreamID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, running := w.running[stream]
	return running && !w.canceled[stream]
}

func (w *Watcher) isRunning(stream currantwood.EngineStreamID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, running := w.running[stream]
	return running
}

// checkInterrupted handles a connection that ended before EventDone. It reports a
// crash unless the engine responds and may still have the stream.
func (w *Watcher) checkInterrupted(ctx context.Context, stream currantwood.EngineStreamID) {
	if ctx.Err() != nil || !w.isRunningUncanceled(stream) {
		return
	}
	if w.engineResponds(ctx) && w.engineMayHaveStream(ctx, stream) {
		return
	}
	if ctx.Err() == nil {
		w.reportCrash(stream)
	}
}

// engineResponds reports whether the engine responds to a load request.
func (w *Watcher) engineResponds(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	_, err := w.Engine.Load(ctx)
	return err == nil
}

// engineMayHaveStream reports whether the engine may still have a stream. It returns
// false only if the engine says that it doesn't know the stream, so a timeout or
// another error gives true.
func (w *Watcher) engineMayHaveStream(ctx context.Context, stream currantwood.EngineStreamID) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	source, err := w.Engine.Resume(ctx, stream, 0)
	if err == nil {
		_ = source.Close()
	}
	return !errors.Is(err, currantwood.ErrStreamUnknown)
}

// reportCrash reports the crash in which a stream was lost. All other streams in
// flight are part of the report and are ended too. If the stream is no longer in
// flight, nothing is reported: its crash was reported before, or it ended in another
// way.
func (w *Watcher) reportCrash(stream currantwood.EngineStreamID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, running := w.running[stream]; !running {
		return
	}
	w.engineUp = false
	crash := quarantiner.Crash{ID: uuid.NewString(), Upstream: w.options.Upstream, At: time.Now()}
	distinct := make(map[currantwood.Fingerprint]bool)
	for _, fingerprint := range w.running {
		if distinct[fingerprint] {
			continue
		}
		distinct[fingerprint] = true
		crash.InFlight = append(crash.InFlight, fingerprint)
		if len(w.suspects) < maxSuspects {
			w.suspects[fingerprint] = true
		}
	}
	for stream := range w.running {
		w.endLocked(stream)
	}
	w.options.OnCrash(crash)
}

// watchedSource is a token source that checks for a crash when its connection
// fails.
type watchedSource struct {
	currantwood.TokenSource
	watcher *Watcher
	stream  currantwood.EngineStreamID
	ctx     context.Context

	mu     sync.Mutex
	closed bool
}

// Next returns the next event. Unless the source was closed, an error triggers a
// check for a crash. EventDone ends the stream for the watcher.
func (s *watchedSource) Next() (currantwood.TokenEvent, error) {
	event, err := s.TokenSource.Next()
	switch {
	case err != nil && !s.isClosed():
		s.watcher.checkInterrupted(s.ctx, s.stream)
	case err == nil && event.Kind == currantwood.EventDone:
		s.watcher.handleCompletion(s.stream)
	}
	return event, err
}

// Close closes the connection. Later errors of Next aren't checked for a crash.
func (s *watchedSource) Close() error {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	return s.TokenSource.Close()
}

func (s *watchedSource) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}
