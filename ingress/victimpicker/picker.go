// Package victimpicker picks the connection that is dropped when the budget for
// connections or for their memory is used up: the one with the least progress for its
// memory. It never picks one whose request may be running.
package victimpicker

import "time"

// Phase is what a connection waits for.
type Phase uint8

//go:generate go tool stringer -type=Phase

// The phases of a connection.
const (
	// Head waits for the rest of a request head, or for the first byte of the first one.
	Head Phase = iota
	// Body waits for the rest of a request body.
	Body
	// Running waits for the process.
	Running
	// Writing waits for the client to read.
	Writing
	// Idle waits for the next request.
	Idle
)

const (
	// reuseTime is how long clients may keep an idle connection and still use it.
	reuseTime = 15 * time.Second
	// minWriteLag is the least lag of a reader that is dropped. A slow but steady reader
	// stays below.
	minWriteLag = 5 * time.Second
	// minBodyLag is the least lag of a body that is dropped to make room for another body.
	minBodyLag = time.Second
)

// Candidate describes a connection.
type Candidate struct {
	Phase Phase
	// Lag is how far the head, body or response is behind the least rate. For an idle
	// connection it is the time since the last response.
	Lag time.Duration
	// MemoryBytes is what the process holds for the connection.
	MemoryBytes int64
}

// Picker picks among candidates. It has no state.
type Picker struct{}

// Connection returns the index of the connection that gives way to another connection or
// head. It reports false if none may be dropped. Idle connections that clients may still
// use give way last, the longest idle one first.
func (Picker) Connection(candidates []Candidate) (int, bool) {
	picked, found := pick(candidates, func(c Candidate) (float64, bool) {
		switch c.Phase {
		case Head, Body:
			return score(c, c.Lag), true
		case Writing:
			return score(c, c.Lag), c.Lag >= minWriteLag
		case Idle:
			return score(c, c.Lag-reuseTime), c.Lag >= reuseTime
		}
		return 0, false
	})
	if found {
		return picked, true
	}
	return pick(candidates, func(c Candidate) (float64, bool) { return c.Lag.Seconds(), c.Phase == Idle })
}

// Head returns the index of the connection that gives way to the head of a request.
// MemoryBytes must be the memory of the candidates' heads. It reports false if no connection
// with a head may be dropped.
func (Picker) Head(candidates []Candidate) (int, bool) {
	return pick(candidates, func(c Candidate) (float64, bool) {
		eligible := c.Phase == Head || c.Phase == Body || c.Phase == Writing && c.Lag >= minWriteLag
		return score(c, c.Lag), eligible && c.MemoryBytes > 0
	})
}

// Body returns the index of the connection that gives way to the body of another. It
// reports false if all unfinished bodies make progress.
func (Picker) Body(candidates []Candidate) (int, bool) {
	return pick(candidates, func(c Candidate) (float64, bool) {
		return score(c, c.Lag), c.Phase == Body && c.Lag >= minBodyLag
	})
}

// score is the product of the memory and the time for which it brought nothing.
func score(c Candidate, lag time.Duration) float64 {
	return float64(c.MemoryBytes) * lag.Seconds()
}

// pick returns the index of the eligible candidate with the highest score.
func pick(candidates []Candidate, rate func(c Candidate) (score float64, eligible bool)) (int, bool) {
	picked, highest := -1, 0.0
	for i, c := range candidates {
		if score, eligible := rate(c); eligible && (picked < 0 || score > highest) {
			picked, highest = i, score
		}
	}
	return picked, picked >= 0
}
