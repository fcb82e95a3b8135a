package balancer

import (
	"time"

	"github.com/currantwood/currantwood/capacity/forecaster"
	"github.com/currantwood/currantwood/noticekeeper"
)

// Room returns what is known of the engines to which the request of a query may be sent. It
// is empty if no engine has memory for the request even without any load. In a large group it
// may be up to roomMaxAge old.
func (b *Balancer) Room(now time.Time, q Query) forecaster.Room {
	room := forecaster.Room{Gateways: b.gatewayCount}
	g := b.groups[q.Group]
	if g == nil || !g.fitsEmpty(q) {
		return room
	}
	if len(g.members) >= largeGroup && isOrdinary(q) {
		return b.roomView(now, g, q).room(b.gatewayCount, q)
	}
	for _, id := range g.members {
		u := b.upstreams[id]
		if !b.isCandidate(now, g, u, q) || !b.notices.Check(now, noticekeeper.TargetOf(u.view.UpstreamRecord), q.Regions).Admitted() {
			continue
		}
		b.addRoom(now, &room, g, u, q)
	}
	return room
}

// addRoom adds an engine to room.
func (b *Balancer) addRoom(now time.Time, room *forecaster.Room, g *group, u *upstream, q Query) {
	choice := Choice{View: u.view, Load: b.TotalLoad(now, u.view.ID)}
	freeSlots := max(0, g.config.Engine.Slots-choice.Load.Requests)
	freeMemory := g.usableMemory(choice.Load, q) - choice.Load.MemoryTokens
	room.AddEngine(u.view.ID, freeMemory, freeSlots, choice.Load.work(), u.own.work())
	if !hasCapacity(g, choice, q) {
		return
	}
	excess := g.excessPrefillWait(choice, q, b.speeds.RelativeTime(now, u.view.ID))
	if excess <= 0 {
		room.Open++
	} else if room.PrefillExcess == 0 || excess < room.PrefillExcess {
		room.PrefillExcess = excess
	}
}
