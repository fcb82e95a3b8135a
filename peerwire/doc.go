// Package peerwire holds the protobuf messages that gateways exchange in UDP
// datagrams. A lost or late datagram makes routing decisions worse but never
// wrong.
package peerwire

//go:generate protoc --go_out=. --go_opt=paths=source_relative peer.proto
