package eventsplitter

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"
)

// FuzzSplitter checks that events are what arrived, in order and whole, however it is cut into
// reads. The seeds run with the other tests.
func FuzzSplitter(f *testing.F) {
	for _, seed := range []string{
		"id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
		"id: 1\r\ndata: a\r\n\r\n: keep-alive\n\n",
		"\n\nid: -1\n\nid: 99999999999999999999\n\n",
		"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\nerror",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		whole, ids, end := splitAll(bytes.NewReader(text))
		if !bytes.HasPrefix(text, whole) {
			t.Fatalf("events %q aren't the beginning of %q", whole, text)
		}
		if errors.Is(end, io.EOF) && len(whole) != len(text) {
			t.Fatalf("%d bytes at the end were dropped", len(text)-len(whole))
		}
		inParts, sameIDs, sameEnd := splitAll(iotest.OneByteReader(bytes.NewReader(text)))
		if !bytes.Equal(whole, inParts) || len(ids) != len(sameIDs) || !errors.Is(sameEnd, end) {
			t.Fatalf("%q and %v, byte by byte %q and %v", whole, end, inParts, sameEnd)
		}
	})
}

// splitAll returns the text and the ids of all events, and the error after the last one.
func splitAll(body io.Reader) (text []byte, ids []int64, end error) {
	s := New(body, newMemory())
	for {
		event, err := s.Next()
		if err != nil {
			return text, ids, err
		}
		text, ids = append(text, event.Text...), append(ids, event.ID)
	}
}
