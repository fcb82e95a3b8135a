// Package ingress groups the packages that bound what clients outside our control can take
// of a gateway process, at each of its TCP listeners:
//
//   - apportioner divides the VM's memory and file descriptors among the listeners.
//   - headcounter counts the bytes and fields of a request head before it is parsed.
//   - bodyskipper finds what a client has sent after a request, which nobody has counted.
//   - progressmeter tells how far a head, a body or a response is behind the least rate.
//   - victimpicker picks the connection that is dropped when a budget is used up.
//   - connlimiter wraps listeners and handlers, and applies the decisions of the others.
//
// docs/design/client-limits.md explains the design.
package ingress
