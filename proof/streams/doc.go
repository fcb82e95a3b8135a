// Package streams holds end-to-end tests over real sockets: every token reaches
// its client once, in order and from one generation; every response is complete
// and reaches the client that sent the request; and a graceful shutdown cuts off
// no request.
package streams
