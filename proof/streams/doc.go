// Package streams holds the tests that prove, over real sockets, that every
// token reaches its caller once, in order and from one generation, that answers
// are whole and go to who asked, and that a graceful shutdown cuts nothing.
package streams
