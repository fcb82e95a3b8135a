// Package hopremover removes the headers of a message that must not be forwarded:
// the hop-by-hop ones (RFC 9110, section 7.6.1), Content-Length and Expect.
package hopremover

import (
	"net/http"
	"strings"
)

// removedHeaders lists, in canonical form, the headers that apply to a single
// connection, and those that are set anew when the message is forwarded.
var removedHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length"}

// Remove deletes the headers that must not be forwarded from h, including those
// that its Connection header names.
func Remove(h http.Header) {
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range removedHeaders {
		h.Del(name)
	}
}
