// Package peerwire holds the protobuf messages that gateways send each other
// in datagrams. A lost or late one makes routing worse and nothing wrong.
package peerwire

//go:generate protoc --go_out=. --go_opt=paths=source_relative peer.proto
