// Package crashhandler is the entry's part of the quarantine for requests that
// crash upstreams. It records crash reports from sides, forwards them to the
// other entries, refuses quarantined requests and notifies sides of suspects.
package crashhandler

import (
	"sync"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/linker"
	"github.com/currantwood/currantwood/quarantiner"
	"github.com/currantwood/currantwood/wire"
)

// step names this package in refusals.
const step = "crashhandler"

// Handler is a distributor.Handler. It is safe for concurrent use.
type Handler struct {
	mu          sync.Mutex
	quarantiner *quarantiner.Quarantiner
	// entryLinks is the set of live links to other entries.
	entryLinks map[*linker.Link]bool
	// receivedReports is true once another entry has sent all the crash reports
	// that it holds.
	receivedReports bool
}

// New returns a handler without reports.
func New(options quarantiner.Options) *Handler {
	return &Handler{
		quarantiner: quarantiner.New(options),
		entryLinks:  make(map[*linker.Link]bool),
	}
}

// Up sends all known crashes to a newly linked entry, which may have just
// started. A report with an empty ID marks the end of the list.
func (h *Handler) Up(link *linker.Link) {
	if link.Peer().Role != currantwood.RoleEntry.String() {
		return
	}
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.entryLinks[link] = true
	for _, crash := range h.quarantiner.Crashes(now) {
		_ = link.Send(crash.Frame(now))
	}
	_ = link.Send(quarantiner.Crash{At: now}.Frame(now))
}

// ReceivedReports reports whether another entry has sent all the crash reports that it
// holds.
func (h *Handler) ReceivedReports() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.receivedReports
}

// Down removes a closed link.
func (h *Handler) Down(link *linker.Link, _ error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.entryLinks, link)
}

// Frame records a crash report or the notice that a suspect has run to its end. If
// it is new, Frame forwards it to all other entries, so that each entry forwards it
// at most once. Frame returns false for frames of other kinds.
func (h *Handler) Frame(link *linker.Link, frame *wire.Frame) bool {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	isNew := false
	switch body := frame.Body.(type) {
	case *wire.Frame_Crash:
		isNew = h.recordCrash(now, body.Crash)
	case *wire.Frame_Cleared:
		at := now.Add(-time.Duration(body.Cleared.AgeMs) * time.Millisecond)
		isNew = h.quarantiner.RecordCompletion(now, at, currantwood.Fingerprint(body.Cleared.Fingerprint))
	default:
		return false
	}
	for other := range h.entryLinks {
		if isNew && other != link {
			_ = other.Send(frame)
		}
	}
	return true
}

// recordCrash records a crash report and returns whether it is new. The caller
// holds mu.
func (h *Handler) recordCrash(now time.Time, crash *wire.Crash) bool {
	if crash.Id == "" {
		h.receivedReports = true
		return false
	}
	return h.quarantiner.RecordCrash(now, quarantiner.CrashFromWire(now, crash))
}

// Check returns a refusal for a quarantined request and nil for any other.
func (h *Handler) Check(now time.Time, fingerprint currantwood.Fingerprint) *currantwood.Refusal {
	status, remaining := h.status(now, fingerprint)
	if status != quarantiner.Quarantined {
		return nil
	}
	return currantwood.NewRefusal(currantwood.KindQuarantined, step, "upstreams crashed while they ran this request", remaining)
}

// Announce notifies a side if a request is a suspect. It is called before each
// request is sent, on the same link.
func (h *Handler) Announce(now time.Time, link *linker.Link, fingerprint currantwood.Fingerprint) {
	if status, _ := h.status(now, fingerprint); status == quarantiner.Clear {
		return
	}
	_ = link.Send(&wire.Frame{Body: &wire.Frame_Suspicion{Suspicion: &wire.Suspicion{Fingerprint: uint64(fingerprint)}}})
}

func (h *Handler) status(now time.Time, fingerprint currantwood.Fingerprint) (quarantiner.Status, time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.quarantiner.Status(now, fingerprint)
}
