package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/balancer"
	"github.com/currantwood/currantwood/upstreamkeeper"
)

// incarnationTimeout bounds the question whether an upstream still runs the incarnation
// that the directory shows.
const incarnationTimeout = 300 * time.Millisecond

// hasBegun reports whether the client has received an event of the stream, in this
// attempt or in an earlier one.
func (s *stream) hasBegun() bool { return s.lastEvent.Load() >= 0 || s.headerWritten.Load() }

// beganAt returns the version at which the stream began; empty if it is unknown.
func (s *stream) beganAt() currantwood.SoftwareVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// noteBegun notes that an upstream has sent the first event of this attempt. The version
// at which a stream began that the client has taken up is known already.
func (s *stream) noteBegun(up *upstreamStream) {
	switch {
	case s.client.LastEvent >= 0:
	case !s.isGeneration():
		// Only engines can be asked.
		s.setVersion(s.g.versionOf(up.view))
	case s.route.Resumable:
		go s.confirmVersion(up)
	}
}

// confirmVersion sets the version at which the stream began, at up, if up is still the
// incarnation that the directory showed: then that one has sent all events so far. It may
// have started again unseen, with another version. Until it is confirmed the version is
// unknown, and the stream goes on nowhere else.
//
// A stream that can't be resumed is confirmed only before it is moved.
func (s *stream) confirmVersion(up *upstreamStream) {
	if s.beganAt() != "" {
		return
	}
	if s.g.runsIncarnation(up.view) {
		s.setVersion(up.view.Version)
	}
}

// setVersion sets the version at which the stream began and tells others of it.
func (s *stream) setVersion(version currantwood.SoftwareVersion) {
	s.mu.Lock()
	s.version = version
	s.mu.Unlock()
	s.recordStart(version)
}

// versionOf returns the version of an upstream as it was when a request was sent to it;
// empty if the directory has shown since that it had started again. The request may have
// reached the new incarnation.
func (g *Gateway) versionOf(view upstreamkeeper.View) currantwood.SoftwareVersion {
	g.mu.Lock()
	defer g.mu.Unlock()
	if known, ok := g.upstreams.Get(view.ID); !ok || known.Incarnation != view.Incarnation {
		return ""
	}
	return view.Version
}

// forgetVersion notes that the upstream of the stream may not be the one that the
// directory showed when the stream began, so that its version is unknown. What an engine
// has confirmed stays known.
func (s *stream) forgetVersion() {
	if s.isGeneration() || s.beganAt() == "" {
		return
	}
	// Replaces what was recorded before.
	s.setVersion("")
	s.log("version of a stream no longer known: its upstream started again")
}

// pickStreamUpstream is pickUpstream for a stream. One that has begun goes on only at
// the version at which it began.
func (s *stream) pickStreamUpstream(now time.Time) (balancer.Choice, error) {
	version := s.beganAt()
	return s.pickUpstream(now, s.streamStallTimeout(), func(q *balancer.Query) {
		q.SameVersion, q.Version = s.hasBegun(), version
	})
}

// confirms reports whether an upstream is still the incarnation that the directory shows.
// Only engines can be asked.
func (s *stream) confirms(view upstreamkeeper.View) bool {
	return !s.isGeneration() || s.g.runsIncarnation(view)
}

// runsIncarnation asks an upstream whether it is still the incarnation that the
// directory shows: one that has started again under its id may have another version. No
// answer counts as no.
func (g *Gateway) runsIncarnation(view upstreamkeeper.View) bool {
	_, confirmed := g.confirmIncarnation(view)
	return confirmed
}

// confirmIncarnation is runsIncarnation, and returns the state that the upstream reported.
func (g *Gateway) confirmIncarnation(view upstreamkeeper.View) (currantwood.UpstreamState, bool) {
	state, err := g.States.State(view.Address, incarnationTimeout)
	if err == nil {
		g.noteStateWarmUp(g.Now(), view.ID, state)
	}
	if err == nil && state.Incarnation == view.Incarnation {
		return state, true
	}
	g.Logger.Info("incarnation of an upstream not confirmed", zap.String("upstream", string(view.ID)), zap.Int64("incarnation", view.Incarnation), zap.Int64("reported", state.Incarnation), zap.Error(err))
	return state, false
}
