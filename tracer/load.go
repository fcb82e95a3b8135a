package tracer

import "time"

// engines returns the number of engines in all regions.
func (h *Header) engines() int {
	n := 0
	for _, region := range h.Regions {
		n += region.Engines
	}
	return n
}

// OfferedLoad returns the work that the trace brings over what the engines can
// carry, averaged over the trace. Work is engine memory over time: a stream
// holds its prompt and half of its output, on average, for a step a token.
func (t *Trace) OfferedLoad() float64 {
	span := t.Span().Seconds()
	if span == 0 {
		return 0
	}
	held := 0.0
	for i := range t.Requests {
		r := &t.Requests[i]
		output := float64(r.OutputTokens)
		held += output * (float64(r.PromptTokens) + output/2)
	}
	capacity := float64(t.Header.engines()) * float64(t.Header.Engine.MemoryTokens) * span
	return held * t.fullStep().Seconds() / capacity
}

// Span is the time from the trace's start to its last arrival.
func (t *Trace) Span() time.Duration {
	if len(t.Requests) == 0 {
		return 0
	}
	return t.Requests[len(t.Requests)-1].Arrival()
}

// fullStep is the duration of a step of an engine whose memory is full of this
// trace's streams, with the prefill of those that follow them.
func (t *Trace) fullStep() time.Duration {
	var held, prompts, outputs float64
	for i := range t.Requests {
		r := &t.Requests[i]
		output := float64(r.OutputTokens)
		held += output * (float64(r.PromptTokens) + output/2)
		prompts += float64(r.PromptTokens)
		outputs += output
	}
	size := &t.Header.Engine
	memory := float64(size.MemoryTokens)
	streams := memory * outputs / held
	us := size.StepBaseUs + streams*size.StepStreamUs + memory*size.StepHeldUs + streams*prompts/outputs*size.PrefillUs
	return time.Duration(us * float64(time.Microsecond))
}
