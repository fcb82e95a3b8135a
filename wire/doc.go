// Package wire declares the protobuf messages that currantwood's own processes
// exchange, and converts HTTP headers and refusals to and from messages.
package wire

//go:generate protoc --go_out=. --go_opt=paths=source_relative wire.proto
