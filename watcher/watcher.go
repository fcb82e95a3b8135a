// Package watcher stands between a side and its engine and notices crashes of
// the engine: it knows the streams in flight and, when one is cut, finds out
// whether the engine lost it. It also keeps suspects of earlier crashes apart.
//
// It is a currantwood.Engine itself, so the stages that drive streams don't
// know of it.
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
	// checkTimeout bounds the calls that tell a crash from a cut connection.
	checkTimeout = time.Second
	// lingerTime is how long a stream that was given up, and that the engine
	// has not confirmed to be gone, counts as in flight: a crash may still be
	// its doing.
	lingerTime = 3 * time.Second
	// maxSuspects bounds the suspects that are kept apart.
	maxSuspects = 16 << 10
)

// Options says what a watcher needs.
type Options struct {
	Engine   currantwood.Engine
	Upstream currantwood.UpstreamID
	// Crashed is called once for each crash, before any stream that was lost
	// by it is reported as lost.
	Crashed func(crash quarantiner.Crash)
	// Cleared is called when a suspect has run to its end.
	Cleared func(at time.Time, fingerprint currantwood.Fingerprint)
}

// Watcher is a currantwood.Engine. It is safe for concurrent use.
type Watcher struct {
	currantwood.Engine
	options Options

	mu sync.Mutex
	// up is whether the engine has answered since the side started or the last
	// crash. Streams run only while it is true.
	up bool
	// running holds the streams that the engine was asked to run and that
	// have not ended.
	running map[currantwood.EngineStreamID]currantwood.Fingerprint
	// suspects holds the requests that must not run together.
	suspects map[currantwood.Fingerprint]bool
	// givenUp holds the running streams that were cancelled.
	givenUp  map[currantwood.EngineStreamID]bool
	isolator *isolator.Isolator
	// admitted wakes the suspects that wait.
	admitted map[currantwood.EngineStreamID]chan struct{}
}

var _ currantwood.Engine = (*Watcher)(nil)

// New returns a watcher of one engine.
func New(options Options) *Watcher {
	return &Watcher{
		Engine:   options.Engine,
		options:  options,
		running:  make(map[currantwood.EngineStreamID]currantwood.Fingerprint),
		suspects: make(map[currantwood.Fingerprint]bool),
		givenUp:  make(map[currantwood.EngineStreamID]bool),
		isolator: isolator.New(),
		admitted: make(map[currantwood.EngineStreamID]chan struct{}),
	}
}

// FingerprintOf hashes a request's body. Entries and sides use the same hash.
func FingerprintOf(body []byte) currantwood.Fingerprint {
	return currantwood.Fingerprint(xxhash.Sum64(body))
}

// Suspect notes that a request was in flight at a crash somewhere.
func (w *Watcher) Suspect(fingerprint currantwood.Fingerprint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.suspects) < maxSuspects {
		w.suspects[fingerprint] = true
	}
}

// Generate starts a stream. A suspect waits until no other one runs; while it
// waits the engine is not asked.
func (w *Watcher) Generate(ctx context.Context, g currantwood.GenerationRequest) (currantwood.TokenSource, error) {
	fingerprint := FingerprintOf(g.Prompt)
	if !w.isUp(ctx) {
		return nil, errDown()
	}
	if err := w.enter(ctx, g.Stream, fingerprint); err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { w.linger(g.Stream) })
	source, err := w.Engine.Generate(ctx, g)
	if err == nil {
		return &watchedSource{TokenSource: source, watcher: w, stream: g.Stream, ctx: ctx}, nil
	}
	if errors.Is(err, currantwood.ErrNotDispatched) {
		w.end(g.Stream)
		return nil, err
	}
	w.failed(ctx, g.Stream)
	if stop() {
		w.end(g.Stream)
	}
	return nil, err
}

// linger forgets a stream after a while.
func (w *Watcher) linger(stream currantwood.EngineStreamID) {
	time.AfterFunc(lingerTime, func() { w.end(stream) })
}

// failed looks into a stream that could not be started. An engine that answers
// has only refused it.
func (w *Watcher) failed(ctx context.Context, stream currantwood.EngineStreamID) {
	if ctx.Err() == nil && w.isRunning(stream) && !w.answers(ctx) && ctx.Err() == nil {
		w.crashed(stream)
	}
}

