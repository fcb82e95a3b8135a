package gateway

import (
	"time"

	"github.com/currantwood/currantwood/balancer"
)

// pickUpstream picks an upstream that was not attempted yet and reports the
// load to the balancer.
//
// A generation isn't queued at an engine if none has enough memory for it or none would
// prefill its prompt in time. In a queue there it would cause other generations to be
// preempted, or delay later ones. It is refused or, with QueueRequests, may wait here for
// room. restrict may narrow the choice.
func (q *request) pickUpstream(now time.Time, stallTimeout time.Duration, restrict func(q *balancer.Query)) (balancer.Choice, error) {
	if q.g.Settings.QueueRequests && q.isGeneration() {
		return q.pickOrWait(now, stallTimeout, restrict)
	}
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	return q.pickNow(now, stallTimeout, restrict)
}

// pickNow picks an upstream by the present loads. The caller holds the gateway's mu.
func (q *request) pickNow(now time.Time, stallTimeout time.Duration, restrict func(q *balancer.Query)) (balancer.Choice, error) {
	q.g.syncGroups(q.snapshot)
	query := q.query(now)
	restrict(&query)
	choice, err := q.g.balancer.Pick(now, query)
	if err == nil {
		q.started(now, choice, stallTimeout)
	}
	return choice, err
}

// query returns the query for an upstream as of now.
func (q *request) query(now time.Time) balancer.Query {
	query := balancer.Query{Group: q.group, Load: q.load(), Zone: q.g.Settings.Zone, Regions: q.regions(), Exclude: q.attempted}
	if q.isGeneration() {
		query.OutputTokens = q.client.Size.Expected(q.client.LengthHint) - q.client.Size.Prompt
		query.RequireCapacity, query.MaxPrefillWait = true, q.maxQueueTimeAfter(now)
		q.leaveRoomForTighter(&query)
	}
	return query
}

// started reports to the balancer that the request is sent to an upstream. The caller holds
// the gateway's mu.
func (q *request) started(now time.Time, choice balancer.Choice, stallTimeout time.Duration) {
	q.pickedAt = now
	q.g.balancer.Started(now, choice.View, q.load(), stallTimeout)
}

// maxQueueTime is how long prompts queued at an engine may delay this one. It is
// shorter for lower priorities, so that under load less urgent requests are
// refused first.
func (q *request) maxQueueTime() time.Duration {
	stepsBelow := maxPriority - min(q.priority, maxPriority)
	share := maxQueueShare * (1 - queueSharePerPriority*float64(stepsBelow))
	return time.Duration(share * float64(q.route.Target))
}

// maxQueueTimeAfter is maxQueueTime for a request that may have waited for room: together
// they take at most waitAndQueueShare of the target time.
func (q *request) maxQueueTimeAfter(now time.Time) time.Duration {
	if !q.g.Settings.QueueRequests || q.possibleRuns > 0 {
		return q.maxQueueTime()
	}
	left := time.Duration(waitAndQueueShare*float64(q.route.Target)) - now.Sub(q.arrived)
	return max(minQueueTime, min(q.maxQueueTime(), left))
}

// leaveRoomForTighter restricts a generation that may wait for room to engines where it
// doesn't delay requests of its group with a tighter target. The caller holds the gateway's
// mu.
func (q *request) leaveRoomForTighter(query *balancer.Query) {
	if !q.g.Settings.QueueRequests {
		return
	}
	if tighter := q.g.objectives.tighter(q.group, q.route); tighter > 0 {
		query.MaxPrefillWait = min(query.MaxPrefillWait, time.Duration(tighterQueueShare*float64(tighter)))
		query.SpareMemory = tighterSpareMemory
	}
}
