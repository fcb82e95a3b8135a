// Package isolator keeps the suspects of a crash apart at one upstream: at most
// one of them runs at any time, so that a second crash has one suspect only.
package isolator

import (
	"slices"

	"github.com/currantwood/currantwood"
)

// Isolator knows the suspects that run and wait at one upstream. It is not safe
// for concurrent use.
type Isolator struct {
	// running is empty when no suspect runs.
	running currantwood.EngineStreamID
	// waiting is in order of arrival. It is empty while running is.
	waiting []currantwood.EngineStreamID
}

// New returns an isolator without suspects.
func New() *Isolator {
	return &Isolator{}
}

// Enter asks to run a suspect. False means that it waits until a call of Leave
// names it.
func (i *Isolator) Enter(stream currantwood.EngineStreamID) bool {
	if i.running == "" {
		i.running = stream
		return true
	}
	i.waiting = append(i.waiting, stream)
	return false
}

// Leave ends a suspect that runs or gives up one that waits. It returns the
// suspect that runs from now on, or nothing when that has not changed.
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
