package currantwood

import (
	"hash/fnv"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Position names the place in a token stream from which a caller goes on. It
// is the id of each server-sent event, so that any entry can find the side
// that holds the generation from a Last-Event-ID alone.
type Position struct {
	Request    RequestID
	Generation GenerationID
	Upstream   UpstreamID
	// Next is the index of the first token that the caller has not yet seen.
	Next TokenIndex
}

const positionParts = 4

// String gives the form of an event id: request/generation/upstream/next.
func (p Position) String() string {
	return p.Prefix() + strconv.FormatUint(uint64(p.Next), 10)
}

// Prefix is the part of an event id that all tokens of a generation share.
func (p Position) Prefix() string {
	return string(p.Request) + "/" + string(p.Generation) + "/" + string(p.Upstream) + "/"
}

// ParsePosition reads an event id. No part may be empty.
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

// EngineStream derives the id of a generation's stream at the engine. A side
// process that has just started finds the stream by it without kept state. It
// depends on the customer, so that a resume in another customer's name names
// a stream that the engine does not know.
func EngineStream(request RequestID, generation GenerationID, customer CustomerID) EngineStreamID {
	h := fnv.New64a()
	_, _ = h.Write([]byte(customer))
	return EngineStreamID(string(request) + "." + string(generation) + "." + strconv.FormatUint(h.Sum64(), 36))
}
