package headkeeper

import (
	"encoding/json"

	"github.com/currantwood/currantwood"
	"github.com/pkg/errors"
)

// Stream is the log service's stream of publications and checkpoints.
const Stream = currantwood.StreamName("rules")

// Publication is a request to replace the head.
type Publication struct {
	// ID is drawn once at random. All attempts to append the publication use it.
	ID currantwood.PublicationID `json:"id"`
	// Base is the publication that the text was edited from; empty for the
	// first text.
	Base currantwood.PublicationID `json:"base"`
	// PublishedBy names a person.
	PublishedBy string `json:"published-by"`
	Text        string `json:"text"`
}

// Checkpoint is a copy of the head. It preserves the head after the record of its
// publication has expired.
type Checkpoint struct {
	Revision    currantwood.Revision      `json:"revision"`
	ID          currantwood.PublicationID `json:"id"`
	PublishedBy string                    `json:"published-by"`
	Text        string                    `json:"text"`
	// Next is the offset of the next record to apply: the checkpoint covers exactly
	// the records below it. The checkpoint's own offset may be higher, since its
	// writer may have paused between reading and appending.
	Next currantwood.Offset `json:"next"`
	// CaughtUpAtMS is when the writer last reached the end of the log, in Unix
	// milliseconds by its own clock.
	CaughtUpAtMS int64 `json:"written-at-ms"`
}

// envelope is the encoding of a record. Exactly one field is set. Readers skip
// records with fields that they do not know.
type envelope struct {
	Publication *Publication `json:"publication,omitempty"`
	Checkpoint  *Checkpoint  `json:"checkpoint,omitempty"`
}

// EncodePublication encodes a publication as a record.
func EncodePublication(p Publication) ([]byte, error) {
	return encode(envelope{Publication: &p})
}

// EncodeCheckpoint encodes a checkpoint as a record.
func EncodeCheckpoint(c Checkpoint) ([]byte, error) {
	return encode(envelope{Checkpoint: &c})
}

// EncodeSnapshot returns a checkpoint record of a head, for sending it to a process
// at its operator address. Its CaughtUpAtMS is 0, since DecodeSnapshot does not use
// it.
func EncodeSnapshot(a Snapshot) ([]byte, error) {
	return EncodeCheckpoint(Checkpoint{
		Revision: a.Head.Revision, ID: a.Head.Publication, PublishedBy: a.PublishedBy, Text: a.Head.Text, Next: a.Next,
	})
}

// DecodeSnapshot decodes a checkpoint record. It returns an error if the data is not a
// checkpoint with a revision and an id.
func DecodeSnapshot(data []byte) (Snapshot, error) {
	c := decode(data).Checkpoint
	if c == nil || c.Revision == 0 || c.ID == "" {
		return Snapshot{}, errors.New("expected a checkpoint with revision and id")
	}
	return c.snapshot(), nil
}

func (c Checkpoint) snapshot() Snapshot {
	return Snapshot{
		Head:        currantwood.RulesHead{Revision: c.Revision, Publication: c.ID, Text: c.Text},
		PublishedBy: c.PublishedBy,
		Next:        c.Next,
	}
}

func encode(e envelope) ([]byte, error) {
	data, err := json.Marshal(e)
	return data, errors.Wrap(err, "encode record of the rules stream")
}

// decode returns an empty envelope for malformed data, so that readers skip the
// record.
func decode(data []byte) envelope {
	var e envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return envelope{}
	}
	return e
}
