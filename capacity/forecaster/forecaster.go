// Package forecaster estimates when engines that are full have room again for a
// generation, and records the promises of room that refused clients were given.
//
// By Little's law, work leaves the engines at the rate of what is in flight divided by how
// long it stays. What is in flight at all engines is known from the sums that gateways
// exchange; how long it stays is an average over the generations of this gateway. A gateway
// expects a share of the freed capacity that equals its share of the work in flight.
//
// The forecast for a refused request counts the work that waits here and the work that was
// promised room before. Its retry is recognized by a key, which other gateways learn: clients
// may come back to any of them.
package forecaster

import (
	"time"

	"github.com/currantwood/currantwood"
)

const (
	// initialStay is the assumed time that a generation stays at its engine until some have
	// ended.
	initialStay = 2 * time.Second
	// stayDivisor is the reciprocal of the weight of each ended generation in the averages.
	stayDivisor = 32
	// earlyTolerance is how much earlier than promised a retry may arrive, since clients
	// round the time.
	earlyTolerance = 50 * time.Millisecond
	// lateShare is how much later than promised a retry may arrive, as a share of the
	// promised time. It covers the jitter that lengthens Retry-After by up to a half;
	// lateSlack is added to it.
	lateShare = 0.6
	lateSlack = 300 * time.Millisecond
	// maxPromises bounds the recorded promises, those of this gateway and those of others
	// each; 4,096 take about 400 KB. Beyond it a refused client gets a Retry-After, but its
	// retry isn't recognized.
	maxPromises = 4096
	// expireInterval is the time between two searches for expired promises that messages of
	// others cause. A search takes up to 70 us, and a collector gets over 1,000 messages a second.
	expireInterval = 50 * time.Millisecond
	// shareTime is for how long a promise is told to others, in messages every 50 ms, some of
	// which may be lost.
	shareTime = 300 * time.Millisecond
	// maxForecast is the longest forecast, also if nothing is known to become free.
	maxForecast = time.Minute
)

// Work is an amount of work in flight, waiting or promised.
type Work struct {
	Requests int
	Memory   currantwood.TokenCount
}

// Add adds o to w.
func (w *Work) Add(o Work) {
	w.Requests += o.Requests
	w.Memory += o.Memory
}

// Room is what is known of the engines that a request may be sent to.
type Room struct {
	// Engines counts them, and Open those that have room for the request now.
	Engines, Open int
	// FreeSlots counts the free slots of all.
	FreeSlots int
	// Roomiest is the engine with the most free memory, and RoomiestFree that memory, without
	// what the request must leave to others; less than 0 if more is in use.
	Roomiest     currantwood.UpstreamID
	RoomiestFree currantwood.TokenCount
	// Total is what is in flight there, and Own the part of this gateway.
	Total, Own Work
	// Gateways is the number of gateways that share them, this one included.
	Gateways int
	// PrefillExcess is how much too long the shortest queue of prompts is at an engine with
	// a free slot and enough memory; 0 if no queue was too long.
	PrefillExcess time.Duration
}

// AddEngine adds an engine with its free memory and slots, what is in flight there, and the
// part of this gateway.
func (r *Room) AddEngine(id currantwood.UpstreamID, freeMemory currantwood.TokenCount, freeSlots int, total, own Work) {
	if r.Engines == 0 || freeMemory > r.RoomiestFree {
		r.Roomiest, r.RoomiestFree = id, freeMemory
	}
	r.Engines++
	r.FreeSlots += freeSlots
	r.Total.Add(total)
	r.Own.Add(own)
}

// Key identifies the retry of a refused request: a hash of its customer, target and body. It
// is the same at all gateways.
type Key uint64

// SharedPromise is what gateways tell each other of a promise.
type SharedPromise struct {
	Key Key
	// At is the promised time. After Expires, a retry isn't recognized.
	At, Expires time.Time
}

// promise is the retry time given to a refused request.
type promise struct {
	group currantwood.GroupID
	work  Work
	// at is the promised time. After expires, a retry isn't recognized.
	at, expires time.Time
	// notedAt is when it was given or learned here.
	notedAt time.Time
	// learned is whether another gateway gave it.
	learned bool
}

// notedKey is the key of a promise and when it was noted.
type notedKey struct {
	key Key
	at  time.Time
}

// stay is how long generations stay at engines, as exponential moving averages.
type stay struct {
	// seconds is the mean over generations. memory and memorySeconds are the means of their
	// memory and of memory times seconds, whose ratio is the mean over memory.
	seconds, memory, memorySeconds float64
}

