// Package operations holds contract tests over real sockets of what is told to
// callers of operations that may run once: at most one run for a key, and no
// "not-run" for work that ran. It has no code of its own.
package operations
