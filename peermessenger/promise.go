package peermessenger

import (
	"time"

	"github.com/currantwood/currantwood/capacity/forecaster"
	"github.com/currantwood/currantwood/peerwire"
)

const (
	// maxStatePromises and maxDigestPromises bound the promises in one datagram. One takes
	// about 18 bytes.
	maxStatePromises  = 128
	maxDigestPromises = 256
	// maxSentPromises bounds the promises in all digests that are sent at once: 16,000 take
	// 0.3 MB. With 2,200 gateways that leaves the 7 newest.
	maxSentPromises = 16_000
	// maxPromiseTime is the longest time until a promise of another gateway expires. Clients
	// are told 6 s at most, and may be late by 0.6 of that and 0.3 s.
	maxPromiseTime = 10 * time.Second
)

// digestPromises returns how many promises a digest to each of some recipients may have.
func digestPromises(recipients int) int {
	return min(maxDigestPromises, maxSentPromises/max(1, recipients))
}

func encodePromises(now time.Time, promises []forecaster.SharedPromise) []*peerwire.Promise {
	out := make([]*peerwire.Promise, 0, len(promises))
	for _, p := range promises {
		out = append(out, &peerwire.Promise{
			Key: uint64(p.Key), InMs: uint32(max(0, p.At.Sub(now).Milliseconds())), ExpiresMs: uint32(max(0, p.Expires.Sub(now).Milliseconds())),
		})
	}
	return out
}

// decodePromises decodes promises without those that no gateway gives. The transit time is
// unknown, so the times are too late by as much.
func decodePromises(now time.Time, promises []*peerwire.Promise) []forecaster.SharedPromise {
	out := make([]forecaster.SharedPromise, 0, min(len(promises), maxDigestPromises))
	for _, p := range promises[:min(len(promises), maxDigestPromises)] {
		in, expires := time.Duration(p.GetInMs())*time.Millisecond, time.Duration(p.GetExpiresMs())*time.Millisecond
		if expires <= 0 || expires > maxPromiseTime || in > expires {
			continue
		}
		out = append(out, forecaster.SharedPromise{Key: forecaster.Key(p.GetKey()), At: now.Add(in), Expires: now.Add(expires)})
	}
	return out
}
