package forwarder

import "github.com/currantwood/currantwood"

// Sink receives the response to one request. All calls come from one goroutine. An error
// means that the client can no longer be reached.
type Sink interface {
	// Bind sets the generation and upstream of the tokens that follow. If restart is
	// true, the tokens delivered so far are void and the next one has index 0.
	Bind(generation currantwood.GenerationID, upstream currantwood.UpstreamID, restart bool) error
	// Deliver adds consecutive tokens, which Flush sends. The first has the index first.
	Deliver(first currantwood.TokenIndex, texts []string) error
	// Flush sends the delivered tokens to the client.
	Flush() error
	// Idle is called at a fixed interval while there are no tokens to deliver.
	Idle() error
}
