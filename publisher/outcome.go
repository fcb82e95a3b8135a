package publisher

import (
	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/headkeeper"
)

//go:generate go tool stringer -linecomment -type=Outcome

// Outcome is what became of a publication.
type Outcome uint8

// The outcomes. Only Unknown is open: the text may be in force.
const (
	// Accepted: the text is the head, or was until a later publication.
	Accepted Outcome = iota + 1 // accepted
	// Same: the head already had exactly this text, and nothing was published.
	Same // same
	// Conflict: another publication came first, and this one has no effect.
	Conflict // conflict
	// Unknown: the text may have been accepted or may yet be.
	Unknown // unknown
)

// Base is the head that a text was edited from; zero for the first text.
type Base struct {
	Revision    currantwood.Revision
	Publication currantwood.PublicationID
}

// Edit is a text to publish.
type Edit struct {
	Base Base
	// PublishedBy names a person; never empty.
	PublishedBy string
	Text        string
}

// Result says what became of an edit.
type Result struct {
	Outcome     Outcome
	Publication currantwood.PublicationID
	// Revision is that of the accepted text.
	Revision currantwood.Revision
	// Anchor is the head that the log showed together with an acceptance, to be
	// handed to running processes. A later publication may have replaced the
	// accepted text in it.
	Anchor headkeeper.Anchor
	// Head is the head at the time of the answer; set on Same and Conflict.
	Head currantwood.RulesHead
	// First is who came first on Conflict. It has no revision where that was
	// too long ago to know; then HeadBy names who published the head.
	First  First
	HeadBy string
}

// First is the publication that replaced the base of an edit.
type First struct {
	Revision    currantwood.Revision
	Publication currantwood.PublicationID
	PublishedBy string
}
