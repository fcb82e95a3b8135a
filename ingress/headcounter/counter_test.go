package headcounter

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = DescribeTable("Counter counts a head up to its end, however it is cut",
	func(text string, bytes, fields int, ended bool) {
		for size := 1; size <= len(text)+1; size++ {
			var c Counter
			for rest := []byte(text); len(rest) > 0; rest = rest[min(size, len(rest)):] {
				c.Count(rest[:min(size, len(rest))])
			}
			Expect([]any{c.Bytes(), c.Fields(), c.Ended()}).To(Equal([]any{bytes, fields, ended}), "pieces of %d", size)
		}
	},
	Entry("nothing", "", 0, 0, false),
	Entry("part of a request line", "GET / HT", 8, 0, false),
	Entry("no field", "GET / HTTP/1.1\r\n\r\n", 18, 0, true),
	Entry("a field that hasn't ended", "GET / HTTP/1.1\r\na:\r\nb:", 22, 1, false),
	Entry("two fields, then a body", "GET / HTTP/1.1\r\na:\r\nb:\r\n\r\nbody\r\n\r\n", 26, 2, true),
	Entry("line feeds alone", "GET / HTTP/1.1\na:\nb:\n\nbody", 22, 2, true),
	// net/http skips empty lines after a POST, and what follows must be counted all the same.
	Entry("an empty line first", "\r\nGET / HTTP/1.1\r\na:\r\n", 22, 1, false),
	Entry("empty lines first, then a whole head", "\r\n\nGET / HTTP/1.1\r\na:\r\n\r\nbody", 25, 1, true),
)

var _ = It("a head at the limits doesn't exceed them, one field or byte more does", func() {
	var c Counter
	c.Count([]byte("GET / HTTP/1.1\r\na:\r\nb:\r\n\r\n"))
	Expect(c.Exceeds(Limits{Bytes: 26, Fields: 2})).To(BeFalse())
	Expect(c.Exceeds(Limits{Bytes: 25, Fields: 2})).To(BeTrue())
	Expect(c.Exceeds(Limits{Bytes: 26, Fields: 1})).To(BeTrue())
})

// FuzzCounter checks that no bytes end the process, that the count doesn't depend on how
// they are cut, and that a head which net/http parses has no more fields or bytes than are
// counted: else a head could pass the limits.
func FuzzCounter(f *testing.F) {
	for _, seed := range []string{
		"", "\n", "\r\n\r\n", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", "GET / HTTP/1.1\nHost: a\n\nbody",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc", "GET / HTTP/1.1\r\nHost: a\r\na: b\r\n c\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\r\n\r\r\n", "GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 50) + "\r\n", "GET / HTTP/1.1\r\na\x00b:\r\n",
	} {
		f.Add([]byte(seed), 3)
	}
	f.Fuzz(func(t *testing.T, data []byte, size int) {
		var whole, cut Counter
		whole.Count(data)
		size = 1 + max(0, size)%64
		for rest := data; len(rest) > 0; rest = rest[min(size, len(rest)):] {
			cut.Count(rest[:min(size, len(rest))])
		}
		if whole != cut {
			t.Fatalf("%+v whole, %+v in pieces of %d", whole, cut, size)
		}
		if whole.Bytes() > len(data) || whole.Fields() > len(data) {
			t.Fatalf("%+v for %d bytes", whole, len(data))
		}
		request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(data)))
		if err != nil {
			return
		}
		parsed := 0
		for _, values := range request.Header {
			parsed += len(values)
		}
		if parsed > whole.Fields() {
			t.Fatalf("%d fields parsed, %d counted", parsed, whole.Fields())
		}
	})
}
