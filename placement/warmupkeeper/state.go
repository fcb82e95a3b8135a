package warmupkeeper

import (
	"time"

	"github.com/currantwood/currantwood"
)

//go:generate go tool stringer -linecomment -type=Source

// Source is where a statement about an upstream comes from.
type Source uint8

// The sources.
const (
	Record   Source = iota + 1 // record
	Response                   // response
	// Peer is a statement that another gateway has received in a response.
	Peer // gateway
	// Elapsed means that the time which the last statement named is over.
	Elapsed // time
)

// Upstream is an incarnation of an upstream.
type Upstream struct {
	ID          currantwood.UpstreamID
	Group       currantwood.GroupID
	Incarnation int64
}

// Change is the start or the end of a cold period.
type Change struct {
	Upstream Upstream
	Source   Source
	// Cold is whether the period begins; Left is how long it lasts then.
	Cold bool
	Left time.Duration
}

// Period is the cold period of an upstream, as gateways tell it each other.
type Period struct {
	Upstream Upstream
	Until    time.Time
}

// state is what is known of one incarnation of an upstream.
type state struct {
	upstream Upstream
	// recordUntil and responseUntil are the ends of the cold period by the directory record
	// and by responses; recordAt and responseAt are when these were known.
	recordUntil, recordAt     time.Time
	responseUntil, responseAt time.Time
	// ownResponse is whether a response to this gateway said so, rather than another gateway.
	ownResponse bool
	// changedAt is when responseUntil changed by more than the delay of messages.
	changedAt time.Time
	// coldSince is when the period began here; zero while the upstream is warm.
	coldSince time.Time
}

// until returns when the upstream is warm.
func (s *state) until() time.Time {
	if s.responseUntil.After(s.recordUntil) {
		return s.responseUntil
	}
	return s.recordUntil
}

func (s *state) isCold(now time.Time) bool { return s.until().After(now) }

// setByResponse sets the end of the cold period by a response.
func (s *state) setByResponse(now, until time.Time, ownResponse bool) {
	if until.Sub(s.responseUntil).Abs() > sameEnd {
		s.changedAt, s.ownResponse = now, ownResponse
	}
	s.responseUntil, s.responseAt = until, now
}
