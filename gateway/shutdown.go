package gateway

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
)

// callsAcceptedTime is how long after the start of a shutdown calls are accepted that end
// in time unless their upstream is slow.
const callsAcceptedTime = 2500 * time.Millisecond

// shutdown is the planned end of the process.
type shutdown struct {
	// began is when the gateway was told to stop, and end when the process ends.
	began, end time.Time
}

// Stop makes the response to every request that arrives from now on close its
// connection. Requests that may run past end are refused, and so are those that wait for
// room.
func (g *Gateway) Stop(now, end time.Time) {
	g.shutdown.Store(&shutdown{began: now, end: end})
	g.refuseWaiting()
}

// maxDuration is the longest time that the request is expected to take from now on, while
// the gateway stops. It never takes longer than until its deadline. A call that may have
// to end early is accepted only at first, while clients are still sent here; how long it
// takes at its upstream isn't known. The caller holds the gateway's mu.
func (q *request) maxDuration(now time.Time, s *shutdown) time.Duration {
	untilDeadline := q.deadline.Sub(now)
	if q.route.Stream {
		return min(untilDeadline, q.maxStreamDuration())
	}
	if now.Sub(s.began) < callsAcceptedTime {
		return min(untilDeadline, q.callStallTimeout())
	}
	return untilDeadline
}

// maxStreamDuration is how long the stream takes if it generates its maximum
// output. The client's estimate is not used: it is often far off, and cutting a
// stream off is worse for the client than starting it at another gateway at
// once. The caller holds the gateway's mu.
func (q *request) maxStreamDuration() time.Duration {
	perEvent := currantwood.TokenCount(1)
	if e := q.snapshot.Groups[q.group].Engine; e != nil && e.TokensPerEvent > 0 {
		perEvent = e.TokensPerEvent
	}
	return q.route.Target + time.Duration(q.client.Size.Output/perEvent)*q.g.eventInterval
}

// LogCutOff logs the streams that the end of the process cuts off now.
func (g *Gateway) LogCutOff() {
	stop := g.shutdown.Load()
	if stop == nil {
		return
	}
	g.mu.Lock()
	var streams []*stream
	for _, at := range g.streams {
		streams = slices.AppendSeq(streams, maps.Keys(at))
	}
	g.mu.Unlock()
	for _, s := range streams {
		s.log("stream cut off by the end of the process", zap.Duration("arrived-after-stop", s.arrived.Sub(stop.began)), zap.Int64("last-event", s.lastEvent.Load()))
	}
}
