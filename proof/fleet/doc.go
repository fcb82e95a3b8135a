// Package fleet holds end-to-end tests over real sockets of what clients get when
// upstreams leave, freeze or fail, or are crashed by a request.
package fleet
