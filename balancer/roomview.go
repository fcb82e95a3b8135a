package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/capacity/forecaster"
	"github.com/currantwood/currantwood/noticekeeper"
)

const (
	// largeGroup is the number of members from which on Room doesn't visit all of them for
	// each request. A visit takes about 0.2 us, and few engines must be known exactly.
	largeGroup = 512
	// roomMaxAge is how long a roomView is used. New loads of other gateways, which end it,
	// arrive each 50 ms.
	roomMaxAge = 50 * time.Millisecond
)

// roomKey is what requests have in common that may use the same roomView.
type roomKey struct {
	group   currantwood.GroupID
	regions string
	spare   currantwood.Share
}

// roomView is what was known of the engines for requests of one key.
type roomView struct {
	at time.Time
	// common is the part of the result that is the same for all of these requests.
	common forecaster.Room
	// free and waits are, for each engine with a free slot, its free memory and how long a
	// prompt waits for those queued before it; the engine with the most free memory first.
	free  []currantwood.TokenCount
	waits []time.Duration
}

// isOrdinary reports whether the query is for a request that may be at any engine in its
// regions. Others, as retries, are few.
func isOrdinary(q Query) bool {
	return q.Reach == Anywhere && len(q.Exclude) == 0 && q.Only == "" && !q.SameVersion
}

// forgetRooms drops what is known for many requests, as loads or upstreams have changed.
func (b *Balancer) forgetRooms() { clear(b.rooms) }

// roomView returns what is known for requests like that of the query.
func (b *Balancer) roomView(now time.Time, g *group, q Query) *roomView {
	key := roomKey{q.Group, q.Regions.String(), q.SpareMemory}
	if v := b.rooms[key]; v != nil && now.Sub(v.at) < roomMaxAge {
		return v
	}
	v := b.newRoomView(now, g, q)
	b.rooms[key] = v
	return v
}

// newRoomView visits all members of the group.
func (b *Balancer) newRoomView(now time.Time, g *group, q Query) *roomView {
	type openEngine struct {
		free currantwood.TokenCount
		wait time.Duration
	}
	v := &roomView{at: now}
	var open []openEngine
	perToken := float64(g.prefillTimePerToken())
	for _, id := range g.members {
		u := b.upstreams[id]
		if !b.isCandidate(now, g, u, q) || !b.notices.Check(now, noticekeeper.TargetOf(u.view.UpstreamRecord), q.Regions).Admitted() {
			continue
		}
		load := b.TotalLoad(now, id)
		free := g.usableMemory(load, q) - load.MemoryTokens
		v.common.AddEngine(id, free, max(0, g.config.Engine.Slots-load.Requests), load.work(), u.own.work())
		if load.Requests < g.config.Engine.Slots {
			wait := b.speeds.RelativeTime(now, id) * float64(load.PrefillTokens) * perToken
			open = append(open, openEngine{free, time.Duration(wait)})
		}
	}
	slices.SortFunc(open, func(a, b openEngine) int { return cmp.Compare(b.free, a.free) })
	v.free, v.waits = make([]currantwood.TokenCount, len(open)), make([]time.Duration, len(open))
	for i, e := range open {
		v.free[i], v.waits[i] = e.free, e.wait
	}
	return v
}

// room returns what is known for the request of a query.
func (v *roomView) room(gateways int, q Query) forecaster.Room {
	room := v.common
	room.Gateways = gateways
	fitting, _ := slices.BinarySearchFunc(v.free, q.Load.MemoryTokens, func(free, needed currantwood.TokenCount) int {
		if free >= needed {
			return -1
		}
		return 1
	})
	if q.MaxPrefillWait <= 0 {
		room.Open = fitting
		return room
	}
	// Without branches, which would be mispredicted and take most of the time: an excess that
	// isn't positive becomes one of more than math.MaxInt64.
	open, least := uint64(0), uint64(math.MaxUint64)
	for _, wait := range v.waits[:fitting] {
		excess := uint64(wait - q.MaxPrefillWait - 1)
		open += excess >> 63
		least = min(least, excess)
	}
	room.Open = int(open)
	if least <= math.MaxInt64 {
		room.PrefillExcess = time.Duration(least) + 1
	}
	return room
}

// work returns the load as the forecaster counts it.
func (l Load) work() forecaster.Work {
	return forecaster.Work{Requests: l.Requests, Memory: l.MemoryTokens}
}
