package forwarder

import "github.com/currantwood/currantwood"

// Sink receives the response to one request. All calls come from one goroutine. An error
// means that the client can no longer be reached.
type Sink interface {
	// Bind sets the generation and upstream of the tokens that follow. All tokens
	// delivered before are void. If restart is true, the client has seen some of them and
	// must be told; the next token then has index 0.
	Bind(generation currantwood.GenerationID, upstream currantwood.UpstreamID, restart bool) error
	// Deliver adds consecutive tokens; first is the index of the first of them.
	Deliver(first currantwood.TokenIndex, texts []string) error
	// Flush sends the delivered tokens to a client that reads a stream. A response that
	// isn't streamed is sent after Forward has returned.
	Flush() error
	// Idle is called every Options.IdleInterval while there are no tokens to deliver, so that
	// the sink can send a heartbeat. A failed heartbeat shows that the client is gone.
	Idle() error
}
