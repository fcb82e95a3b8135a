package gateway

import (
	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/balancer"
)

func (g *Gateway) addStream(id currantwood.UpstreamID, s *stream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.streams[id] == nil {
		g.streams[id] = make(map[*stream]struct{})
	}
	g.streams[id][s] = struct{}{}
}

func (g *Gateway) removeStream(id currantwood.UpstreamID, s *stream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.streams[id], s)
	if len(g.streams[id]) == 0 {
		delete(g.streams, id)
	}
}

// readPrompt notes that the engine has read the prompt.
func (g *Gateway) readPrompt(l *leg) {
	var reading balancer.Reading
	if !l.openedAt.IsZero() {
		reading = balancer.Reading{Tokens: l.ahead + l.load.Unread, Took: g.Now().Sub(l.openedAt)}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.Read(l.view, l.load.Unread, reading)
	l.load.Unread = 0
}

// progressed notes an event of a leg.
func (g *Gateway) progressed(l *leg) {
	now := g.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.Progressed(now, l.view)
	if !l.eventAt.IsZero() {
		g.eventTime += (now.Sub(l.eventAt) - g.eventTime) / eventMemory
	}
	l.eventAt = now
}
