package upstreamkeeper

import "github.com/currantwood/currantwood"

//go:generate go tool stringer -linecomment -type=Change

// Change is the kind of an upstream's change.
type Change uint8

// The kinds of change.
const (
	// Appeared means that an upstream is new or may get work again.
	Appeared Change = iota + 1 // appeared
	// Leaving means that the upstream announced its shutdown.
	Leaving // leaving
	// Removed means that the record was removed from the directory, or lapsed
	// and was not written again in time.
	Removed // removed
	// Restarted means that a new incarnation uses the ID.
	Restarted // reborn
	// Undecodable means that the newest record can't be decoded.
	Undecodable // unusable
	// Lapsed means that the record was found missing after an outage of the
	// directory, during which it may have expired. The upstream still gets work.
	Lapsed // lapsed
	// Returned means that a lapsed record was written again in time.
	Returned // returned
	// Cooled means that a later record of the incarnation states a cold period which was
	// unknown, or another end of it; Warmed that one states none any more.
	Cooled // cold
	Warmed // warm
)

// Event is one change of one upstream.
type Event struct {
	Change Change
	Record currantwood.UpstreamRecord
}
