// Package eventsplitter cuts a series of server-sent events into whole events.
// An event that its sender broke off in the middle is never returned.
package eventsplitter

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// maxEventBytes bounds one event.
const maxEventBytes = 1 << 20

// Event is one whole event, ready to be passed on.
type Event struct {
	// Text ends with the empty line that ends the event.
	Text []byte
	// ID is the event's id; -1 if it has none.
	ID int64
}

// Splitter reads events.
type Splitter struct {
	in *bufio.Reader
}

// New returns a splitter over a body.
func New(body io.Reader) *Splitter {
	return &Splitter{in: bufio.NewReaderSize(body, 2048)}
}

// Next returns the next whole event. It returns io.EOF at a clean end between
// two events and io.ErrUnexpectedEOF when the body ends within one.
func (s *Splitter) Next() (Event, error) {
	event := Event{ID: -1}
	for {
		line, err := s.in.ReadSlice('\n')
		event.Text = append(event.Text, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			if len(event.Text) > maxEventBytes {
				return Event{}, errors.Errorf("event of over %d bytes", maxEventBytes)
			}
			continue
		}
		if err != nil {
			return Event{}, s.ending(event, err)
		}
		if id, ok := eventID(line); ok {
			event.ID = id
		}
		if isEmpty(line) && len(event.Text) > len(line) {
			return event, nil
		}
	}
}

// ending tells an end between two events from one within an event.
func (s *Splitter) ending(event Event, err error) error {
	if errors.Is(err, io.EOF) && len(event.Text) > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

func isEmpty(line []byte) bool {
	return len(bytes.TrimRight(line, "\r\n")) == 0
}

// eventID reads a line "id: N".
func eventID(line []byte) (int64, bool) {
	rest, ok := bytes.CutPrefix(line, []byte("id:"))
	if !ok {
		return 0, false
	}
	id, err := strconv.ParseInt(string(bytes.TrimSpace(rest)), 10, 64)
	return id, err == nil
}
