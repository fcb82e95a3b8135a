package eventsplitter

import (
	"io"
	"strings"
	"testing/iotest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood/memorykeeper"
)

func newMemory() *memorykeeper.Keeper { return memorykeeper.New(0, 4<<20, nil) }

var _ = Describe("Splitter", func() {
	DescribeTable("returns only complete events",
		func(text string, ids []int64, end error) {
			for _, body := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text))} {
				s := New(body, newMemory())
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
		_, err := New(strings.NewReader(text), newMemory()).Next()
		Expect(err).To(MatchError(ErrEventTooLong))
		Expect(err).To(MatchError(ContainSubstring("event exceeds 1048576 bytes")))
	},
		Entry("in one line", strings.Repeat("x", 3<<20)),
		Entry("in many lines", strings.Repeat("data: x\n", 400_000)),
	)
})

var _ = DescribeTable("An event is a comment if all its lines are",
	func(text string, comment bool) {
		event, err := New(strings.NewReader(text+"\n\n"), newMemory()).Next()
		Expect(err).NotTo(HaveOccurred())
		Expect(event.Comment).To(Equal(comment))
	},
	Entry("one line", ": keep-alive", true),
	Entry("a line longer than the read buffer", ":"+strings.Repeat("a", 3*readBufferBytes), true),
	Entry("two lines", ":\n: a", true),
	Entry("a field", "data: a", false),
	Entry("a field after a comment", ": a\ndata: a", false),
	Entry("a text", "some error.", false),
)

// endless is a body that repeats a text until it was read for a number of times.
type endless struct {
	text string
	left int
}

func (e *endless) Read(p []byte) (int, error) {
	if e.left--; e.left < 0 {
		return 0, io.ErrUnexpectedEOF
	}
	return copy(p, e.text), nil
}

var _ = Describe("Events that aren't complete", func() {
	// Guards against many long events that together fill the process's memory.
	It("take no more memory together than there is, and give it back", func() {
		memory := memorykeeper.New(0, 1<<20, nil)
		held := 0
		for range 8 {
			s := New(&endless{text: strings.Repeat("a", 1024), left: 500}, memory)
			_, err := s.Next()
			Expect(err).To(MatchError(io.ErrUnexpectedEOF))
			held++
		}
		Expect(held).To(Equal(8))
		Expect(memory.Used()).To(BeZero())
		Expect(memory.TryReserve(memory.Limit() - 100_000)).To(BeTrue())
		_, err := New(&endless{text: strings.Repeat("a", 1024), left: 500}, memory).Next()
		Expect(err).To(MatchError(memorykeeper.ErrExhausted))
		Expect(memory.Used()).To(Equal(memory.Limit() - 100_000))
	})

	// Guards against a fix that refuses short events while others fill the memory.
	It("are read if they are short, also without memory", func() {
		memory := memorykeeper.New(0, 1<<20, nil)
		Expect(memory.TryReserve(memory.Limit())).To(BeTrue())
		event, err := New(strings.NewReader("id: 1\ndata: "+strings.Repeat("a", 2000)+"\n\n"), memory).Next()
		Expect(err).NotTo(HaveOccurred())
		Expect(event.ID).To(BeEquivalentTo(1))
	})
})
