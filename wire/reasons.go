package wire

// The reasons of a Cancel.
const (
	// ReasonCallerGone says that the caller left and may reconnect: the side
	// keeps the generation for a while.
	ReasonCallerGone = "caller-gone"
	// ReasonGivenUp says that nobody will ask for the generation again.
	ReasonGivenUp = "given-up"
)
