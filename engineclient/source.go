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

// readBufferBytes is the size of the read buffer of an open stream. It also
// bounds the length of a line, which holds at most one token; Next fails at a
// longer one.
const readBufferBytes = 2048

// tokenSource parses the server-sent events of one connection. It reads in the
// goroutine that calls Next and starts none of its own.
type tokenSource struct {
	body      io.ReadCloser
	reader    *bufio.Reader
	engineURL string
	pending   sseEvent
}

// sseEvent holds the fields of an event that have been read so far.
type sseEvent struct {
	index    uint64
	hasIndex bool
	done     bool
	// data is a copy because the reader reuses its buffer.
	data []byte
}

func newTokenSource(body io.ReadCloser, engineURL string) *tokenSource {
	return &tokenSource{body: body, reader: bufio.NewReaderSize(body, readBufferBytes), engineURL: engineURL}
}

// Close closes the connection. The engine continues the stream until it ends or
// reaches the engine's time limit for streams without a reader.
func (s *tokenSource) Close() error { return s.body.Close() }

// Next returns the next event. It returns an unwrapped io.EOF at the end of the
// response body, whether or not EventDone came before and also if the body was cut
// short. It wraps other read errors.
func (s *tokenSource) Next() (currantwood.TokenEvent, error) {
	for {
		line, err := s.reader.ReadSlice('\n')
		if err != nil {
			return currantwood.TokenEvent{}, s.readError(err)
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) > 0 {
			if err := s.parseField(line); err != nil {
				return currantwood.TokenEvent{}, errors.Wrapf(err, "%s: read stream from %s", errorPrefix, s.engineURL)
			}
			continue
		}
		if len(s.pending.data) == 0 {
			s.pending = sseEvent{}
			continue
		}
		return s.takeEvent()
	}
}

// readError maps the end of the response body to io.EOF and wraps other errors.
func (s *tokenSource) readError(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return io.EOF
	}
	return errors.Wrapf(err, "%s: read stream from %s", errorPrefix, s.engineURL)
}

var (
	fieldID       = []byte("id: ")
	fieldData     = []byte("data: ")
	fieldEvent    = []byte("event: ")
	doneEventName = []byte("done")
)

// parseField parses one line into s.pending. It skips comments and unknown
// fields.
func (s *tokenSource) parseField(line []byte) error {
	if value, ok := bytes.CutPrefix(line, fieldData); ok {
		s.pending.data = append(s.pending.data, value...)
		return nil
	}
	if value, ok := bytes.CutPrefix(line, fieldID); ok {
		return s.setIndex(value)
	}
	if value, ok := bytes.CutPrefix(line, fieldEvent); ok {
		s.pending.done = bytes.Equal(value, doneEventName)
	}
	return nil
}

// setIndex sets the index of the pending event from its decimal id.
func (s *tokenSource) setIndex(value []byte) error {
	var index uint64
	for _, digit := range value {
		if digit < '0' || digit > '9' {
			return errors.Errorf("event id %q is not a number", value)
		}
		index = index*10 + uint64(digit-'0')
	}
	s.pending.index = index
	s.pending.hasIndex = true
	return nil
}

// takeEvent decodes the pending event and resets it for the next one.
func (s *tokenSource) takeEvent() (currantwood.TokenEvent, error) {
	received := s.pending
	s.pending = sseEvent{data: received.data[:0]}
	if received.done {
		return decodeDone(received.data)
	}
	if !received.hasIndex {
		return currantwood.TokenEvent{}, errors.Errorf("%s: token event without id from %s", errorPrefix, s.engineURL)
	}
	text, err := decodeText(received.data)
	if err != nil {
		return currantwood.TokenEvent{}, errors.Wrapf(err, "%s: decode token %s from %s", errorPrefix, strconv.FormatUint(received.index, 10), s.engineURL)
	}
	return currantwood.TokenEvent{
		Kind:  currantwood.EventToken,
		Index: currantwood.TokenIndex(received.index),
		Text:  text,
	}, nil
}

// jsonBeforeText and jsonAfterText enclose a token's text in the JSON that engines
// normally send.
var (
	jsonBeforeText = []byte(`{"text": "`)
	jsonAfterText  = []byte(`"}`)
)

// decodeText returns the text of a token. If the JSON has exactly the usual spacing
// and no escapes, decodeText cuts the text out, because JSON decoding would cost
// more than all else that the side does for a token.
func decodeText(data []byte) (string, error) {
	if inner, ok := bytes.CutPrefix(data, jsonBeforeText); ok {
		inner, ok = bytes.CutSuffix(inner, jsonAfterText)
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

func decodeDone(data []byte) (currantwood.TokenEvent, error) {
	var done struct {
		Tokens       uint64 `json:"tokens"`
		FinishReason string `json:"finish-reason"`
	}
	if err := json.Unmarshal(data, &done); err != nil {
		return currantwood.TokenEvent{}, errors.Wrap(err, errorPrefix+": decode done event")
	}
	return currantwood.TokenEvent{
		Kind:         currantwood.EventDone,
		Index:        currantwood.TokenIndex(done.Tokens),
		FinishReason: done.FinishReason,
	}, nil
}
