// Package bufferkeeper accounts for the memory of the events that are buffered for clients, and
// picks the stream that is ended when that memory is used up: the one whose client has read
// nothing for the longest time.
package bufferkeeper

import "time"

// minStopTime is how long a client must have read nothing before its stream is ended for the
// memory. Upstreams abort a response that they can't write for some seconds, so refusing memory
// for this long loses no stream.
const minStopTime = time.Second

// Keeper accounts for the buffers of streams. S identifies a stream. A Keeper is not safe for
// concurrent use.
type Keeper[S comparable] struct {
	streamLimit, totalLimit int64
	streams                 map[S]buffer
	// total is the memory of all buffers, ending the part of it whose streams were picked to
	// be ended.
	total, ending int64
	// noPickBefore is a time before which no stream has been stopped for long enough. It
	// avoids visiting all streams for each event that finds no memory.
	noPickBefore time.Time
}

// buffer is the state of one stream.
type buffer struct {
	bytes int64
	// since is when its client last took something, or when its buffer was opened.
	since  time.Time
	ending bool
}

// New returns a Keeper for buffers of at most streamLimit bytes each and totalLimit bytes
// together.
func New[S comparable](streamLimit, totalLimit int64) *Keeper[S] {
	return &Keeper[S]{streamLimit: streamLimit, totalLimit: totalLimit, streams: make(map[S]buffer)}
}

// Open notes that a write to the client of a stream has begun to block. The stream may then
// reserve memory.
func (k *Keeper[S]) Open(now time.Time, s S) {
	k.streams[s] = buffer{since: now}
}

// Reserve charges bytes to an open stream. It reports false, and charges nothing, if that would
// exceed a limit.
func (k *Keeper[S]) Reserve(s S, bytes int64) bool {
	b, open := k.streams[s]
	if !open || b.ending || b.bytes+bytes > k.streamLimit || k.total+bytes > k.totalLimit {
		return false
	}
	b.bytes += bytes
	k.total += bytes
	k.streams[s] = b
	return true
}

// Pick picks the stream to end so that s can reserve bytes: the one whose client has taken
// nothing for the longest time, which may be s. It reports false if s is at its own limit, if the
// streams that were picked before give back enough, or if no client has stopped for long enough.
// The memory of the picked stream stays charged until Close.
func (k *Keeper[S]) Pick(now time.Time, s S, bytes int64) (victim S, ok bool) {
	if k.streams[s].bytes+bytes > k.streamLimit || k.total-k.ending+bytes <= k.totalLimit || now.Before(k.noPickBefore) {
		return victim, false
	}
	oldest := now
	for candidate, b := range k.streams {
		if b.bytes > 0 && !b.ending && b.since.Before(oldest) {
			victim, oldest = candidate, b.since
		}
	}
	if now.Sub(oldest) < minStopTime {
		// Whatever changes until then, no client will have stopped for longer.
		k.noPickBefore = oldest.Add(minStopTime)
		return *new(S), false
	}
	b := k.streams[victim]
	b.ending = true
	k.ending += b.bytes
	k.streams[victim] = b
	return victim, true
}

// Release gives back bytes that the client of an open stream has taken.
func (k *Keeper[S]) Release(now time.Time, s S, bytes int64) {
	b, open := k.streams[s]
	if !open {
		return
	}
	b.bytes -= bytes
	b.since = now
	k.total -= bytes
	if b.ending {
		k.ending -= bytes
	}
	k.streams[s] = b
}

// Close gives back all that a stream has reserved.
func (k *Keeper[S]) Close(s S) {
	b := k.streams[s]
	k.total -= b.bytes
	if b.ending {
		k.ending -= b.bytes
	}
	delete(k.streams, s)
}

// Bytes returns the memory of all buffers.
func (k *Keeper[S]) Bytes() int64 { return k.total }
