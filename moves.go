package currantwood

import (
	"slices"
	"time"

	"github.com/pkg/errors"
)

// RunCopy identifies the memory of a run that was copied to another engine.
type RunCopy struct {
	// Source is the address of the engine that the run was copied from.
	Source string
	// Handle identifies the copy; it is valid only at Source.
	Handle string
	// SourceLeaving is whether the source said that it is about to shut down.
	SourceLeaving bool
	// SourceStopped is whether the source said that it doesn't run the request any more.
	SourceStopped bool
}

// ErrNoRoom means that an engine refused a copy or could not place it, which may be
// temporary.
var ErrNoRoom = errors.New("no room for the copy")

// UpstreamState is the state that an upstream reports about itself.
type UpstreamState struct {
	// Incarnation is the value of UpstreamRecord.Incarnation for this instance.
	Incarnation int64
	// Leaving is whether the upstream is about to shut down.
	Leaving bool
	// WarmUp is what the response with the state says of the upstream's warm-up.
	WarmUp WarmUp
	// Runs are the runs that the upstream works on; empty if it doesn't tell.
	Runs []RunState
}

// FindRun returns the run of a request and whether the upstream works on it.
func (s UpstreamState) FindRun(id RequestID) (RunState, bool) {
	at := slices.IndexFunc(s.Runs, func(r RunState) bool { return r.Request == id })
	if at < 0 {
		return RunState{}, false
	}
	return s.Runs[at], true
}

// RunState is what an engine reports about a run.
type RunState struct {
	Request RequestID
	// Events is the number of events that the run has generated; 0 if the engine doesn't
	// tell.
	Events int64
}

// StateReader reads the state that upstreams report about themselves.
type StateReader interface {
	// State requests the state of the upstream at address.
	State(address string, timeout time.Duration) (UpstreamState, error)
}

// CopyOrder asks an engine to copy a run to another engine.
type CopyOrder struct {
	Request RequestID
	// From and To are the addresses, host:port, of the engine that runs the request and
	// of the one that gets the copy.
	From, To string
	// Stop ends the run before the rest of its memory is copied; the source closes the
	// stream without its end. Otherwise the run continues at the source.
	Stop bool
}

// RunMover copies runs between engines. A run is the generation that an engine runs
// for a request; its key-value cache is what is copied.
type RunMover interface {
	// Copy carries out an order and returns when the copy is complete. It fails with
	// ErrNoRoom if another target, or a later attempt, may succeed. SourceLeaving and
	// SourceStopped of the copy are valid also if it fails. If it has stopped a run whose
	// copy found no room, Handle is valid, too: the source keeps the memory.
	Copy(order CopyOrder, timeout time.Duration) (RunCopy, error)
	// Drop frees an unused copy.
	Drop(copied RunCopy, timeout time.Duration) error
}
