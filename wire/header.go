package wire

import (
	"net/http"
	"strings"
)

// excludedHeaders are the hop-by-hop headers (RFC 9110, section 7.6.1), and those
// that the next HTTP sender sets itself.
var excludedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// FromHeader converts HTTP headers to messages. It omits excludedHeaders and the
// headers that Connection names.
func FromHeader(header http.Header) []*Header {
	excluded := make(map[string]bool, len(excludedHeaders))
	for _, name := range excludedHeaders {
		excluded[name] = true
	}
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			excluded[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	var converted []*Header
	for name, values := range header {
		if excluded[name] {
			continue
		}
		for _, value := range values {
			converted = append(converted, &Header{Name: name, Value: value})
		}
	}
	return converted
}

// ToHeader converts messages to HTTP headers.
func ToHeader(received []*Header) http.Header {
	header := make(http.Header, len(received))
	for _, h := range received {
		header.Add(h.Name, h.Value)
	}
	return header
}
