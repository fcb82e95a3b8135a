// Package configkeeper holds the newest configuration, and the time at which it
// was last confirmed to be the newest.
package configkeeper

import (
	"sync/atomic"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/routematcher"
)

// Snapshot is a configuration with the index of its routes. It must not be
// modified.
type Snapshot struct {
	currantwood.Configuration
	Matcher *routematcher.Matcher
}

// Keeper holds the newest configuration. It is safe for concurrent use.
type Keeper struct {
	current atomic.Pointer[Snapshot]
	// confirmedAt is the last time, in nanoseconds since boot, at which the
	// current configuration was certainly the newest; 0 means never.
	confirmedAt atomic.Int64
}

// New returns a keeper without a configuration.
func New() *Keeper { return &Keeper{} }

// SetIfNewer replaces the configuration if c is newer, and reports whether it was.
// The version never decreases.
func (k *Keeper) SetIfNewer(c currantwood.Configuration) bool {
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

// Proven records that the current configuration was the newest at a time. That
// must be the time at which the confirming read was sent, since its answer may
// have been delayed. Earlier times than the last one are ignored.
func (k *Keeper) Proven(at time.Time) {
	for {
		held := k.confirmedAt.Load()
		if at.UnixNano() <= held || k.confirmedAt.CompareAndSwap(held, at.UnixNano()) {
			return
		}
	}
}

// Current returns the current configuration, or nil if there is none yet.
func (k *Keeper) Current() *Snapshot { return k.current.Load() }

// Age returns the time since the configuration was last confirmed to be the
// newest. If it never was, Age returns the longest duration.
func (k *Keeper) Age(now time.Time) time.Duration {
	proven := k.confirmedAt.Load()
	if proven == 0 {
		return time.Duration(1<<63 - 1)
	}
	return now.Sub(time.Unix(0, proven))
}

// Version returns the version of the current configuration, or 0 if there is
// none yet.
func (k *Keeper) Version() currantwood.ConfigurationVersion {
	if held := k.current.Load(); held != nil {
		return held.Version
	}
	return 0
}
