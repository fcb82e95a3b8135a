// Package eventsplitter splits a stream of server-sent events into complete
// events. An event that is cut off in the middle is never returned.
package eventsplitter

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"

	"github.com/currantwood/currantwood/memorykeeper"
)

// readBufferBytes is the size of the read buffer.
const readBufferBytes = 2048

const (
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 1 << 20
	// freeEventBytes is what an event may have, until it is complete, without being charged
	// to the memory that all streams share.
	freeEventBytes = 4 << 10
)

// ErrEventTooLong means that an event exceeds maxEventBytes.
var ErrEventTooLong = errors.Errorf("event exceeds %d bytes", maxEventBytes)

// Event is one block of lines that ends with an empty line, ready to be passed
// on. A block that has only comments, such as a keep-alive, also counts.
type Event struct {
	// Text is the event as received, including the empty line that ends it.
	Text []byte
	// ID is the event's numeric id; negative if it has none.
	ID int64
	// Comment is whether all lines are comments.
	Comment bool
}

// Splitter reads events from a response body. It is not safe for concurrent
// use.
type Splitter struct {
	in     *bufio.Reader
	memory *memorykeeper.Keeper
	// charged is what is reserved of memory for an event that isn't complete.
	charged int64
}

// New returns a Splitter that reads from body. memory bounds the long events that aren't
// complete.
func New(body io.Reader, memory *memorykeeper.Keeper) *Splitter {
	return &Splitter{in: bufio.NewReaderSize(body, readBufferBytes), memory: memory}
}

// Next returns the next complete event. It returns io.EOF if the body ends
// between two events, io.ErrUnexpectedEOF if it ends within one,
// ErrEventTooLong if the event exceeds maxEventBytes, and memorykeeper.ErrExhausted if
// all incomplete events together exceed the memory.
func (s *Splitter) Next() (Event, error) {
	defer s.release()
	event := Event{ID: -1, Comment: true}
	// A line that is longer than the read buffer is read in parts. It is neither empty nor
	// an id.
	partOfLine := false
	for {
		line, err := s.in.ReadSlice('\n')
		event.Text = append(event.Text, line...)
		if !partOfLine && !isEmpty(line) && line[0] != ':' {
			event.Comment = false
		}
		if len(event.Text) > maxEventBytes {
			return Event{}, errors.WithStack(ErrEventTooLong)
		}
		if !s.charge(int64(cap(event.Text))) {
			return Event{}, errors.WithStack(memorykeeper.ErrExhausted)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			partOfLine = true
			continue
		}
		if err != nil {
			return Event{}, s.endError(event, err)
		}
		if partOfLine {
			partOfLine = false
			continue
		}
		if id, ok := eventID(line); ok {
			event.ID = id
		}
		if isEmpty(line) && len(event.Text) > len(line) {
			return event, nil
		}
	}
}

// charge reserves memory for an event of a capacity. It reports false if there is none.
func (s *Splitter) charge(capacity int64) bool {
	more := capacity - freeEventBytes - s.charged
	if more <= 0 {
		return true
	}
	if !s.memory.TryReserve(more) {
		return false
	}
	s.charged += more
	return true
}

// release gives back what was reserved.
func (s *Splitter) release() {
	s.memory.Release(s.charged)
	s.charged = 0
}

// endError turns io.EOF into io.ErrUnexpectedEOF if the body ended within an
// event.
func (s *Splitter) endError(event Event, err error) error {
	if errors.Is(err, io.EOF) && len(event.Text) > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

func isEmpty(line []byte) bool {
	return len(bytes.TrimRight(line, "\r\n")) == 0
}

// eventID parses a line "id: N".
func eventID(line []byte) (int64, bool) {
	rest, ok := bytes.CutPrefix(line, []byte("id:"))
	if !ok {
		return 0, false
	}
	id, err := strconv.ParseInt(string(bytes.TrimSpace(rest)), 10, 64)
	return id, err == nil
}
