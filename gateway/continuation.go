package gateway

import (
	"net/http"

	"github.com/pkg/errors"

	"github.com/currantwood/currantwood/balancer"
)

// What a stream that has begun may go on with, at an upstream to which it is moved or at which
// it is resumed.

// errUnconfirmed means that an upstream isn't known to be the one that was chosen.
var errUnconfirmed = errors.New("the upstream isn't known to be the incarnation that was chosen")

// errForeignEvent means that an upstream at which a stream goes on sent something that is none
// of its events.
var errForeignEvent = errors.New("a text among events with ids")

// checkContinues returns an error if a response isn't a part of the stream that has begun: it
// must be a success and of the same type as the first one.
func (s *stream) checkContinues(up *upstreamStream) error {
	x := up.exchange
	if x.Status != http.StatusOK {
		return &rejectedError{x.Status}
	}
	if !s.headerWritten.Load() {
		return nil
	}
	s.mu.Lock()
	first := s.contentType
	s.mu.Unlock()
	if contentType := x.Header.Get("Content-Type"); contentType != first {
		return errors.Errorf("not the rest of the stream: type %q after %q", contentType, first)
	}
	return nil
}

// checkResumed ends the exchange with an upstream and returns an error if the stream has begun
// and can't go on with its response. A response with an error to a client that has received
// nothing in this attempt is passed on.
func (s *stream) checkResumed(opened *upstreamStream, choice balancer.Choice) error {
	if !s.hasBegun() || opened.exchange.Status != http.StatusOK && !s.headerWritten.Load() {
		return nil
	}
	if err := s.checkContinues(opened); err != nil {
		return s.rejectResume(opened, err)
	}
	if !s.confirms(choice.View) {
		return s.rejectResume(opened, errUnconfirmed)
	}
	return nil
}
