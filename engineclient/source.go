package engineclient

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strconv"

	"github.com/pkg/errors"

	"github.com/currantwood/currantwood"
)

// readBuffer is the buffer of one open stream, in bytes. It also bounds the
// length of a line.
const readBuffer = 2048

// source parses one connection's server-sent events. It reads in the caller's
// goroutine and starts none.
type source struct {
	body   io.ReadCloser
	reader *bufio.Reader
	peer   string
	event  event
}

// event is what is known of the event that is being read.
type event struct {
	index    uint64
	hasIndex bool
	done     bool
	// data is a copy, since the reader's buffer is reused.
	data []byte
}

func newSource(body io.ReadCloser, peer string) *source {
	return &source{body: body, reader: bufio.NewReaderSize(body, readBuffer), peer: peer}
}

// Close ends the connection. The engine goes on with the stream.
func (s *source) Close() error { return s.body.Close() }

// Next returns the next event. It returns io.EOF, unwrapped, when the
// connection ended, whether whole or cut.
func (s *source) Next() (currantwood.TokenEvent, error) {
	for {
		line, err := s.reader.ReadSlice('\n')
		if err != nil {
			return currantwood.TokenEvent{}, s.ended(err)
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) > 0 {
			if err := s.field(line); err != nil {
				return currantwood.TokenEvent{}, errors.Wrapf(err, "%s: read stream from %s", step, s.peer)
			}
			continue
		}
		if len(s.event.data) == 0 {
			s.event = event{}
			continue
		}
		return s.take()
	}
}

func (s *source) ended(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return io.EOF
	}
	return errors.Wrapf(err, "%s: read stream from %s", step, s.peer)
}

var (
	fieldID    = []byte("id: ")
	fieldData  = []byte("data: ")
	fieldEvent = []byte("event: ")
	eventDone  = []byte("done")
)

// field takes in one line. Comments and unknown fields are skipped.
func (s *source) field(line []byte) error {
	if value, ok := bytes.CutPrefix(line, fieldData); ok {
		s.event.data = append(s.event.data, value...)
		return nil
	}
	if value, ok := bytes.CutPrefix(line, fieldID); ok {
		return s.setIndex(value)
	}
	if value, ok := bytes.CutPrefix(line, fieldEvent); ok {
		s.event.done = bytes.Equal(value, eventDone)
	}
	return nil
}

func (s *source) setIndex(value []byte) error {
	var index uint64
	for _, digit := range value {
		if digit < '0' || digit > '9' {
			return errors.Errorf("event id %q is not a number", value)
		}
		index = index*10 + uint64(digit-'0')
	}
	s.event.index = index
	s.event.hasIndex = true
	return nil
}

// take turns the event that was read into a token event.
func (s *source) take() (currantwood.TokenEvent, error) {
	read := s.event
	s.event = event{data: read.data[:0]}
	if read.done {
		return doneEvent(read.data)
	}
	if !read.hasIndex {
		return currantwood.TokenEvent{}, errors.Errorf("%s: token without id from %s", step, s.peer)
	}
	text, err := textOf(read.data)
	if err != nil {
		return currantwood.TokenEvent{}, errors.Wrapf(err, "%s: decode token %s from %s", step, strconv.FormatUint(read.index, 10), s.peer)
	}
	return currantwood.TokenEvent{
		Kind:  currantwood.EventToken,
		Index: currantwood.TokenIndex(read.index),
		Text:  text,
	}, nil
}

// The form in which engines usually write a token.
var (
	textStart = []byte(`{"text": "`)
	textEnd   = []byte(`"}`)
)

// textOf reads a token's text. The usual form without escapes is cut out
// directly, since decoding would cost more than the rest of the relay.
func textOf(data []byte) (string, error) {
	if inner, ok := bytes.CutPrefix(data, textStart); ok {
		inner, ok = bytes.CutSuffix(inner, textEnd)
		if ok && bytes.IndexByte(inner, '\\') < 0 && bytes.IndexByte(inner, '"') < 0 {
			return string(inner), nil
		}
	}
	var token struct {
		Text string `json:"text"`
	}
	err := json.Unmarshal(data, &token)
	return token.Text, err
}

func doneEvent(data []byte) (currantwood.TokenEvent, error) {
	var done struct {
		Tokens       uint64 `json:"tokens"`
		FinishReason string `json:"finish-reason"`
	}
	if err := json.Unmarshal(data, &done); err != nil {
		return currantwood.TokenEvent{}, errors.Wrap(err, step+": decode end of stream")
	}
	return currantwood.TokenEvent{
		Kind:         currantwood.EventDone,
		Index:        currantwood.TokenIndex(done.Tokens),
		FinishReason: done.FinishReason,
	}, nil
}
