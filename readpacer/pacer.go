// Package readpacer decides when a gateway reads a topic of the store while reads fail,
// and when it does so in place of a collector that is no longer heard from.
//
// All gateways see an outage of the store at the same time. If each of them retried at
// its own rate, the calls would grow with their number and could keep the store down. So
// the pause grows with the number of gateways, which keeps the rate of all together
// nearly constant, and is random. The gateway that was the collector doesn't slow down:
// once it reads again, it reads for all. When the collector goes, gateways take over in the
// order of their rank, so that the first one reads and most others needn't.
package readpacer

import (
	"math/rand"
	"sync"
	"time"
)

const (
	// basePause is doubled for each failed read in a row, up to maxBasePause: the pauses
	// are 100, 200 and then 400 ms.
	basePause    = 50 * time.Millisecond
	maxBasePause = 400 * time.Millisecond
	// quickRetries is the number of failed reads after which the pause grows with the
	// number of gateways.
	quickRetries = 2
	// pausePerGateway is by how much each gateway lengthens the longest pause, up to
	// maxPause.
	pausePerGateway = 150 * time.Millisecond
	maxPause        = 20 * time.Second
	// takeOverPerRank is how much longer each gateway waits for another collector than the
	// one before it in rank, up to maxTakeOver. The first one takes some tenths of a second
	// to be known to all as the collector.
	takeOverPerRank = 25 * time.Millisecond
	maxTakeOver     = 1500 * time.Millisecond
)

// Fleet is what a gateway knows of all gateways.
type Fleet struct {
	// Gateways is their number, this one included, as it was known last.
	Gateways int
	// Rank is the position of this one among the next collectors, from 1 on; 0 if it is
	// unknown.
	Rank int
	// Collected is whether this gateway was the collector last.
	Collected bool
}

// Pacer draws pauses. It is safe for concurrent use.
type Pacer struct {
	mu     sync.Mutex
	random *rand.Rand
}

// New returns a pacer that draws from random, which nothing else may use.
func New(random *rand.Rand) *Pacer { return &Pacer{random: random} }

// RetryPause returns the pause after a number of failed reads in a row, at least 1. No
// request for a read may shorten it below least.
func (p *Pacer) RetryPause(failures int, fleet Fleet) (least, pause time.Duration) {
	least = min(maxBasePause, basePause<<min(failures, 8))
	longest := min(maxPause, time.Duration(fleet.Gateways)*pausePerGateway)
	if failures <= quickRetries || fleet.Collected || longest <= least {
		return least, least
	}
	return least, least + p.draw(longest-least)
}

// TakeOverPause returns how long a gateway that no longer hears the collector waits for
// another one before it reads itself. The next collector doesn't wait.
func (p *Pacer) TakeOverPause(fleet Fleet) time.Duration {
	if fleet.Rank == 0 {
		return p.draw(min(maxTakeOver, time.Duration(fleet.Gateways)*takeOverPerRank))
	}
	return min(maxTakeOver, time.Duration(fleet.Rank-1)*takeOverPerRank)
}

// draw returns a random duration from 0 to most.
func (p *Pacer) draw(most time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.random.Int63n(int64(most) + 1))
}
