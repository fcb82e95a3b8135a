package wire

// The values of Cancel.Reason.
const (
	// ReasonClientGone means that the client has disconnected and may reconnect:
	// the side keeps the generation for a limited time.
	ReasonClientGone = "caller-gone"
	// ReasonGivenUp means that the generation will not be resumed: the side
	// cancels it.
	ReasonGivenUp = "given-up"
)
