// Package peerwire holds the protobuf messages that gateways exchange in UDP
// datagrams. A lost or late datagram only makes routing decisions rely on older
// data; correctness doesn't depend on it.
package peerwire

//go:generate protoc --go_out=. --go_opt=paths=source_relative peer.proto
