// Package flow groups the packages that decide how much of a response a gateway reads ahead
// of a client that reads more slowly than its upstream generates:
//
//   - bufferkeeper accounts for the events that are buffered, by stream and in total, and
//     picks the stream that is ended when the memory is used up.
//
// Package gateway reads, buffers and writes the events. docs/design/flow-control.md explains
// the design.
package flow
