package budgeter

import (
	"time"

	"github.com/currantwood/currantwood"
)

// contenders returns how many gateways may retry before this one hears of it. Of many
// gateways, each of which serves few, those are fewer than all: a failed request is one that
// is served meanwhile, and a run that is moved was a request within about a window. Once all
// know which upstreams leave, they are at most as many as the runs there; relocated runs are
// elsewhere.
func (b *Budgeter) contenders(now time.Time, id currantwood.GroupID, requests int, reason RetryReason) float64 {
	if reason != FailedRequest {
		moving := movedShare * float64(requests)
		if runs, settled := b.leaving[id].total(now); settled && reason == MovedRun {
			moving = min(moving, float64(runs))
		}
		return min(float64(b.peers.Gateways), minGateways+moving)
	}
	unheard := reportDelay + now.Sub(b.peersAt)
	served := float64(requests) * unheard.Seconds() / b.options.Window.Seconds()
	return min(float64(b.peers.Gateways), minGateways+burstFactor*served)
}
