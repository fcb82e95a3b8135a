package gateway

import (
	"encoding/binary"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood/capacity/forecaster"
	"github.com/currantwood/currantwood/capacity/roomkeeper"
)

// refuseRoom returns the refusal of a request that waits no longer, and records the promise
// to its client.
func (q *request) refuseRoom(now time.Time, w *waiter, reason string) error {
	key := q.promiseKey()
	q.g.mu.Lock()
	r := q.roomRequest(now)
	room := q.g.balancer.Room(now, w.query(now))
	forecast := q.g.room.keeper.Forecast(now, r, room)
	waiting, bytes := q.g.room.keeper.Total()
	promised := q.g.room.forecaster.Promised(now, q.group)
	retryAfter := min(maxRetryAfter, max(minRetryAfter, roomkeeper.RetryAfter(forecast)))
	if q.possibleRuns == 0 && forecast <= maxRetryAfter {
		q.g.room.forecaster.Promise(now, key, q.group, r.Work, retryAfter)
		q.g.instruments.promisesGiven.Inc(1)
	}
	q.g.mu.Unlock()
	q.g.instruments.refusedRoom.Inc(1)
	q.notePromise(false)
	q.log("no room for a generation", zap.String("reason", reason), zap.Duration("waited", now.Sub(w.since)), zap.Duration("forecast", forecast),
		zap.Int64("tokens", int64(r.Work.Memory)), zap.Int("engines", room.Engines), zap.Int("open", room.Open), zap.Int("free-slots", room.FreeSlots),
		zap.Int64("most-free", int64(room.RoomiestFree)), zap.Int("waiting", waiting), zap.Int64("waiting-bytes", bytes),
		zap.Int("promised", promised.Requests), zap.Int("gateways", room.Gateways), zap.Bool("redeems-promise", r.Promised))
	return &refusedError{&gatewayResponse{status: http.StatusServiceUnavailable, reason: reason, retryAfter: retryAfter}}
}

// promiseKey identifies the request when its client sends it again, to any gateway.
func (q *request) promiseKey() forecaster.Key {
	h := xxhash.New()
	_, _ = h.WriteString(string(q.customer))
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(q.requestTarget())
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(q.body))))
	_, _ = h.Write(q.body[:min(hashedBytes, len(q.body))])
	_, _ = h.Write(q.body[max(0, len(q.body)-hashedBytes):])
	return forecaster.Key(h.Sum64())
}

// redeemPromise sets promised if the request is a retry at its promised time.
func (q *request) redeemPromise(now time.Time) {
	q.g.mu.Lock()
	promises := q.g.room.forecaster.HasPromises()
	q.g.mu.Unlock()
	if !promises || q.promised || len(q.attempted) > 0 {
		return
	}
	key := q.promiseKey()
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	q.promised = q.g.room.forecaster.Redeem(now, key)
}

// notePromise counts whether a promise was kept; a broken one is logged with the refusal.
func (q *request) notePromise(kept bool) {
	switch {
	case !q.promised || q.promiseNoted:
		return
	case kept:
		q.g.instruments.promisesKept.Inc(1)
	default:
		q.g.instruments.promisesBroken.Inc(1)
		q.log("promise of room broken", zap.String("customer", string(q.customer)), zap.String("group", string(q.group)))
	}
	q.promiseNoted = true
}

// RecentPromises returns up to limit promises of room that other gateways should learn of.
func (g *Gateway) RecentPromises(now time.Time, limit int) []forecaster.SharedPromise {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.room.forecaster.Recent(now, limit)
}

// LearnPromises notes the promises of room that another gateway sent.
func (g *Gateway) LearnPromises(now time.Time, promises []forecaster.SharedPromise) {
	if len(promises) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.room.forecaster.Learn(now, promises)
}
