package forwarder

import "github.com/currantwood/currantwood"

// Sink takes one answer in. Its methods are called by one goroutine. An error
// says that the caller can't be reached any more.
type Sink interface {
	// Bind names the generation and upstream of what follows. With restart the
	// tokens delivered so far are void and the next one has index 0.
	Bind(generation currantwood.GenerationID, upstream currantwood.UpstreamID, restart bool) error
	// Deliver hands over consecutive tokens; the first one has the index first.
	Deliver(first currantwood.TokenIndex, texts []string) error
	// Flush gives the caller what was handed over.
	Flush() error
	// Idle is called now and then while there is nothing to hand over.
	Idle() error
}
