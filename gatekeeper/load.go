package gatekeeper

import (
	"time"

	"github.com/currantwood/currantwood"
)

// loadPeriod is longer than the lag of an engine's report.
const loadPeriod = 2 * time.Second

// EngineLoad takes in the engine's late report of itself. Memory that is used
// beyond the most that this side has had there lately is not its own: streams
// that an earlier side started and this one only resumed, or prompts that are
// longer than was estimated. It is taken off the memory to give out.
func (g *Gatekeeper) EngineLoad(now time.Time, load currantwood.EngineLoad) {
	if g.options.MemoryTokens == 0 && load.MemoryTokens > 0 {
		g.memory = load.MemoryTokens
	}
	g.noteHigh(now)
	g.foreign = max(load.UsedTokens-max(g.highs[0], g.highs[1]), 0)
}

// noteHigh keeps the most that was used in this period and the last.
func (g *Gatekeeper) noteHigh(now time.Time) {
	if now.Sub(g.periodAt) >= loadPeriod {
		g.periodAt = now
		g.highs[1] = g.highs[0]
		g.highs[0] = 0
	}
	g.highs[0] = max(g.highs[0], g.used)
}

// available is the memory that this side's requests may fill.
func (g *Gatekeeper) available() currantwood.TokenCount {
	return max(g.memory-g.foreign, 0)
}
