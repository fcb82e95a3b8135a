package balancer

import (
	"time"
)

const (
	// regionPenalty is added to the score of an upstream outside the preferred
	// region. One inside may be fuller by that much and still be chosen.
	regionPenalty = 0.12
	// zonePenalty is added to the score of an upstream in another availability
	// zone of the preferred region.
	zonePenalty = 0.03
	// warmUpPenalty is added to the score of an upstream that is still slow
	// after its start.
	warmUpPenalty = 0.25
	// resumePenalty is added to the score of an upstream whose pause has just ended, for
	// fewer and fewer requests.
	resumePenalty = 0.5
	// slownessPenalty is added to the score of an upstream at which work takes twice the
	// usual time, for a request whose output is long. It outweighs regionPenalty: the slow
	// upstream delays each event, the distance only the first one.
	slownessPenalty = 0.4
	// longOutputTokens is the number of output tokens from which on a request takes mostly
	// as long as its output.
	longOutputTokens = 256
	// fullPrefillQueue is the number of queued prompt tokens, those not prefilled
	// yet, that scores like a full upstream. Their prefill takes a second at 14
	// tokens per millisecond, and 2.1 s at initialPrefillTimePerToken.
	fullPrefillQueue = 14_000
	// avoidPrefillWeight is the additional weight of queued prompt tokens where
	// the upstream is chosen for a run that is moved.
	avoidPrefillWeight = 4
)

// evaluate scores an upstream by the requests, relative to its concurrency limit, and the
// memory in use with this request, its queued prompts, its speed, its distance, whether it is
// warming up or was paused, and whether others need its room more.
func (b *Balancer) evaluate(now time.Time, g *group, u *upstream, q Query) Choice {
	load := b.TotalLoad(now, u.view.ID)
	score := float64(load.Requests+1) / float64(b.limits.Limit(now, u.view.ID, max(1, u.view.Slots)))
	used := score
	if e := g.config.Engine; e != nil && e.MemoryTokens > 0 {
		memory := float64(load.MemoryTokens+q.Load.MemoryTokens) / float64(e.MemoryTokens)
		used = max(used, memory)
		score = (score+memory)/2 + float64(load.PrefillTokens)/fullPrefillQueue
		if q.AvoidPrefill {
			score += avoidPrefillWeight * float64(load.PrefillTokens) / fullPrefillQueue
		}
	}
	relativeTime := b.speeds.RelativeTime(now, u.view.ID)
	if used > 1 {
		// An upstream that the request would fill beyond its slots or memory doesn't count
		// as fast.
		relativeTime = max(1, relativeTime)
	}
	score *= relativeTime
	score += slownessPenalty * (relativeTime - 1) * q.longOutputShare()
	// The prompt itself takes longer at a slow upstream, too.
	score += (relativeTime - 1) * float64(q.Load.PrefillTokens) / fullPrefillQueue
	score += b.distancePenalty(q.Zone, u.view.Zone)
	score += u.lossPenaltyAt(q)
	score += b.roomPenalty(g, q, u.view.Zone, used)
	if now.Before(u.view.WarmAt) {
		score += warmUpPenalty
	}
	if b.random.Float64() >= b.notices.ResumedShare(now, u.view.ID, u.view.Incarnation) {
		score += resumePenalty
	}
	// Random noise keeps gateways from all choosing the same one of upstreams with
	// nearly equal scores.
	score += b.random.Float64() * 0.01
	return Choice{View: u.view, Score: score, Load: load, PickedAt: now}
}
