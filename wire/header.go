package wire

import (
	"net/http"
	"strings"
)

// hopByHop are the headers that are about one connection (RFC 9110, 7.6.1), and
// those that the next sender sets anew.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// FromHeader converts headers for sending on, without those of the connection.
func FromHeader(header http.Header) []*Header {
	dropped := make(map[string]bool, len(hopByHop))
	for _, name := range hopByHop {
		dropped[name] = true
	}
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			dropped[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	var sent []*Header
	for name, values := range header {
		if dropped[name] {
			continue
		}
		for _, value := range values {
			sent = append(sent, &Header{Name: name, Value: value})
		}
	}
	return sent
}

// ToHeader converts received headers.
func ToHeader(sent []*Header) http.Header {
	header := make(http.Header, len(sent))
	for _, h := range sent {
		header.Add(h.Name, h.Value)
	}
	return header
}
