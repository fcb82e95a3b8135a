// Package peerwire holds the protobuf messages that gateways exchange in UDP
// datagrams. A lost or late datagram only makes routing, the retry budget and the
// blocking of requests that crash upstreams rely on older data. A gateway that gets
// no digests reads the store itself.
package peerwire

//go:generate protoc --go_out=. --go_opt=paths=source_relative peer.proto
