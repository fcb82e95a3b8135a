package gateway

import (
	"time"

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

// speedMemory is the number of events that a stream's speed is averaged over.
const speedMemory = 4

// speed is how fast events come from the upstream that makes them.
type speed struct {
	upstream currantwood.UpstreamID
	at       time.Time
	between  time.Duration
}

// note takes in an event that came some time after the last one.
func (v *speed) note(now time.Time, upstream currantwood.UpstreamID, after time.Duration) {
	if v.upstream != upstream {
		*v = speed{upstream: upstream, between: after}
	}
	v.at = now
	v.between += (after - v.between) / speedMemory
}

// progressed notes an event of a leg.
func (g *Gateway) progressed(s *stream, l *leg) {
	now := g.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.Progressed(now, l.view)
	if !l.eventAt.IsZero() {
		took := now.Sub(l.eventAt)
		g.eventTime += (took - g.eventTime) / eventMemory
		s.speed.note(now, l.view.ID, took)
	}
	l.eventAt = now
}
