package publisher

import (
	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/headkeeper"
)

//go:generate go tool stringer -linecomment -type=Outcome

// Outcome is the result of publishing a text.
type Outcome uint8

// The outcomes. All but Unknown are final; after Unknown the text may have become
// the head or may still become it.
const (
	// Accepted means that the text became the head. A later publication may have
	// replaced it since.
	Accepted Outcome = iota + 1 // accepted
	// Same means that the head already has exactly this text. The edit was not
	// accepted as a new revision.
	Same // same
	// Conflict means that the head is no longer the edit's base, so the edit has
	// no effect.
	Conflict // conflict
	// Unknown means that the text may have been accepted or may still be.
	Unknown // unknown
)

// Base identifies the head that a text was edited from. It is zero for the first
// text.
type Base struct {
	Revision    currantwood.Revision
	Publication currantwood.PublicationID
}

// Edit is a rules text to publish.
type Edit struct {
	Base Base
	// PublishedBy names the person who publishes the text; never empty.
	PublishedBy string
	Text        string
}

// Result is the result of Publish.
type Result struct {
	Outcome Outcome
	// Publication identifies the edit's publication; on Same, that of the head.
	Publication currantwood.PublicationID
	// Revision is that of the accepted text or, on Same, of the head. It is zero
	// on Conflict and Unknown.
	Revision currantwood.Revision
	// Snapshot is the head at the time the publication was found accepted, for
	// announcing it to running processes. Its text is not the edit's if a later
	// publication has replaced that. It is set only on Accepted.
	Snapshot headkeeper.Snapshot
	// Head is the head because of which the edit was not accepted. It is set only on
	// Same and Conflict.
	Head currantwood.RulesHead
	// AcceptedBefore is the publication that was accepted on the edit's base, set on Same
	// and Conflict. It is zero if there is none or its decision is not known.
	AcceptedBefore AcceptedPublication
	// HeadPublishedBy names the person who published Head.
	HeadPublishedBy string
}

// AcceptedPublication is the publication that was accepted on the base of an edit.
type AcceptedPublication struct {
	Revision    currantwood.Revision
	Publication currantwood.PublicationID
	PublishedBy string
}