// isUp reports whether streams may be started. After a crash the engine must
// have answered first: a stream that finds it still down was not in flight at
// another crash.
func (w *Watcher) isUp(ctx context.Context) bool {
	w.mu.Lock()
	up := w.up
	w.mu.Unlock()
	if up {
		return true
	}
	if !w.answers(ctx) {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.up = true
	return true
}

// Resume opens a stream again. One that the engine has lost was in flight at a
// crash.
func (w *Watcher) Resume(ctx context.Context, stream currantwood.EngineStreamID, from currantwood.TokenIndex) (currantwood.TokenSource, error) {
	source, err := w.Engine.Resume(ctx, stream, from)
	if err == nil {
		return &watchedSource{TokenSource: source, watcher: w, stream: stream, ctx: ctx}, nil
	}
	if errors.Is(err, currantwood.ErrStreamUnknown) && w.isWanted(stream) {
		w.crashed(stream)
	}
	return nil, err
}

// Cancel gives a stream up. Its end says nothing about the engine. One that the
// engine doesn't know may still be on its way there.
func (w *Watcher) Cancel(ctx context.Context, stream currantwood.EngineStreamID) error {
	w.giveUp(stream)
	err := w.Engine.Cancel(ctx, stream)
	if err != nil {
		w.linger(stream)
		return err
	}
	w.end(stream)
	return nil
}

// giveUp notes that the end of a stream says nothing from now on.
func (w *Watcher) giveUp(stream currantwood.EngineStreamID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, running := w.running[stream]; running {
		w.givenUp[stream] = true
	}
}

// enter registers a stream, for a suspect once it may run.
func (w *Watcher) enter(ctx context.Context, stream currantwood.EngineStreamID, fingerprint currantwood.Fingerprint) error {
	w.mu.Lock()
	if !w.suspects[fingerprint] || w.isolator.Enter(stream) {
		defer w.mu.Unlock()
		return w.register(stream, fingerprint)
	}
	admitted := make(chan struct{})
	w.admitted[stream] = admitted
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

// register takes a stream in as running, unless a crash was reported since the
// engine last answered. The caller holds mu.
func (w *Watcher) register(stream currantwood.EngineStreamID, fingerprint currantwood.Fingerprint) error {
	if !w.up {
		w.leave(stream)
		return errDown()
	}
	w.running[stream] = fingerprint
	return nil
}

func errDown() error {
	return errors.Wrap(currantwood.ErrNotDispatched, "watcher: the engine is down")
}

// end forgets a stream and lets the next suspect run.
func (w *Watcher) end(stream currantwood.EngineStreamID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leave(stream)
}

// leave is end for a caller that holds mu.
func (w *Watcher) leave(stream currantwood.EngineStreamID) {
	delete(w.running, stream)
	delete(w.givenUp, stream)
	delete(w.admitted, stream)
	next := w.isolator.Leave(stream)
	if admitted := w.admitted[next]; admitted != nil {
		close(admitted)
		delete(w.admitted, next)
	}
}

// completed ends a stream that the engine has finished.
func (w *Watcher) completed(stream currantwood.EngineStreamID) {
	w.mu.Lock()
	fingerprint, running := w.running[stream]
	suspect := running && w.suspects[fingerprint]
	if suspect {
		delete(w.suspects, fingerprint)
	}
	w.leave(stream)
	w.mu.Unlock()
	if suspect {
		w.options.Cleared(time.Now(), fingerprint)
	}
}

// isWanted reports whether a stream is running and was not cancelled.
func (w *Watcher) isWanted(stream currantwood.EngineStreamID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, running := w.running[stream]
	return running && !w.givenUp[stream]
}

func (w *Watcher) isRunning(stream currantwood.EngineStreamID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, running := w.running[stream]
	return running
}

// cut looks into the end of a stream's connection before its last event.
func (w *Watcher) cut(ctx context.Context, stream currantwood.EngineStreamID) {
	if ctx.Err() != nil || !w.isWanted(stream) {
		return
	}
	if w.answers(ctx) && w.knows(ctx, stream) {
		return
	}
	if ctx.Err() == nil {
		w.crashed(stream)
	}
}

// answers reports whether the engine answers at all.
func (w *Watcher) answers(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	_, err := w.Engine.Load(ctx)
	return err == nil
}

// knows reports whether the engine still has a stream.
func (w *Watcher) knows(ctx context.Context, stream currantwood.EngineStreamID) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	source, err := w.Engine.Resume(ctx, stream, 0)
	if err == nil {
		_ = source.Close()
	}
	return !errors.Is(err, currantwood.ErrStreamUnknown)
}

// crashed reports the crash that lost a stream, with all that was in flight,
// which is lost too. A stream that is not in flight belongs to a crash that was
// reported before.
func (w *Watcher) crashed(stream currantwood.EngineStreamID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, running := w.running[stream]; !running {
		return
	}
	w.up = false
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
		w.leave(stream)
	}
	w.options.Crashed(crash)
}

// watchedSource is a token source whose end is looked into.
type watchedSource struct {
	currantwood.TokenSource
	watcher *Watcher
	stream  currantwood.EngineStreamID
	ctx     context.Context

	mu     sync.Mutex
	closed bool
}

// Next waits for the next event.
func (s *watchedSource) Next() (currantwood.TokenEvent, error) {
	event, err := s.TokenSource.Next()
	switch {
	case err != nil && !s.isClosed():
		s.watcher.cut(s.ctx, s.stream)
	case err == nil && event.Kind == currantwood.EventDone:
		s.watcher.completed(s.stream)
	}
	return event, err
}

// Close gives the source up.
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
