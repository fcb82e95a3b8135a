// Package crashreporter is the side's part of the quarantine for requests that
// crash upstreams. It reports crashes and clearances to entries and passes
// suspects on to the engine's watcher.
package crashreporter

import (
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/linker"
	"github.com/currantwood/currantwood/quarantiner"
	"github.com/currantwood/currantwood/watcher"
	"github.com/currantwood/currantwood/wire"
)

// Options configures a Reporter. All fields are required.
type Options struct {
	Engine   currantwood.Engine
	Upstream currantwood.UpstreamID
	// Broadcast sends a frame on every live link.
	Broadcast func(frame *wire.Frame)
	// Leaving reports whether the upstream is leaving. Crashes are not reported
	// then, because an engine that is being shut down has not crashed.
	Leaving func() bool
}

// Reporter broadcasts the crashes of one engine. It is a distributor.Handler.
type Reporter struct {
	options Options
	watcher *watcher.Watcher
}

// New returns a reporter with a watcher around options.Engine.
func New(options Options) *Reporter {
	r := &Reporter{options: options}
	r.watcher = watcher.New(watcher.Options{
		Engine:    options.Engine,
		Upstream:  options.Upstream,
		OnCrash:   r.broadcastCrash,
		OnCleared: r.broadcastClearance,
	})
	return r
}

// Engine returns the watched engine. The side must use it instead of
// Options.Engine.
func (r *Reporter) Engine() currantwood.Engine { return r.watcher }

// Up ignores new links.
func (r *Reporter) Up(*linker.Link) {}

// Down ignores closed links.
func (r *Reporter) Down(*linker.Link, error) {}

// Frame handles the notice of a suspect and returns false for other frames.
func (r *Reporter) Frame(_ *linker.Link, frame *wire.Frame) bool {
	suspicion := frame.GetSuspicion()
	if suspicion == nil {
		return false
	}
	r.watcher.AddSuspect(currantwood.Fingerprint(suspicion.Fingerprint))
	return true
}

// broadcastCrash reports a crash to all entries unless the upstream is leaving.
func (r *Reporter) broadcastCrash(crash quarantiner.Crash) {
	if r.options.Leaving() {
		return
	}
	r.options.Broadcast(crash.Frame(time.Now()))
}

// broadcastClearance reports to all entries that a suspect ran to its end at the
// time at.
func (r *Reporter) broadcastClearance(at time.Time, fingerprint currantwood.Fingerprint) {
	r.options.Broadcast(&wire.Frame{Body: &wire.Frame_Cleared{Cleared: &wire.Cleared{
		Fingerprint: uint64(fingerprint),
		AgeMs:       time.Since(at).Milliseconds(),
	}}})
}
