package eventsplitter

import (
	"io"
	"strings"
	"testing/iotest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Splitter", func() {
	DescribeTable("returns whole events only",
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
		Entry("carriage returns", "id: 1\r\ndata: a\r\n\r\n", []int64{1}, io.EOF),
		Entry("a line before the id", "version: 3\nid: 7\ndata: a\n\n", []int64{7}, io.EOF),
		Entry("no id", "data: a\n\n", []int64{-1}, io.EOF),
		Entry("an end within an event", "id: 1\ndata: a\n\nid: 2\ndata: ha", []int64{1}, io.ErrUnexpectedEOF),
		Entry("an end before the empty line", "id: 1\ndata: a\n", nil, io.ErrUnexpectedEOF),
		Entry("nothing", "", nil, io.EOF),
		Entry("a long line", "id: 1\ndata: "+strings.Repeat("x", 9000)+"\n\n", []int64{1}, io.EOF),
	)

	It("gives up on an event without end", func() {
		_, err := New(strings.NewReader(strings.Repeat("x", 3<<20))).Next()
		Expect(err).To(MatchError(ContainSubstring("event of over")))
	})
})
