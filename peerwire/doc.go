// Package peerwire holds the protobuf messages that gateways exchange in UDP
// datagrams. A lost or late datagram only makes routing, the retry budget, the blocking
// of requests that crash upstreams and the shares of rate limits rely on older data. A
// stream whose start isn't known is refused. A gateway that gets no digests reads the
// store itself.
package peerwire

//go:generate protoc --go_out=. --go_opt=paths=source_relative peer.proto
