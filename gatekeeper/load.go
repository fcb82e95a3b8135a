package gatekeeper

import (
	"time"

	"github.com/currantwood/currantwood"
)

// maxUsedPeriod must be longer than the delay of an engine's report.
const maxUsedPeriod = 2 * time.Second

// ObserveEngineLoad processes the engine's report of its load, which arrives
// with a delay. Memory used beyond the recent maximum of this side's own
// streams belongs to streams that an earlier side started, or to prompts that
// are longer than estimated. It is subtracted from the available memory.
func (g *Gatekeeper) ObserveEngineLoad(now time.Time, load currantwood.EngineLoad) {
	if g.options.MemoryTokens == 0 && load.MemoryTokens > 0 {
		g.memoryTokens = load.MemoryTokens
	}
	g.updateMaxUsed(now)
	g.untrackedTokens = max(load.UsedTokens-max(g.maxUsed[0], g.maxUsed[1]), 0)
}

// updateMaxUsed updates the maximum of usedTokens in the current and the
// previous period.
func (g *Gatekeeper) updateMaxUsed(now time.Time) {
	if now.Sub(g.periodStart) >= maxUsedPeriod {
		g.periodStart = now
		g.maxUsed[1] = g.maxUsed[0]
		g.maxUsed[0] = 0
	}
	g.maxUsed[0] = max(g.maxUsed[0], g.usedTokens)
}

// availableTokens returns the memory that this side's requests may use.
func (g *Gatekeeper) availableTokens() currantwood.TokenCount {
	return max(g.memoryTokens-g.untrackedTokens, 0)
}
