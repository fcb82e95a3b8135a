package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/streamkeeper"
)

// unknownStartRetryAfter is the Retry-After of a refusal of a stream whose start isn't
// known here. What tells of it may still be on its way, or the client reaches a gateway
// that knows.
const unknownStartRetryAfter = 500 * time.Millisecond

// AskStartFunc asks other gateways where a stream began; false if none says so.
type AskStartFunc func(ctx context.Context, stream currantwood.Fingerprint) (streamkeeper.Origin, bool)

// SetAskStart sets how other gateways are asked. It is called before the first request.
func (g *Gateway) SetAskStart(ask AskStartFunc) { g.askStart = ask }

// streamFingerprint identifies the stream whose first event an attempt of the request's
// customer brought.
func (q *request) streamFingerprint(attempt currantwood.RequestID) currantwood.Fingerprint {
	return currantwood.Fingerprint(xxhash.Sum64String(string(q.customer) + "\x00" + string(attempt)))
}

// recordStart notes where the stream began, so that its client can take it up at any
// gateway. It does nothing for a stream that only goes on, or may not.
func (s *stream) recordStart(version currantwood.SoftwareVersion) {
	if !s.route.Resumable || s.client.LastEvent >= 0 {
		return
	}
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	s.g.streamStarts.Begin(streamkeeper.Start{Stream: s.streamFingerprint(s.client.ID), Origin: streamkeeper.Origin{Group: s.group, Version: version}, At: s.g.Now()})
}

// findStart finds where the stream began that the client takes up, and returns a refusal
// if that isn't known or the route no longer leads there. A guess could join events of
// two versions.
func (s *stream) findStart() *gatewayResponse {
	if s.client.LastEvent < 0 {
		return nil
	}
	origin, known := streamkeeper.Origin{}, false
	if s.client.Resumes != "" && s.route.Resumable {
		origin, known = s.lookUpStart(s.streamFingerprint(s.client.Resumes))
	}
	leads := slices.ContainsFunc(s.route.Split, func(part currantwood.WeightedGroup) bool { return part.Group == origin.Group })
	if !known || !leads {
		s.g.instruments.startsUnknown.Inc(1)
		return &gatewayResponse{status: http.StatusServiceUnavailable, reason: "not known where the stream began", retryAfter: unknownStartRetryAfter, closeConnection: true}
	}
	s.group, s.version = origin.Group, origin.Version
	return nil
}

// lookUpStart finds where a stream began, here or at other gateways.
func (s *stream) lookUpStart(stream currantwood.Fingerprint) (streamkeeper.Origin, bool) {
	if origin, known := s.g.StartOf(stream); known {
		return origin, true
	}
	asked := s.g.Now()
	origin, known := s.g.askStart(s.ctx, stream)
	s.log("other gateways asked where a stream began", zap.String("resumes", string(s.client.Resumes)), zap.Bool("known", known), zap.String("version", string(origin.Version)), zap.Duration("took", s.g.Now().Sub(asked)))
	return origin, known
}

// StartOf returns where a stream began, if this gateway knows.
func (g *Gateway) StartOf(stream currantwood.Fingerprint) (streamkeeper.Origin, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.streamStarts.Origin(stream)
}

// OwnStarts returns up to limit starts of streams at this gateway from a position on,
// and the position of the first.
func (g *Gateway) OwnStarts(from uint64, limit int) ([]streamkeeper.Start, uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.streamStarts.Own(from, limit)
}

// AllStarts is OwnStarts for the starts of all gateways.
func (g *Gateway) AllStarts(from uint64, limit int) ([]streamkeeper.Start, uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.streamStarts.All(from, limit)
}

// LearnStarts notes starts of streams that another gateway sent.
func (g *Gateway) LearnStarts(now time.Time, starts []streamkeeper.Start) {
	g.learnStarts(now, starts, false)
}

// LearnSavedStarts notes starts of streams that the store holds.
func (g *Gateway) LearnSavedStarts(now time.Time, starts []streamkeeper.Start) {
	if learned := g.learnStarts(now, starts, true); learned > 0 {
		g.Logger.Info("starts of streams read from the store", zap.Int("streams", learned))
	}
}

// learnStarts returns how many of the starts weren't known.
func (g *Gateway) learnStarts(now time.Time, starts []streamkeeper.Start, saved bool) int {
	g.mu.Lock()
	learned := g.streamStarts.Learn(now, starts, saved)
	g.mu.Unlock()
	g.instruments.startsLearned.Inc(int64(learned))
	return learned
}

// UnsavedStarts returns up to limit starts that the store may lack, and a position for
// MarkStartsSaved.
func (g *Gateway) UnsavedStarts(limit int) ([]streamkeeper.Start, uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.streamStarts.Unsaved(limit)
}

// MarkStartsSaved notes that the store holds the starts before a position.
func (g *Gateway) MarkStartsSaved(next uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.streamStarts.MarkSaved(next)
}

// ForgetSavedStarts notes that the store may have lost starts that were saved.
func (g *Gateway) ForgetSavedStarts() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.streamStarts.ForgetSaved()
}
