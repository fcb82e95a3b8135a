package runstopper

//go:generate go tool stringer -linecomment -type=Outcome

// Outcome is what became of a run.
type Outcome int

// Outcomes.
const (
	// Unknown means that the run isn't known to have ended.
	Unknown Outcome = iota // unknown
	// Ended means that the run had ended before the first order that the engine answered.
	Ended // ended
	// Stopped means that the engine worked on the run until an order stopped it.
	Stopped // stopped
	// Skipped means that nothing was asked, as too many runs were being stopped.
	Skipped // skipped
)
