package gatewaystarter

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/currantwood/currantwood/sleeper"
)

const (
	// peerWait is how long a process that isn't one of the first waits to hear from the
	// others before it believes that it has read the newest configuration: the store may be
	// back from an older copy, which only they know.
	peerWait = 400 * time.Millisecond
	// peerCheckInterval is the time between two checks meanwhile.
	peerCheckInterval = 20 * time.Millisecond
)

// firstRead is a read of the configuration that waits to be believed.
type firstRead struct {
	// believed is set once reads are believed at once.
	believed atomic.Bool
	// at is the time of the last read, as a UnixNano; 0 if there is none.
	at atomic.Int64
}

// confirmConfiguration notes that the configuration was read at a time, as the newest.
func (p *Process) confirmConfiguration(at time.Time) {
	p.firstRead.at.Store(at.UnixNano())
	if p.firstRead.believed.Load() {
		p.config.Confirm(at)
	}
}

// believeReads lets reads of the configuration be believed once this process has heard from the
// collector, which may know of a newer one, or after peerWait.
func (p *Process) believeReads(ctx context.Context) {
	end := p.now().Add(peerWait)
	for !p.options.Settings.FirstStart && p.now().Before(end) && !p.peers.HasOtherCollector(p.now()) {
		if !sleeper.Sleep(ctx, peerCheckInterval) {
			return
		}
	}
	p.firstRead.believed.Store(true)
	if at := p.firstRead.at.Load(); at != 0 {
		p.config.Confirm(time.Unix(0, at))
	}
}