// Forecaster forecasts room and records promises. It is not safe for concurrent use.
type Forecaster struct {
	stays    map[currantwood.GroupID]*stay
	promises map[Key]promise
	promised map[currantwood.GroupID]Work
	// redeemed holds the keys of promises that were redeemed here, and until when messages of
	// other gateways may still hold them.
	redeemed map[Key]time.Time
	// learned is the number of promises that other gateways gave.
	learned int
	// noted holds the keys noted within shareTime, in the order of their times. Promises may
	// have been dropped since.
	noted []notedKey
	// expiredAt is when expired promises were last searched for.
	expiredAt time.Time
}

// New returns a forecaster without measurements and promises.
func New() *Forecaster {
	return &Forecaster{stays: make(map[currantwood.GroupID]*stay), promises: make(map[Key]promise), promised: make(map[currantwood.GroupID]Work), redeemed: make(map[Key]time.Time)}
}

// Ended notes how long a generation was in flight, and with how much memory.
func (f *Forecaster) Ended(id currantwood.GroupID, duration time.Duration, memory currantwood.TokenCount) {
	s := f.stays[id]
	seconds, tokens := duration.Seconds(), max(1, float64(memory))
	if s == nil {
		f.stays[id] = &stay{seconds: seconds, memory: tokens, memorySeconds: tokens * seconds}
		return
	}
	s.seconds += (seconds - s.seconds) / stayDivisor
	s.memory += (tokens - s.memory) / stayDivisor
	s.memorySeconds += (tokens*seconds - s.memorySeconds) / stayDivisor
}

// HasMeasured reports whether any generation of a group has ended. Before that a forecast
// rests on an assumed stay.
func (f *Forecaster) HasMeasured(id currantwood.GroupID) bool { return f.stays[id] != nil }

// stayTimes returns the mean stay of a generation, and of a token of memory, in seconds.
func (f *Forecaster) stayTimes(id currantwood.GroupID) (request, memory float64) {
	s := f.stays[id]
	if s == nil {
		return initialStay.Seconds(), initialStay.Seconds()
	}
	return max(0.01, s.seconds), max(0.01, s.memorySeconds/s.memory)
}

// Forecast returns the time until there is room for a request after the work ahead of it.
func (f *Forecaster) Forecast(id currantwood.GroupID, room Room, own, ahead Work) time.Duration {
	if room.Engines == 0 {
		return maxForecast
	}
	if room.Open > 0 && ahead.Requests == 0 {
		return 0
	}
	share := gatewayShare(room)
	byCapacity := f.untilCapacity(id, room, own, ahead, share)
	if room.PrefillExcess <= 0 {
		return byCapacity
	}
	// The prompts of the requests ahead, and of as many at each other gateway, are queued at
	// the same engines first.
	byPrefill := time.Duration(float64(room.PrefillExcess) * (1 + float64(ahead.Requests)/(share*float64(room.Engines))))
	return min(byCapacity, byPrefill)
}

// untilCapacity returns the time until slots and memory are free for the request and what
// is ahead, of which this gateway gets its share, and until one engine has freed enough.
func (f *Forecaster) untilCapacity(id currantwood.GroupID, room Room, own, ahead Work, share float64) time.Duration {
	stayRequest, stayMemory := f.stayTimes(id)
	slotRate := float64(room.Total.Requests) / stayRequest
	memoryRate := float64(room.Total.Memory) / stayMemory
	// What is missing before the request fits: slots and memory at all engines, of which this
	// gateway gets its share, and memory at one engine, to which an even part of all that is
	// freed belongs.
	slots := float64(ahead.Requests+own.Requests) - share*float64(room.FreeSlots)
	tokens := float64(ahead.Memory + own.Memory - max(0, room.RoomiestFree))
	oneEngine := float64(own.Memory-room.RoomiestFree) * float64(room.Engines)
	wait := max(ratio(slots, share*slotRate), ratio(tokens, share*memoryRate), ratio(oneEngine, memoryRate))
	return time.Duration(min(maxForecast.Seconds(), wait) * float64(time.Second))
}

// ratio returns the seconds until amount is free if rate becomes free per second: 0 if there
// is nothing to wait for, maxForecast if nothing becomes free.
func ratio(amount, rate float64) float64 {
	if amount <= 0 {
		return 0
	}
	if rate <= 0 {
		return maxForecast.Seconds()
	}
	return amount / rate
}

