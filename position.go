package currantwood

import (
	"hash/fnv"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Position is the place in a token stream from which a client resumes. It is the
// ID of each server-sent event, so that any entry can find the side that holds
// the generation from the Last-Event-ID header alone.
type Position struct {
	Request    RequestID
	Generation GenerationID
	Upstream   UpstreamID
	// Next is the index of the first token that the client has not received.
	Next TokenIndex
}

const positionParts = 4

// String formats the position as an event ID: request/generation/upstream/next.
func (p Position) String() string {
	return p.EventIDPrefix() + strconv.FormatUint(uint64(p.Next), 10)
}

// EventIDPrefix returns the part of the event ID that all tokens of a
// generation share, including the slash at its end.
func (p Position) EventIDPrefix() string {
	return string(p.Request) + "/" + string(p.Generation) + "/" + string(p.Upstream) + "/"
}

// ParsePosition parses an event ID. It returns an error if a part is empty or the
// index is not an unsigned number of at most 63 bits.
func ParsePosition(id string) (Position, error) {
	parts := strings.Split(id, "/")
	if len(parts) != positionParts {
		return Position{}, errors.Errorf("event id %q: expected request/generation/upstream/next", id)
	}
	for _, part := range parts {
		if part == "" {
			return Position{}, errors.Errorf("event id %q: a part is empty", id)
		}
	}
	next, err := strconv.ParseUint(parts[3], 10, 63)
	if err != nil {
		return Position{}, errors.Wrapf(err, "event id %q: index of the next token", id)
	}
	return Position{
		Request:    RequestID(parts[0]),
		Generation: GenerationID(parts[1]),
		Upstream:   UpstreamID(parts[2]),
		Next:       TokenIndex(next),
	}, nil
}

// DeriveEngineStreamID returns the ID of a generation's stream at the engine.
// The ID is derived from its arguments alone, so that a restarted side process
// finds the stream without stored state. It includes a hash of the customer, so
// that a resume on behalf of another customer yields a stream unknown to the
// engine.
func DeriveEngineStreamID(request RequestID, generation GenerationID, customer CustomerID) EngineStreamID {
	h := fnv.New64a()
	_, _ = h.Write([]byte(customer))
	return EngineStreamID(string(request) + "." + string(generation) + "." + strconv.FormatUint(h.Sum64(), 36))
}
