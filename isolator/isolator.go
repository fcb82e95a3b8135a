// Package isolator serializes the suspects at one upstream, which are the
// requests that were in flight at an earlier crash of any upstream. At most one of
// them runs at any time, so that at most one is in flight at the next crash.
package isolator

import (
	"slices"

	"github.com/currantwood/currantwood"
)

// Isolator tracks the running suspect and the queue of waiting suspects at one
// upstream. It is not safe for concurrent use.
type Isolator struct {
	// running is the running suspect, or empty if none runs.
	running currantwood.EngineStreamID
	// waiting is in order of arrival. It is empty if running is empty.
	waiting []currantwood.EngineStreamID
}

// New returns an isolator without suspects.
func New() *Isolator {
	return &Isolator{}
}

// Enter records a suspect as running and returns true if no other runs. Otherwise
// it queues the suspect, which may run once a call of Leave returns it.
func (i *Isolator) Enter(stream currantwood.EngineStreamID) bool {
	if i.running == "" {
		i.running = stream
		return true
	}
	i.waiting = append(i.waiting, stream)
	return false
}

// Leave removes a suspect, whether it runs or waits. It returns the suspect that
// may run as a result, now recorded as running, or "" if there is none.
func (i *Isolator) Leave(stream currantwood.EngineStreamID) currantwood.EngineStreamID {
	if i.running != stream {
		i.waiting = slices.DeleteFunc(i.waiting, func(id currantwood.EngineStreamID) bool { return id == stream })
		return ""
	}
	i.running = ""
	if len(i.waiting) == 0 {
		return ""
	}
	i.running = i.waiting[0]
	i.waiting = slices.Delete(i.waiting, 0, 1)
	return i.running
}
