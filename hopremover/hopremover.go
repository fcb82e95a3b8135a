// Package hopremover removes hop-by-hop headers (RFC 9110, section 7.6.1) from a
// message, so that the others can be forwarded.
package hopremover

import (
	"net/http"
	"strings"
)

// hopByHopHeaders lists, in canonical form, the headers that apply to a single
// connection, and those that the next hop sets according to what it sends.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length"}

// Remove deletes the hop-by-hop headers from h, including those that its
// Connection header names.
func Remove(h http.Header) {
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}
