package gateway

import (
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"
)

// endRequest sends a final response that the gateway generates itself, and
// counts the request as refused or failed.
func (q *request) endRequest(f *gatewayResponse) {
	if q.possibleRuns > 0 && f.status == http.StatusServiceUnavailable {
		// 503 tells the client that the request has not run.
		f = &gatewayResponse{status: http.StatusBadGateway, reason: "upstream failed, then " + f.reason}
	}
	h := q.w.Header()
	if f.retryAfter > 0 {
		f.retryAfter = q.g.addJitter(f.retryAfter)
		h.Set("Retry-After", strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 3, 64))
	}
	if f.closeConnection {
		h.Set("Connection", "close")
	}
	h.Set("Content-Length", "0")
	q.responding.Store(true)
	q.w.WriteHeader(f.status)
	if f.status >= http.StatusBadGateway && f.status != http.StatusServiceUnavailable {
		q.g.instruments.failed.Inc(1)
	} else {
		q.g.instruments.refused.Inc(1)
	}
	fields := []zap.Field{zap.Int("status", f.status), zap.String("reason", f.reason), zap.Duration("retry-after", f.retryAfter)}
	if f.suspect != nil {
		fields = append(fields, suspectFields(*f.suspect)...)
	}
	q.log("request ended by the gateway", append(fields, f.fields...)...)
}

// abortUnanswered closes the connection of a request that has ended without a response, as its
// client has disconnected, by a panic with http.ErrAbortHandler. net/http would send an empty 200,
// which a client that has closed only its sending side reads.
func (q *request) abortUnanswered() {
	if !q.responding.Load() {
		panic(http.ErrAbortHandler)
	}
}

// addJitter lengthens a duration at random, so that clients that were refused
// together don't retry together.
func (g *Gateway) addJitter(d time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return d + time.Duration(maxJitterShare*g.Random.Float64()*float64(d))
}
