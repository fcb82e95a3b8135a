// Package fleet holds the tests that prove, over real sockets, what happens to
// callers when upstreams leave, freeze, die or are crashed by a request.
package fleet
