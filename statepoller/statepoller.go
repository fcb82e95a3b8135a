// Package statepoller polls upstreams for their state while the directory
// can't be read. An upstream that leaves in that time reports it only to those
// that ask, and running requests that were not moved before it ends are lost.
package statepoller

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/sleeper"
	"github.com/currantwood/currantwood/upstreamkeeper"
)

const (
	// pollInterval is the shortest time between two polls of an upstream. An
	// upstream ends about two seconds after it announces its leaving, and moving
	// its running requests takes about one second.
	pollInterval = 200 * time.Millisecond
	// requestTimeout bounds one request for a state. With pollInterval, it adds
	// up to the one second that remains before the moving has to start.
	requestTimeout = 800 * time.Millisecond
	// maxDirectoryAge is the age above which the directory isn't relied on to
	// show that upstreams leave. It is normally read every 200 ms.
	maxDirectoryAge = 600 * time.Millisecond
)

// Gateway is the part of this process that uses the states. Its methods are
// safe for concurrent use.
type Gateway interface {
	// UpstreamsToPoll returns the upstreams with running requests that can be
	// moved, without those that are known to leave.
	UpstreamsToPoll() []upstreamkeeper.View
	// ApplyUpstreamState applies a state that an upstream reported.
	ApplyUpstreamState(now time.Time, id currantwood.UpstreamID, state currantwood.UpstreamState)
}

// Options are the dependencies of a Poller.
type Options struct {
	Reader  currantwood.StateReader
	Gateway Gateway
	Logger  *zap.Logger
	Metrics metrics.Registry
	Now     func() time.Time
	// DirectoryAge returns how long ago this process last had all records of the
	// directory; the longest Duration if it never had.
	DirectoryAge func(now time.Time) time.Duration
}

// Poller polls upstreams for their state.
type Poller struct {
	Options
	reads, failures metrics.Counter
	mu              sync.Mutex
	// pending are the upstreams with an unanswered request; protected by mu.
	pending map[currantwood.UpstreamID]bool
	// active reports whether an upstream was to be polled since the outage of the
	// directory began; protected by mu.
	active bool
}

// New returns a Poller that polls in the background until ctx is done.
func New(ctx context.Context, options Options) *Poller {
	p := &Poller{
		Options:  options,
		reads:    metrics.NewRegisteredCounter("state-reads", options.Metrics),
		failures: metrics.NewRegisteredCounter("state-reads-failed", options.Metrics),
		pending:  make(map[currantwood.UpstreamID]bool),
	}
	go func() {
		for sleeper.Sleep(ctx, pollInterval) {
			p.pollDue()
		}
	}()
	return p
}

// pollDue starts a request to each upstream that is due.
func (p *Poller) pollDue() {
	for _, view := range p.takeDue(p.Now()) {
		go func() { p.poll(view) }()
	}
}

// takeDue returns the upstreams to poll now and marks them as pending.
func (p *Poller) takeDue(now time.Time) []upstreamkeeper.View {
	age := p.DirectoryAge(now)
	var toPoll []upstreamkeeper.View
	if age > maxDirectoryAge {
		toPoll = p.Gateway.UpstreamsToPoll()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updateActive(age, len(toPoll))
	var due []upstreamkeeper.View
	for _, view := range toPoll {
		if !p.pending[view.ID] {
			p.pending[view.ID] = true
			due = append(due, view)
		}
	}
	return due
}

// updateActive sets active, and logs when polling starts and when the directory
// can be read again. Called with mu held.
func (p *Poller) updateActive(age time.Duration, upstreams int) {
	active := age > maxDirectoryAge && (p.active || upstreams > 0)
	if active != p.active {
		p.active = active
		p.Logger.Info("polling of upstream states started or stopped", zap.Bool("asking", active), zap.Duration("directory-age", age), zap.Int("upstreams", upstreams))
	}
}

// poll requests the state of one upstream. Failures are only counted: a slow
// upstream may not answer, the streams of one that is gone end by themselves,
// and a line for each would flood the log in an outage.
func (p *Poller) poll(view upstreamkeeper.View) {
	state, err := p.Reader.State(view.Address, requestTimeout)
	p.mu.Lock()
	delete(p.pending, view.ID)
	p.mu.Unlock()
	p.reads.Inc(1)
	if err != nil {
		p.failures.Inc(1)
		return
	}
	p.Gateway.ApplyUpstreamState(p.Now(), view.ID, state)
}
