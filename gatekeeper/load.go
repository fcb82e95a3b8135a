package gatekeeper

import (
	"time"

	"github.com/currantwood/currantwood"
)

// usedWindow is the length of the windows of Gatekeeper.maxUsed. It is longer
// than the delay of an engine's report, so that memory freed since the report
// was made is not counted as untracked.
const usedWindow = 2 * time.Second

// ObserveEngineLoad processes the engine's report of its load, which arrives
// with a delay. Memory used beyond the recent maximum of this side's own
// streams belongs to streams that an earlier incarnation of the side started, or
// to prompts that are longer than estimated. It is subtracted from the available
// memory.
func (g *Gatekeeper) ObserveEngineLoad(now time.Time, load currantwood.EngineLoad) {
	if g.options.MemoryTokens == 0 && load.MemoryTokens > 0 {
		g.memoryTokens = load.MemoryTokens
	}
	g.updateMaxUsed(now)
	g.untrackedTokens = max(load.UsedTokens-max(g.maxUsed[0], g.maxUsed[1]), 0)
}

// updateMaxUsed updates the maximum of usedTokens in the current and the
// previous window.
func (g *Gatekeeper) updateMaxUsed(now time.Time) {
	if now.Sub(g.windowStart) >= usedWindow {
		g.windowStart = now
		g.maxUsed[1] = g.maxUsed[0]
		g.maxUsed[0] = 0
	}
	g.maxUsed[0] = max(g.maxUsed[0], g.usedTokens)
}

// availableTokens returns the memory that the requests of this gatekeeper may
// use.
func (g *Gatekeeper) availableTokens() currantwood.TokenCount {
	return max(g.memoryTokens-g.untrackedTokens, 0)
}
