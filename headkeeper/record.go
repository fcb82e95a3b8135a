package headkeeper

import (
	"encoding/json"

	"github.com/currantwood/currantwood"
	"github.com/pkg/errors"
)

// Stream is the stream of the log service that holds publications and
// checkpoints.
const Stream = currantwood.StreamName("rules")

// Publication asks to replace the head.
type Publication struct {
	// ID is drawn at random once and kept through all appends of it.
	ID currantwood.PublicationID `json:"id"`
	// Base is the publication that the text was edited from; empty for the
	// first text.
	Base currantwood.PublicationID `json:"base"`
	// PublishedBy names a person.
	PublishedBy string `json:"published-by"`
	Text        string `json:"text"`
}

// Checkpoint repeats the head, so that it outlives the record that made it.
type Checkpoint struct {
	Revision    currantwood.Revision      `json:"revision"`
	ID          currantwood.PublicationID `json:"id"`
	PublishedBy string                    `json:"published-by"`
	Text        string                    `json:"text"`
	// Next says that the checkpoint speaks of exactly the records below it.
	// Its own place in the log says nothing, as its writer may have paused.
	Next currantwood.Offset `json:"next"`
	// WrittenAtMS is when the writer last saw the log's end, in milliseconds
	// since 1970 by its own clock.
	WrittenAtMS int64 `json:"written-at-ms"`
}

// envelope is one record. Exactly one field is set; readers pass over records
// with fields that they do not know.
type envelope struct {
	Publication *Publication `json:"publication,omitempty"`
	Checkpoint  *Checkpoint  `json:"checkpoint,omitempty"`
}

// EncodePublication returns the record of a publication.
func EncodePublication(p Publication) ([]byte, error) {
	return encode(envelope{Publication: &p})
}

// EncodeCheckpoint returns the record of a checkpoint.
func EncodeCheckpoint(c Checkpoint) ([]byte, error) {
	return encode(envelope{Checkpoint: &c})
}

// EncodeAnchor returns an anchor in the form of a checkpoint, to hand it to a
// process over its operators' address.
func EncodeAnchor(a Anchor) ([]byte, error) {
	return EncodeCheckpoint(Checkpoint{
		Revision: a.Head.Revision, ID: a.Head.Publication, PublishedBy: a.PublishedBy, Text: a.Head.Text, Next: a.Next,
	})
}

// DecodeAnchor reads what EncodeAnchor made.
func DecodeAnchor(data []byte) (Anchor, error) {
	c := decode(data).Checkpoint
	if c == nil || c.Revision == 0 || c.ID == "" {
		return Anchor{}, errors.New("expected a checkpoint with revision and id")
	}
	return c.anchor(), nil
}

func (c Checkpoint) anchor() Anchor {
	return Anchor{
		Head:        currantwood.RulesHead{Revision: c.Revision, Publication: c.ID, Text: c.Text},
		PublishedBy: c.PublishedBy,
		Next:        c.Next,
	}
}

func encode(e envelope) ([]byte, error) {
	data, err := json.Marshal(e)
	return data, errors.Wrap(err, "encode record of the rules stream")
}

// decode returns an empty envelope for what is not a record of this stream, so
// that no reader stops at it.
func decode(data []byte) envelope {
	var e envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return envelope{}
	}
	return e
}
