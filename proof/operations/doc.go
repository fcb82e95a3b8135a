// Package operations tests over real sockets what clients are told of operations
// that must not run twice: a key runs at most once, and work that ran is never
// reported as "not-run". The package contains only tests.
package operations
