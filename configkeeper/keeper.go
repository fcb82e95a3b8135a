// Package configkeeper holds the newest configuration and how fresh it is
// known to be.
package configkeeper

import (
	"sync/atomic"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/routematcher"
)

// Snapshot is a configuration with its index. It is not changed.
type Snapshot struct {
	currantwood.Configuration
	Matcher *routematcher.Matcher
}

// Keeper holds the newest configuration. It is safe for concurrent use.
type Keeper struct {
	current atomic.Pointer[Snapshot]
	// proven is the time, in nanoseconds of the boot clock, at which the
	// current configuration was surely still the newest; 0 for never.
	proven atomic.Int64
}

// New returns a keeper without a configuration.
func New() *Keeper { return &Keeper{} }

// Offer takes a configuration if it is newer than the one held, and reports
// whether it was. A version never goes back.
func (k *Keeper) Offer(c currantwood.Configuration) bool {
	for {
		held := k.current.Load()
		if held != nil && c.Version <= held.Version {
			return false
		}
		next := &Snapshot{Configuration: c, Matcher: routematcher.New(c.Routes)}
		if k.current.CompareAndSwap(held, next) {
			return true
		}
	}
}

// Proven notes that the configuration held was the newest at a time: when the
// read that showed it was sent, since the answer may have taken any time.
func (k *Keeper) Proven(at time.Time) {
	for {
		held := k.proven.Load()
		if at.UnixNano() <= held || k.proven.CompareAndSwap(held, at.UnixNano()) {
			return
		}
	}
}

// Current returns the configuration, nil if there is none yet.
func (k *Keeper) Current() *Snapshot { return k.current.Load() }

// Age is how long ago the configuration was surely the newest.
func (k *Keeper) Age(now time.Time) time.Duration {
	proven := k.proven.Load()
	if proven == 0 {
		return time.Duration(1<<63 - 1)
	}
	return now.Sub(time.Unix(0, proven))
}

// Version is the version of the configuration held; 0 for none.
func (k *Keeper) Version() currantwood.Version {
	if held := k.current.Load(); held != nil {
		return held.Version
	}
	return 0
}
