package gateway

import (
	"net/http"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
)

// openUpstream picks an upstream, sends the request to it and makes it the
// current one. If no response arrives, or one that says that the request was not
// run, it may try another upstream. A response with a status other than 200 is
// passed on to the client. openUpstream returns false if the request has ended
// without a stream to relay; the response then needs nothing more.
func (s *stream) openUpstream() bool {
	final := &gatewayResponse{status: http.StatusServiceUnavailable, reason: "no upstream", retryAfter: upstreamRetryAfter}
	for len(s.attempted) < maxAttempts && s.ctx.Err() == nil {
		now := s.g.Now()
		if refused := s.recheckKey(now); refused != nil {
			final = refused
			break
		}
		choice, err := s.pickStreamUpstream(now)
		if errors.Is(err, errLeftWaiting) {
			s.recordLeftWaiting(now)
			return false
		}
		if err != nil {
			final = s.noUpstreamResponse(final, err)
			break
		}
		s.attempted = append(s.attempted, choice.View.ID)
		opened, err := s.sendCancelable(choice, currantwood.UpstreamRequest{LastEvent: s.lastEvent.Load()})
		if err == nil {
			err = s.checkResumed(opened, choice)
		}
		if err == nil && opened.exchange.Status != http.StatusOK {
			s.g.removeStream(choice.View.ID, s)
			s.writeWholeResponse(opened, choice)
			return false
		}
		if err == nil {
			s.possibleRuns++
			opened.sentAt, opened.queuedTokens = s.pickedAt, choice.Load.PrefillTokens
			s.log("stream opened", zap.String("upstream", string(choice.View.ID)), zap.Float64("score", choice.Score), zap.Int("in-flight", choice.Load.Requests), zap.Int64("tokens-in-flight", int64(choice.Load.MemoryTokens)), zap.Int64("after-event", s.lastEvent.Load()), zap.String("version", string(choice.View.Version)), zap.String("resumes", string(s.client.Resumes)))
			s.setCurrent(opened)
			return true
		}
		s.endFailedRun(choice.View, err)
		if s.clientDisconnected() {
			s.recordDisconnect(choice)
			return false
		}
		s.log("upstream attempt failed", zap.String("upstream", string(choice.View.ID)), zap.Error(err), zap.Float64("score", choice.Score))
		if s.possibleRuns > 0 {
			final = &gatewayResponse{status: http.StatusBadGateway, reason: "upstream failed"}
		}
		if !s.prepareRetry(s.ctx) {
			break
		}
	}
	if s.headerWritten.Load() {
		s.abort(errors.New("no upstream to resume the stream on"))
		return false
	}
	if s.possibleRuns > 0 && s.ctx.Err() != nil {
		final = &gatewayResponse{status: http.StatusGatewayTimeout, reason: "deadline"}
	}
	s.endRequest(final)
	return false
}
