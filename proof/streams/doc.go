// Package streams holds end-to-end tests over real sockets, and benchmarks of how
// tokens are relayed from a side to clients. The tests check that every token
// reaches its client once, in order and from one generation; that a response is
// complete or, when its generation was lost, ends with a refusal that says so; that
// a client that accepts restarts gets all tokens of a new generation after a restart
// event; and that every request is served in full during a graceful shutdown.
package streams
