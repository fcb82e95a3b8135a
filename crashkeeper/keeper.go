// Package crashkeeper counts the upstreams that ended while they ran the same
// request, here and at the other gateways.
package crashkeeper

import (
	"time"

	"github.com/currantwood/currantwood"
)

const (
	// allowed is the number of crashes after which a request is sent to no
	// further upstream.
	allowed = 3
	// memory is how long a crash counts.
	memory = 10 * time.Minute
	// shared is how long a crash is told to other gateways.
	shared = 4 * time.Second
	// maxRequests bounds the requests that are remembered.
	maxRequests = 4096
	// maxShared bounds the crashes that are told at once.
	maxShared = 16
)

// Crash says that an upstream ended while it ran a request.
type Crash struct {
	Request  currantwood.Fingerprint
	Upstream currantwood.UpstreamID
}

// Keeper holds the crashes. It is not safe for concurrent use.
type Keeper struct {
	// crashes holds for each request the upstreams that ended and when.
	crashes map[currantwood.Fingerprint]map[currantwood.UpstreamID]time.Time
}

// New returns a keeper that knows of no crash.
func New() *Keeper {
	return &Keeper{crashes: make(map[currantwood.Fingerprint]map[currantwood.UpstreamID]time.Time)}
}

// Note takes one crash. A crash that is known already counts once.
func (k *Keeper) Note(now time.Time, c Crash) {
	if k.crashes[c.Request] == nil {
		if len(k.crashes) >= maxRequests {
			k.forget(now)
		}
		if len(k.crashes) >= maxRequests {
			return
		}
		k.crashes[c.Request] = make(map[currantwood.UpstreamID]time.Time)
	}
	if _, known := k.crashes[c.Request][c.Upstream]; !known {
		k.crashes[c.Request][c.Upstream] = now
	}
}

func (k *Keeper) forget(now time.Time) {
	for request, upstreams := range k.crashes {
		for id, at := range upstreams {
			if now.Sub(at) > memory {
				delete(upstreams, id)
			}
		}
		if len(upstreams) == 0 {
			delete(k.crashes, request)
		}
	}
}

// Blocked reports whether a request has crashed as many upstreams as it may.
func (k *Keeper) Blocked(now time.Time, request currantwood.Fingerprint) bool {
	count := 0
	for _, at := range k.crashes[request] {
		if now.Sub(at) <= memory {
			count++
		}
	}
	return count >= allowed
}

// Recent returns the crashes that other gateways should be told.
func (k *Keeper) Recent(now time.Time) []Crash {
	var recent []Crash
	for request, upstreams := range k.crashes {
		for id, at := range upstreams {
			if now.Sub(at) <= shared && len(recent) < maxShared {
				recent = append(recent, Crash{Request: request, Upstream: id})
			}
		}
	}
	return recent
}
