package bodyskipper

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// rest returns what a Skipper finds after a body of which early bytes arrive before its length
// is known, and the others in pieces.
func rest(text string, length int64, early, size int) string {
	var s Skipper
	early = min(early, len(text))
	s.Add([]byte(text[:early]))
	s.Begin(length)
	for p := []byte(text[early:]); len(p) > 0; p = p[min(size, len(p)):] {
		s.Add(p[:min(size, len(p))])
	}
	return string(s.Rest())
}

// Guards against the beginning of a next request that isn't found, or a body that is taken for
// one.
var _ = DescribeTable("Skipper finds what follows a body, however it is cut",
	func(text string, length int64, want string) {
		for early := 0; early <= len(text); early++ {
			for size := 1; size <= len(text)+1; size++ {
				Expect(rest(text, length, early, size)).To(Equal(want), "%d bytes early, then pieces of %d", early, size)
			}
		}
	},
	Entry("nothing", "", int64(0), ""),
	Entry("no body", "GET / HT", int64(0), "GET / HT"),
	Entry("a body", "body", int64(4), ""),
	Entry("a part of a body", "bo", int64(4), ""),
	Entry("a body, then a request", "bodyGET /", int64(4), "GET /"),
	Entry("chunks", "4\r\nbody\r\n1\r\n!\r\n0\r\n\r\n", int64(Chunked), ""),
	Entry("chunks, then a request", "4\r\nbody\r\n0\r\n\r\nGET /", int64(Chunked), "GET /"),
	Entry("a part of a chunk", "10\r\nGET / HTTP/1.1", int64(Chunked), ""),
	Entry("chunks with data like an end", "7\r\n0\r\n\r\nG!\r\n0\r\n\r\nGET", int64(Chunked), "GET"),
	Entry("an extension and digits in capitals", "A;x=y;name=long-value\r\n0123456789\r\n0;z\r\n\r\nGET", int64(Chunked), "GET"),
	Entry("a trailer", "1\r\nx\r\n0\r\nSum: 5\r\nOther: 6\r\n\r\nGET", int64(Chunked), "GET"),
	Entry("line feeds alone", "1\nx\r\n0\nSum: 5\n\nGET", int64(Chunked), "GET"),
)

// FuzzSkipper checks that no bytes end the process, that the result doesn't depend on how they
// are cut, and that what net/http leaves in its buffer after a request is what a Skipper finds:
// else fields could pass uncounted.
func FuzzSkipper(f *testing.F) {
	for _, seed := range []string{
		"", "4\r\nbody\r\n0\r\n\r\n", "4\r\nbody\r\n0\r\n\r\nGET / HTTP/1.1\r\n", "0\r\nA: b\r\n\r\nx", "a;b=c\r\n0123456789\r\n00\r\n\r\n", "0x4\r\nbody", "\n", "ffffffffffffffff\r\n",
		"1 \r\nx\r\n0\t\r\n\r\nGET", "1\nx\r\n0\n\nGET",
	} {
		f.Add(seed, 3)
	}
	f.Fuzz(func(t *testing.T, text string, size int) {
		if len(text) >= maxHeld {
			return
		}
		size = 1 + max(0, size)%64
		got := rest(text, Chunked, len(text)/2, size)
		if whole := rest(text, Chunked, len(text), 1); got != whole {
			t.Fatalf("%q in pieces of %d, %q whole", got, size, whole)
		}
		buffer := bufio.NewReader(io.MultiReader(strings.NewReader("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"), strings.NewReader(text)))
		request, err := http.ReadRequest(buffer)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		left, err := io.ReadAll(buffer)
		if err != nil || !bytes.Equal(left, []byte(got)) {
			t.Fatalf("net/http left %q, the Skipper found %q: %v", left, got, err)
		}
	})
}
