package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
)

const (
	// callsAcceptedTime is how long after the start of a shutdown calls are accepted that
	// end in time unless their upstream is slow.
	callsAcceptedTime = 2500 * time.Millisecond
	// finalResponseTime is how long before its end a stopping process ends the requests that
	// have no response, so that their clients get one.
	finalResponseTime = 300 * time.Millisecond
)

// shutdown is the planned end of the process.
type shutdown struct {
	// began is when the gateway was told to stop, and end is when requests without a
	// response are ended, finalResponseTime before the process.
	began, end time.Time
}

// Stop makes the response to every request that arrives from now on close its
// connection. Requests that may run until processEnd are refused, and so are those that wait
// for room. Those that run then in spite of that get a final response shortly before.
func (g *Gateway) Stop(now, processEnd time.Time) {
	end := processEnd.Add(-finalResponseTime)
	g.shutdown.Store(&shutdown{began: now, end: end})
	g.refuseWaiting()
	time.AfterFunc(end.Sub(now), g.endUnanswered)
}

// endWithProcess calls cancel when a stopping process is about to end, unless the response to
// the request has begun by then. The function that it returns prevents that.
func (q *request) endWithProcess(cancel context.CancelFunc) (stop func() bool) {
	return context.AfterFunc(q.g.ending, func() {
		if q.responding.Load() {
			return
		}
		q.g.instruments.endedWithProcess.Inc(1)
		q.log("request ended without a response of its upstream, as the process ends")
		cancel()
	})
}

// leaveUnsent makes the kernel take the rest of a whole response for a client that reads slowly
// when a stopping process is about to end. unsent returns the length of the rest. The function that
// is returned prevents that; it is called once the response is written.
func (q *request) leaveUnsent(unsent func() int) (stop func() bool) {
	return context.AfterFunc(q.g.ending, func() {
		if q.g.TakeUnsent == nil {
			return
		}
		bytes := unsent()
		q.log("rest of the response left to the kernel, as the process ends", zap.Int("bytes", bytes))
		q.g.TakeUnsent(q.r, bytes)
	})
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
// output, each event after the longest pause for which the stream is on time. Engines may be
// that slow when they are busy, which this gateway doesn't see in a quiet time. Nor is the
// client's estimate used: it is often far off. Cutting a stream off is worse for the client than
// starting it at another gateway at once. The caller holds the gateway's mu.
func (q *request) maxStreamDuration() time.Duration {
	perEvent := currantwood.TokenCount(1)
	if e := q.snapshot.Groups[q.group].Engine; e != nil && e.TokensPerEvent > 0 {
		perEvent = e.TokensPerEvent
	}
	interval := max(q.g.eventInterval, q.route.GapTarget)
	return q.route.Target + time.Duration(q.client.Size.Output/perEvent)*interval
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
