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
// with fields whose names and values are sound. The seeds run with the other tests.
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
		response, err := New(bufio.NewReaderSize(bytes.NewReader(text), 16), newMemory()).Next(http.MethodGet)
		if err != nil {
			return
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
		if wantBody, wantErr := io.ReadAll(want.Body); wantErr != nil || !bytes.Equal(body, wantBody) {
			t.Fatalf("body %q, net/http has %q, %v", body, wantBody, wantErr)
		}
	})
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
