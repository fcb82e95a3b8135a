// Package crashreporter is a side's part in stopping a request that crashes its
// upstreams: it tells entries of crashes and the engine's watcher of suspects.
package crashreporter

import (
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/linker"
	"github.com/currantwood/currantwood/quarantiner"
	"github.com/currantwood/currantwood/watcher"
	"github.com/currantwood/currantwood/wire"
)

// Options says what a reporter needs.
type Options struct {
	Engine   currantwood.Engine
	Upstream currantwood.UpstreamID
	// Broadcast sends a frame on every live link.
	Broadcast func(frame *wire.Frame)
	// Leaving reports whether the upstream is leaving: an engine that is taken
	// away has not crashed.
	Leaving func() bool
}

// Reporter is a distributor.Handler.
type Reporter struct {
	options Options
	watcher *watcher.Watcher
}

// New makes a reporter and its watcher of the engine.
func New(options Options) *Reporter {
	r := &Reporter{options: options}
	r.watcher = watcher.New(watcher.Options{
		Engine:   options.Engine,
		Upstream: options.Upstream,
		Crashed:  r.crashed,
		Cleared:  r.cleared,
	})
	return r
}

// Engine is the engine as the stages of the side are to see it.
func (r *Reporter) Engine() currantwood.Engine { return r.watcher }

// Up needs nothing of a new link.
func (r *Reporter) Up(*linker.Link) {}

// Down needs nothing of a closed link.
func (r *Reporter) Down(*linker.Link, error) {}

// Frame takes in the notice of a suspect.
func (r *Reporter) Frame(_ *linker.Link, frame *wire.Frame) bool {
	suspicion := frame.GetSuspicion()
	if suspicion == nil {
		return false
	}
	r.watcher.Suspect(currantwood.Fingerprint(suspicion.Fingerprint))
	return true
}

func (r *Reporter) crashed(crash quarantiner.Crash) {
	if r.options.Leaving() {
		return
	}
	r.options.Broadcast(crash.Frame(time.Now()))
}

func (r *Reporter) cleared(at time.Time, fingerprint currantwood.Fingerprint) {
	r.options.Broadcast(&wire.Frame{Body: &wire.Frame_Cleared{Cleared: &wire.Cleared{
		Fingerprint: uint64(fingerprint),
		AgeMs:       time.Since(at).Milliseconds(),
	}}})
}
