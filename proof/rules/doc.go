// Package rules holds contract tests over real sockets of published rules: what
// was accepted is in force in three regions within 8 s and is never taken back.
// It has no code of its own.
package rules
