// Package configasker decides from where a gateway gets a version of the configuration
// that it has heard of. The collector has read it already, so the gateway asks for it, and
// reads the store only if no answer arrives: otherwise each version would be read as often
// as there are gateways.
package configasker

import (
	"time"

	"github.com/currantwood/currantwood"
)

//go:generate go tool stringer -type Action -linecomment

// Action is what to do about a version that this gateway lacks.
type Action uint8

const (
	// ActionWait waits for the answer to a question.
	ActionWait Action = iota // wait
	// ActionAsk asks the collector.
	ActionAsk // ask
	// ActionRead reads the store.
	ActionRead // read
)

const (
	// repeatInterval is the time after which a question is asked again, as datagrams are
	// lost.
	repeatInterval = 120 * time.Millisecond
	// askTimeout is how long a gateway is behind before it reads the store.
	askTimeout = 350 * time.Millisecond
)

// Asker holds the questions of one gateway. Its zero value lacks no version. It is not
// safe for concurrent use.
type Asker struct {
	// version is the newest version that is lacking; 0 if none is.
	version currantwood.ConfigurationVersion
	// behindSince is when the first of the versions was heard of that are lacking. A
	// newer version doesn't change it, so that versions in quick succession can't put
	// off the read.
	behindSince time.Time
	// askedAt is when version was last asked for; zero if it wasn't.
	askedAt time.Time
	// declined is whether the collector has declined to send version.
	declined bool
}

// Next returns what to do now about a version that is newer than this gateway's.
func (a *Asker) Next(now time.Time, version currantwood.ConfigurationVersion) Action {
	if a.version == 0 {
		a.behindSince = now
	}
	if version != a.version {
		a.version, a.askedAt, a.declined = version, time.Time{}, false
	}
	if a.declined || now.Sub(a.behindSince) >= askTimeout {
		return ActionRead
	}
	if now.Sub(a.askedAt) < repeatInterval {
		return ActionWait
	}
	a.askedAt = now
	return ActionAsk
}

// Decline notes that the collector doesn't send a version.
func (a *Asker) Decline(version currantwood.ConfigurationVersion) {
	if version == a.version {
		a.declined = true
	}
}

// CaughtUp notes that this gateway holds the newest version that it has heard of.
func (a *Asker) CaughtUp() { *a = Asker{} }
