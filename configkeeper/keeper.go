// Package configkeeper holds the newest configuration that this process has
// received, and when this process last confirmed that it held the newest that
// exists.
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

// Keeper holds the newest configuration received. It is safe for concurrent use.
type Keeper struct {
	current atomic.Pointer[Snapshot]
	// confirmedAt is the last time at which the configuration held then was
	// confirmed to be the newest, in nanoseconds from the zero of the clock that
	// the callers read; 0 means never. The zero of boottimer.Clock is the boot.
	confirmedAt atomic.Int64
	// newest is the highest version known to exist, whether or not it was received.
	newest atomic.Uint64
}

// New returns a keeper without a configuration.
func New() *Keeper { return &Keeper{} }

// SetIfNewer replaces the configuration if c is newer, and reports whether it was.
// The version never decreases.
func (k *Keeper) SetIfNewer(c currantwood.Configuration) bool {
	for {
		current := k.current.Load()
		if current != nil && c.Version <= current.Version {
			return false
		}
		next := &Snapshot{Configuration: c, Matcher: routematcher.New(c.Routes)}
		if k.current.CompareAndSwap(current, next) {
			return true
		}
	}
}

// NoteNewest notes that a version exists, and has since a time. While the current one is older,
// it can't be confirmed: the store may have come back from a copy without the newest. If it was
// confirmed after that time, that was by such a copy and is withdrawn. NoteNewest reports whether
// it was.
func (k *Keeper) NoteNewest(version currantwood.ConfigurationVersion, since time.Time) (withdrawn bool) {
	for {
		known := k.newest.Load()
		if uint64(version) <= known || k.newest.CompareAndSwap(known, uint64(version)) {
			break
		}
	}
	for k.Version() < version {
		last := k.confirmedAt.Load()
		if last <= since.UnixNano() {
			return false
		}
		if k.confirmedAt.CompareAndSwap(last, 0) {
			return true
		}
	}
	return false
}

// Confirm records that the current configuration was the newest at a time. That
// must be the time at which the read that confirmed it was sent, as the store's
// response may have been delayed. A time before the last one is ignored, and any time
// while a newer version is known to exist.
func (k *Keeper) Confirm(at time.Time) {
	if uint64(k.Version()) < k.newest.Load() {
		return
	}
	for {
		last := k.confirmedAt.Load()
		if at.UnixNano() <= last || k.confirmedAt.CompareAndSwap(last, at.UnixNano()) {
			return
		}
	}
}

// Current returns the current configuration, or nil if there is none yet.
func (k *Keeper) Current() *Snapshot { return k.current.Load() }

// Age returns how long ago this process last confirmed that it held the newest
// configuration; the longest duration if it never did. now must be read from the
// same clock as the times of confirmations.
func (k *Keeper) Age(now time.Time) time.Duration {
	confirmed := k.confirmedAt.Load()
	if confirmed == 0 {
		return time.Duration(1<<63 - 1)
	}
	return now.Sub(time.Unix(0, confirmed))
}

// Version returns the version of the current configuration, or 0 if there is
// none yet.
func (k *Keeper) Version() currantwood.ConfigurationVersion {
	if current := k.current.Load(); current != nil {
		return current.Version
	}
	return 0
}
