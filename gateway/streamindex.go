package gateway

import (
	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/balancer"
)

// addStream adds a stream to the index of the streams at an upstream.
func (g *Gateway) addStream(id currantwood.UpstreamID, s *stream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.streams[id] == nil {
		g.streams[id] = make(map[*stream]struct{})
	}
	g.streams[id][s] = struct{}{}
}

// removeStream removes a stream from the index of the streams at an upstream.
func (g *Gateway) removeStream(id currantwood.UpstreamID, s *stream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.streams[id], s)
	if len(g.streams[id]) == 0 {
		delete(g.streams, id)
	}
}

// recordPrefillEnd reports to the balancer that the engine has prefilled the
// prompt.
func (g *Gateway) recordPrefillEnd(up *upstreamStream) {
	var sample balancer.PrefillSample
	if !up.sentAt.IsZero() {
		sample = balancer.PrefillSample{Tokens: up.queuedTokens + up.load.PrefillTokens, Duration: g.Now().Sub(up.sentAt)}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.PrefillEnded(up.view, up.load.PrefillTokens, sample)
	up.load.PrefillTokens = 0
}

// recordProgress reports an event to the balancer and updates the average time
// between events.
func (g *Gateway) recordProgress(up *upstreamStream) {
	now := g.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.Progressed(now, up.view)
	if up.lastEventAt.IsZero() {
		up.firstEventAt = now
	} else {
		g.eventInterval += (now.Sub(up.lastEventAt) - g.eventInterval) / eventIntervalSmoothing
	}
	up.lastEventAt = now
}
