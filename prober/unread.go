package prober

import (
	"time"

	"github.com/currantwood/currantwood"
)

// Unread records that the response of a request in flight isn't read for now, since its client
// doesn't read: the upstream can't make progress with it. Reread must follow before the request
// ends.
func (p *Prober) Unread(id currantwood.UpstreamID) {
	if u := p.upstreams[id]; u != nil {
		u.unread++
	}
}

// Reread records that the response of such a request is read again. If no other response was
// read meanwhile, the time for progress begins anew.
func (p *Prober) Reread(now time.Time, id currantwood.UpstreamID) {
	u := p.upstreams[id]
	if u == nil {
		return
	}
	if u.inFlight <= u.unread {
		u.progressDue = now.Add(u.stallTimeout)
	}
	u.unread = max(0, u.unread-1)
}
