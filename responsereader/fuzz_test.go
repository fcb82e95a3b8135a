package responsereader

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"reflect"
	"testing"

	"golang.org/x/net/http/httpguts"
)

// FuzzReader checks that what is accepted is a response which net/http reads in the same way,
// with fields whose names and values are sound, and that it isn't one without its last byte. The
// seeds run with the other tests.
func FuzzReader(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a\r\nok\r\n0\r\nX: 1\r\n\r\n",
		"HTTP/1.0 200\n\nok",
		"HTTP/1.1 000 OK\r\nX Y: 1\r\n\r\n",
		"HTTP/1.1 204 No Content\r\nContent-Length : 3\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		source := bytes.NewReader(text)
		in := bufio.NewReaderSize(source, 16)
		response, err := New(in, newMemory()).Next(http.MethodGet)
		if err != nil {
			return
		}
		if head := text[:len(text)-source.Len()-in.Buffered()]; isWhole(head[:len(head)-1]) {
			t.Fatalf("%q is read as whole without its last byte", head)
		}
		if response.Status < 200 || response.Status > 599 {
			t.Fatalf("status %d", response.Status)
		}
		for name, values := range response.Header {
			for _, value := range values {
				if !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
					t.Fatalf("field %q: %q", name, value)
				}
			}
		}
		want := readFinal(t, text)
		if want.StatusCode != response.Status || !reflect.DeepEqual(want.Header, response.Header) {
			t.Fatalf("%d %v, net/http has %d %v", response.Status, response.Header, want.StatusCode, want.Header)
		}
		body, err := io.ReadAll(response.Body)
		if err != nil {
			return
		}
		if whole := text[:len(text)-source.Len()-in.Buffered()]; response.Framed && isWhole(whole[:len(whole)-1]) {
			t.Fatalf("%q is read as whole without its last byte", whole)
		}
		if wantBody, wantErr := io.ReadAll(want.Body); wantErr != nil || !bytes.Equal(body, wantBody) {
			t.Fatalf("body %q, net/http has %q, %v", body, wantBody, wantErr)
		}
	})
}

// isWhole reports whether text begins with a whole response.
func isWhole(text []byte) bool {
	_, _, err := read(http.MethodGet, string(text))
	return err == nil
}

// readFinal reads the first response that isn't informational with net/http.
func readFinal(t *testing.T, text []byte) *http.Response {
	in := bufio.NewReaderSize(bytes.NewReader(text), maxHeadBytes)
	for {
		response, err := http.ReadResponse(in, &http.Request{Method: http.MethodGet})
		if err != nil {
			t.Fatalf("net/http doesn't read it: %v", err)
		}
		if response.StatusCode >= http.StatusOK {
			return response
		}
	}
}
