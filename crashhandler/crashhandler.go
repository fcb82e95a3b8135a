// Package crashhandler is an entry's part in stopping a request that crashes
// its upstreams: it takes in the reports of sides, passes them on to the other
// entries, refuses what is quarantined and tells sides who is a suspect.
package crashhandler

import (
	"sync"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/linker"
	"github.com/currantwood/currantwood/quarantiner"
	"github.com/currantwood/currantwood/wire"
)

const step = "crashhandler"

// Handler is a distributor.Handler. It is safe for concurrent use.
type Handler struct {
	mu          sync.Mutex
	quarantiner *quarantiner.Quarantiner
	// entries holds the live links to other entries.
	entries map[*linker.Link]bool
	// informed is whether another entry has told all that it knows.
	informed bool
}

// New makes a handler without reports.
func New(options quarantiner.Options) *Handler {
	return &Handler{
		quarantiner: quarantiner.New(options),
		entries:     make(map[*linker.Link]bool),
	}
}

// Up tells another entry all that is known here, for it may be new. A report
// without an id ends the list.
func (h *Handler) Up(link *linker.Link) {
	if link.Peer().Role != currantwood.RoleEntry.String() {
		return
	}
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.entries[link] = true
	for _, crash := range h.quarantiner.Crashes(now) {
		_ = link.Send(crash.Frame(now))
	}
	_ = link.Send(quarantiner.Crash{At: now}.Frame(now))
}

// Informed reports whether this process knows what another entry knew of
// crashes.
func (h *Handler) Informed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.informed
}

// Down forgets a link.
func (h *Handler) Down(link *linker.Link, _ error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.entries, link)
}

// Frame takes in a report or a clearance. What is new here goes on to all other
// entries, so that each entry sends it once.
func (h *Handler) Frame(link *linker.Link, frame *wire.Frame) bool {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	fresh := false
	switch body := frame.Body.(type) {
	case *wire.Frame_Crash:
		fresh = h.report(now, body.Crash)
	case *wire.Frame_Cleared:
		at := now.Add(-time.Duration(body.Cleared.AgeMs) * time.Millisecond)
		fresh = h.quarantiner.RecordCompletion(now, at, currantwood.Fingerprint(body.Cleared.Fingerprint))
	default:
		return false
	}
	for peer := range h.entries {
		if fresh && peer != link {
			_ = peer.Send(frame)
		}
	}
	return true
}

// report returns whether a report is new. The caller holds mu.
func (h *Handler) report(now time.Time, crash *wire.Crash) bool {
	if crash.Id == "" {
		h.informed = true
		return false
	}
	return h.quarantiner.RecordCrash(now, quarantiner.CrashFromWire(now, crash))
}

// Check refuses a quarantined request; nil lets it run.
func (h *Handler) Check(now time.Time, fingerprint currantwood.Fingerprint) *currantwood.Refusal {
	status, left := h.status(now, fingerprint)
	if status != quarantiner.Quarantined {
		return nil
	}
	return currantwood.NewRefusal(currantwood.KindQuarantined, step, "upstreams crashed while they ran this request", left)
}

// Announce tells a side of a suspect, ahead of its start on the same link.
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
