package responsereader

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing/iotest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood/memorykeeper"
)

// bufferBytes is the size of the read buffer: shorter than some lines.
const bufferBytes = 64

func newMemory() *memorykeeper.Keeper { return memorykeeper.New(0, 1<<20, nil) }

// read reads one response and its body.
func read(method, text string) (*Response, string, error) {
	return readFrom(method, bufio.NewReaderSize(strings.NewReader(text), bufferBytes))
}

func readFrom(method string, in *bufio.Reader) (*Response, string, error) {
	response, err := New(in, newMemory()).Next(method)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

var _ = Describe("Reader", func() {
	DescribeTable("reads whole responses",
		func(method, text string, status int, body string, framed, closes bool) {
			for _, in := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text))} {
				response, got, err := readFrom(method, bufio.NewReaderSize(in, bufferBytes))
				Expect(err).NotTo(HaveOccurred())
				Expect(response.Status).To(Equal(status))
				Expect(got).To(Equal(body))
				Expect(response.Framed).To(Equal(framed))
				Expect(response.Close).To(Equal(closes))
			}
		},
		Entry("with a length", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 200, "ok", true, false),
		Entry("of length 0", "GET", "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", 503, "", true, false),
		Entry("in chunks", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n1;a=b\r\nk\r\n0\r\nX-Sum: 1\r\n\r\n", 200, "ok", true, false),
		Entry("without a length", "GET", "HTTP/1.1 200 OK\r\n\r\nok", 200, "ok", false, true),
		Entry("HTTP/1.0", "GET", "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", 200, "ok", true, true),
		Entry("that closes its connection", "GET", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", 200, "ok", true, true),
		Entry("to a HEAD request", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", 200, "", true, false),
		Entry("without content", "GET", "HTTP/1.1 204 No Content\r\n\r\n", 204, "", true, false),
		Entry("after informational ones", "GET", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 200, "ok", true, false),
		Entry("with lines that end in LF", "GET", "HTTP/1.1 200 OK\nContent-Length: 2\n\nok", 200, "ok", true, false),
		Entry("without a reason", "GET", "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok", 200, "ok", true, false),
		Entry("with a field longer than the read buffer", "GET", "HTTP/1.1 200 OK\r\nX-Long: "+strings.Repeat("a", 9000)+"\r\nContent-Length: 2\r\n\r\nok", 200, "ok", true, false),
		Entry("with the same length twice", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok", 200, "ok", true, false),
	)

	DescribeTable("fails for what isn't a whole response",
		func(text string, want error) {
			_, _, err := read(http.MethodGet, text)
			Expect(err).To(MatchError(want))
		},
		Entry("nothing", "", io.EOF),
		Entry("a status of 000", "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok", ErrMalformed),
		Entry("a status of two digits", "HTTP/1.1 20 OK\r\nContent-Length: 2\r\n\r\nok", ErrMalformed),
		Entry("a status of 600", "HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\nok", ErrMalformed),
		Entry("a blank before the status", "HTTP/1.1  200 OK\r\nContent-Length: 2\r\n\r\nok", ErrMalformed),
		Entry("another protocol", "HTTP/3.1 200 OK\r\nContent-Length: 2\r\n\r\nok", ErrMalformed),
		Entry("a change of the protocol", "HTTP/1.1 101 Switching Protocols\r\n\r\n", ErrMalformed),
		Entry("a control byte in the reason", "HTTP/1.1 200 O\x00K\r\n\r\n", ErrMalformed),
		Entry("a blank in a name", "HTTP/1.1 200 OK\r\nX Y: 1\r\n\r\n", ErrMalformed),
		Entry("a blank before a colon", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok", ErrMalformed),
		Entry("an empty name", "HTTP/1.1 200 OK\r\n: 2\r\n\r\nok", ErrMalformed),
		Entry("a byte above ASCII in a name", "HTTP/1.1 200 OK\r\nX\xe9: 2\r\n\r\nok", ErrMalformed),
		Entry("a control byte in a value", "HTTP/1.1 200 OK\r\nX: \x7f\r\n\r\nok", ErrMalformed),
		Entry("a line that goes on", "HTTP/1.1 200 OK\r\nX: 1\r\n 2\r\n\r\nok", ErrMalformed),
		Entry("no colon", "HTTP/1.1 200 OK\r\nX\r\n\r\nok", ErrMalformed),
		Entry("an unknown encoding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok", ErrMalformed),
		Entry("a negative length", "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok", ErrMalformed),
		Entry("two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok", ErrMalformed),
		Entry("a length beside chunks", "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", ErrMalformed),
		Entry("the end within the status line", "HTTP/1.1 200", io.ErrUnexpectedEOF),
		Entry("the end within the head", "HTTP/1.1 200 OK\r\nX: 1\r\n", io.ErrUnexpectedEOF),
		Entry("the end after an informational response", "HTTP/1.1 100 Continue\r\n\r\n", io.EOF),
		Entry("the end within the body", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", io.ErrUnexpectedEOF),
		Entry("the end within the chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", io.ErrUnexpectedEOF),
		Entry("the end within the trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: 1\r\n", io.ErrUnexpectedEOF),
		Entry("a blank in a name of the trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX Y: 1\r\n\r\n", ErrMalformed),
		Entry("a status line without end", "HTTP/1.1 200 "+strings.Repeat("a", maxHeadBytes), ErrHeadTooLong),
		Entry("a field without end", "HTTP/1.1 200 OK\r\nX: "+strings.Repeat("a", maxHeadBytes), ErrHeadTooLong),
		Entry("fields without end", "HTTP/1.1 200 OK\r\n"+strings.Repeat("X: 1\r\n", maxHeadFields+1), ErrHeadTooLong),
		Entry("informational responses without end", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", maxHeadBytes), ErrHeadTooLong),
		Entry("trailers without end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"+strings.Repeat("X: 1\r\n", maxTrailerBytes), ErrHeadTooLong),
	)

	It("fails for a chunk's extension without end", func() {
		_, _, err := read(http.MethodGet, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;"+strings.Repeat("a", 1<<20))
		Expect(err).To(HaveOccurred())
	})

	It("reads one response after the other", func() {
		in := bufio.NewReaderSize(strings.NewReader("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 201 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n\r\nHTTP/1.1 202 OK\r\n\r\nc"), bufferBytes)
		reader, got := New(in, newMemory()), ""
		for status := 200; status <= 202; status++ {
			response, err := reader.Next(http.MethodGet)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Status).To(Equal(status))
			body, err := io.ReadAll(response.Body)
			Expect(err).NotTo(HaveOccurred())
			got += string(body)
		}
		Expect(got).To(Equal("abc"))
	})

	// Guards against many long heads that together fill the process's memory.
	It("charges long heads until they are released, and short ones not at all", func() {
		memory := newMemory()
		long := "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("a", 40_000) + "\r\nContent-Length: 0\r\n\r\n"
		reader := New(bufio.NewReaderSize(strings.NewReader(long), bufferBytes), memory)
		_, err := reader.Next(http.MethodGet)
		Expect(err).NotTo(HaveOccurred())
		Expect(memory.Used()).To(BeNumerically(">", 40_000))
		reader.Release()
		reader.Release()
		Expect(memory.Used()).To(BeZero())
		Expect(memory.TryReserve(memory.Limit())).To(BeTrue())
		_, err = New(bufio.NewReaderSize(strings.NewReader(long), bufferBytes), memory).Next(http.MethodGet)
		Expect(err).To(MatchError(memorykeeper.ErrExhausted))
		_, err = New(bufio.NewReaderSize(strings.NewReader("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"), bufferBytes), memory).Next(http.MethodGet)
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against a response that looks whole although its sender stopped within the head: a
	// field or the framing that it would have had is missing.
	DescribeTable("fails wherever within the head the connection ends",
		func(head string) {
			for end := range len(head) {
				for _, in := range []io.Reader{strings.NewReader(head[:end]), iotest.OneByteReader(strings.NewReader(head[:end]))} {
					_, _, err := readFrom(http.MethodGet, bufio.NewReaderSize(in, bufferBytes))
					Expect(err).To(HaveOccurred(), "%q", head[:end])
				}
			}
			_, err := New(bufio.NewReaderSize(strings.NewReader(head), bufferBytes), newMemory()).Next(http.MethodGet)
			Expect(err).NotTo(HaveOccurred())
		},
		Entry("with a length", "HTTP/1.1 200 OK\r\nX-Note: a b\r\nContent-Length: 120\r\n\r\n"),
		Entry("with a length first", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Note: a b\r\n\r\n"),
		Entry("of chunks", "HTTP/1.1 200 OK\r\nX-Note: a\r\nTransfer-Encoding: chunked\r\n\r\n"),
		Entry("without framing", "HTTP/1.1 200 OK\r\nX-Note: a\r\nX-Other: b\r\n\r\n"),
		Entry("without content", "HTTP/1.1 204 No Content\r\nX-Note: a\r\n\r\n"),
		Entry("in HTTP/1.0", "HTTP/1.0 200 OK\r\nX-Note: a\r\n\r\n"),
		Entry("with lines that end in LF", "HTTP/1.1 200\nX-Note: a\nContent-Length: 12\n\n"),
		Entry("after an informational one", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
	)
})
