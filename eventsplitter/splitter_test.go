package eventsplitter

import (
	"io"
	"strings"
	"testing/iotest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Splitter", func() {
	DescribeTable("returns only complete events",
		func(text string, ids []int64, end error) {
			for _, body := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text))} {
				s := New(body)
				var got []int64
				passed := ""
				event, err := s.Next()
				for ; err == nil; event, err = s.Next() {
					got = append(got, event.ID)
					passed += string(event.Text)
				}
				Expect(err).To(Equal(end))
				Expect(got).To(Equal(ids))
				Expect(text).To(HavePrefix(passed))
			}
		},
		Entry("two events", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []int64{1, 2}, io.EOF),
		Entry("lines that end in CRLF", "id: 1\r\ndata: a\r\n\r\n", []int64{1}, io.EOF),
		Entry("a line before the id", "version: 3\nid: 7\ndata: a\n\n", []int64{7}, io.EOF),
		Entry("no id", "data: a\n\n", []int64{-1}, io.EOF),
		Entry("body ends within a line of an event", "id: 1\ndata: a\n\nid: 2\ndata: ha", []int64{1}, io.ErrUnexpectedEOF),
		Entry("body ends before the empty line", "id: 1\ndata: a\n", nil, io.ErrUnexpectedEOF),
		Entry("empty body", "", nil, io.EOF),
		Entry("a line longer than the read buffer", "id: 1\ndata: "+strings.Repeat("x", 9000)+"\n\n", []int64{1}, io.EOF),
		// Guards against events that are dropped as ones that the client has, or cut in two.
		Entry("text that looks like an id where the read buffer ends", "id: 5\ndata: "+strings.Repeat("x", readBufferBytes-6)+"id: 3\n\nid: 6\ndata: b\n\n", []int64{5, 6}, io.EOF),
		Entry("a line that fills the read buffer", "id: 5\ndata: "+strings.Repeat("x", readBufferBytes-6)+"\ndata: more\n\n", []int64{5}, io.EOF),
		Entry("a CRLF where the read buffer ends", "id: 5\ndata: "+strings.Repeat("x", readBufferBytes-7)+"\r\ndata: more\n\n", []int64{5}, io.EOF),
		Entry("a line that fills the read buffer by itself", "data: "+strings.Repeat("x", readBufferBytes-6)+"\nid: 5\n\n", []int64{5}, io.EOF),
		Entry("an id where the read buffer ends by itself", "data: "+strings.Repeat("x", readBufferBytes-6)+"id: 3\nid: 5\n\n", []int64{5}, io.EOF),
		Entry("an id after a long line and no other", "data: "+strings.Repeat("x", readBufferBytes-6)+"id: 3\n\n", []int64{-1}, io.EOF),
	)

	DescribeTable("fails on an event that exceeds the size limit", func(text string) {
		_, err := New(strings.NewReader(text)).Next()
		Expect(err).To(MatchError(ErrEventTooLong))
		Expect(err).To(MatchError(ContainSubstring("event exceeds 1048576 bytes")))
	},
		Entry("in one line", strings.Repeat("x", 3<<20)),
		Entry("in many lines", strings.Repeat("data: x\n", 400_000)),
	)
})
