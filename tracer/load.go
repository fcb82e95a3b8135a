package tracer

import "time"

// engineCount returns the number of engines in all regions.
func (h *Header) engineCount() int {
	n := 0
	for _, region := range h.Regions {
		n += region.Engines
	}
	return n
}

// OfferedLoad returns the ratio of the work in the trace to the capacity of the
// engines over the trace's duration. Work is engine memory integrated over time: a
// request runs for one step per output token and holds, on average, its prompt and
// half of its output.
func (t *Trace) OfferedLoad() float64 {
	duration := t.Duration().Seconds()
	if duration == 0 {
		return 0
	}
	tokenSteps := 0.0
	for i := range t.Requests {
		r := &t.Requests[i]
		output := float64(r.OutputTokens)
		tokenSteps += output * (float64(r.PromptTokens) + output/2)
	}
	capacity := float64(t.Header.engineCount()) * float64(t.Header.Engine.MemoryTokens) * duration
	return tokenSteps * t.fullStepDuration().Seconds() / capacity
}

// Duration returns the time from the trace's start to its last arrival.
func (t *Trace) Duration() time.Duration {
	if len(t.Requests) == 0 {
		return 0
	}
	return t.Requests[len(t.Requests)-1].Arrival()
}

// fullStepDuration returns the duration of a step of an engine whose memory is
// filled with requests of this trace, with prefill at the rate at which new requests
// replace finished ones.
func (t *Trace) fullStepDuration() time.Duration {
	var tokenSteps, prompts, outputs float64
	for i := range t.Requests {
		r := &t.Requests[i]
		output := float64(r.OutputTokens)
		tokenSteps += output * (float64(r.PromptTokens) + output/2)
		prompts += float64(r.PromptTokens)
		outputs += output
	}
	engine := &t.Header.Engine
	memory := float64(engine.MemoryTokens)
	running := memory * outputs / tokenSteps
	us := engine.StepBaseUs + running*engine.StepPerStreamUs + memory*engine.StepPerHeldTokenUs + running*prompts/outputs*engine.PrefillPerTokenUs
	return time.Duration(us * float64(time.Microsecond))
}
