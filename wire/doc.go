// Package wire holds the protobuf messages between currantwood's own
// processes and the conversions between them and the root package's types.
package wire

//go:generate protoc --go_out=. --go_opt=paths=source_relative wire.proto
