// Package rules tests the publication of rules over real sockets: an accepted
// publication is in force in three regions within 8 s, and no process ever returns
// to an earlier one. The package contains only tests.
package rules