// gatewayShare returns the share of freed capacity that this gateway expects.
func gatewayShare(room Room) float64 {
	even := 1 / float64(max(1, room.Gateways))
	if room.Total.Requests == 0 {
		return even
	}
	return min(1, max(even, float64(room.Own.Requests)/float64(room.Total.Requests)))
}

// Promise records that a refused request was told to retry after a time.
func (f *Forecaster) Promise(now time.Time, key Key, id currantwood.GroupID, work Work, after time.Duration) {
	f.expire(now)
	f.drop(key)
	if len(f.promises)-f.learned >= maxPromises {
		return
	}
	late := lateSlack + time.Duration(lateShare*float64(after))
	f.add(key, promise{group: id, work: work, at: now.Add(after), expires: now.Add(after + late), notedAt: now})
	total := f.promised[id]
	total.Add(work)
	f.promised[id] = total
}

// Redeem reports whether the request with a key is a retry at its promised time. It removes
// the promise unless the retry is too early.
func (f *Forecaster) Redeem(now time.Time, key Key) bool {
	p, booked := f.promises[key]
	if !booked || now.Before(p.at.Add(-earlyTolerance)) {
		return false
	}
	f.drop(key)
	f.redeemed[key] = now.Add(2 * shareTime)
	return now.Before(p.expires)
}

// Recent returns up to limit promises that were given or learned here a moment ago, the
// newest first.
func (f *Forecaster) Recent(now time.Time, limit int) []SharedPromise {
	f.forgetNoted(now)
	var recent []SharedPromise
	for i := len(f.noted) - 1; i >= 0 && len(recent) < limit; i-- {
		n := f.noted[i]
		if p, ok := f.promises[n.key]; ok && p.notedAt.Equal(n.at) && now.Before(p.expires) {
			recent = append(recent, SharedPromise{Key: n.key, At: p.at, Expires: p.expires})
		}
	}
	return recent
}

// Learn notes promises that other gateways gave. Their work counts as ahead of others only at
// the gateway that gave them.
func (f *Forecaster) Learn(now time.Time, promises []SharedPromise) {
	if now.Sub(f.expiredAt) >= expireInterval {
		f.expire(now)
	}
	for _, p := range promises {
		if f.keeps(now, p) || !now.Before(p.Expires) || now.Before(f.redeemed[p.Key]) {
			continue
		}
		f.drop(p.Key)
		if f.learned < maxPromises {
			f.add(p.Key, promise{at: p.At, expires: p.Expires, notedAt: now, learned: true})
			f.learned++
		}
	}
}

// keeps reports whether the promise that is recorded for a key stays when another gateway
// tells of one. It gives way to the next one of a client that was refused again: its time has
// come, and the other's time is after its end.
func (f *Forecaster) keeps(now time.Time, other SharedPromise) bool {
	known, ok := f.promises[other.Key]
	return ok && now.Before(known.expires) && (now.Before(known.at) || !other.At.After(known.expires))
}

// add records a promise whose key has none.
func (f *Forecaster) add(key Key, p promise) {
	f.promises[key] = p
	f.noted = append(f.noted, notedKey{key, p.notedAt})
	f.forgetNoted(p.notedAt)
}

// forgetNoted drops the keys that others aren't told any more.
func (f *Forecaster) forgetNoted(now time.Time) {
	for len(f.noted) > 0 && now.Sub(f.noted[0].at) >= shareTime {
		f.noted = f.noted[1:]
	}
}

// HasPromises reports whether any promise is recorded.
func (f *Forecaster) HasPromises() bool { return len(f.promises) > 0 }

// Promised returns the work of a group that was promised room and may still be retried.
func (f *Forecaster) Promised(now time.Time, id currantwood.GroupID) Work {
	f.expire(now)
	return f.promised[id]
}

// expire drops the promises whose clients didn't retry in time.
func (f *Forecaster) expire(now time.Time) {
	f.expiredAt = now
	for key, p := range f.promises {
		if !now.Before(p.expires) {
			f.drop(key)
		}
	}
	for key, until := range f.redeemed {
		if !now.Before(until) {
			delete(f.redeemed, key)
		}
	}
}

func (f *Forecaster) drop(key Key) {
	p, booked := f.promises[key]
	if !booked {
		return
	}
	delete(f.promises, key)
	if p.learned {
		f.learned--
		return
	}
	total := f.promised[p.group]
	total.Requests -= p.work.Requests
	total.Memory -= p.work.Memory
	f.promised[p.group] = total
}
