package evacuationkeeper

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
)

const (
	modelSeeds    = 300
	modelSteps    = 400
	modelGateways = 4
	// modelStep is the time of a step, and modelDelay the most by which reads and messages
	// are late.
	modelStep  = 50 * time.Millisecond
	modelDelay = 3 * time.Second
)

var modelZones = []currantwood.ZoneID{"a", "b", "c"}

// modelStore is a store that may come back from an older copy: the log of each era begins
// with a part of the log of the era before.
type modelStore struct{ logs [][]Order }

func (s *modelStore) era() currantwood.StoreEra { return currantwood.StoreEra(len(s.logs) - 1) }

func (s *modelStore) next() currantwood.Offset {
	return currantwood.Offset(len(s.logs[s.era()]))
}

func (s *modelStore) write(zone currantwood.ZoneID, ordered bool) {
	era := s.era()
	s.logs[era] = append(s.logs[era], Order{Zone: zone, Offset: s.next(), Ordered: ordered})
}

// rewind lets the store come back from a copy, and the operator write all orders again.
func (s *modelStore) rewind(random *rand.Rand) {
	log, inForce := s.logs[s.era()], s.zones(Position{Era: s.era(), Next: s.next()})
	s.logs = append(s.logs, slices.Clone(log[:random.Intn(len(log)+1)]))
	for _, zone := range modelZones {
		s.write(zone, slices.Contains(inForce, zone))
	}
}

// zones returns the zones that are ordered to be evacuated at a position.
func (s *modelStore) zones(p Position) []currantwood.ZoneID {
	ordered := make(map[currantwood.ZoneID]bool)
	for _, order := range s.logs[p.Era][:p.Next] {
		ordered[order.Zone] = order.Ordered
	}
	return slices.DeleteFunc(slices.Clone(modelZones), func(zone currantwood.ZoneID) bool { return !ordered[zone] })
}

// modelGateway reads the store as storewatcher does.
type modelGateway struct {
	keeper *Keeper
	era    currantwood.StoreEra
	next   currantwood.Offset
	// known is whether era and next are, and readAll whether the keeper lacks records.
	known, readAll bool
	// reading is whether a read is in flight, and starts counts the starts of the gateway: a
	// read that an earlier process sent is lost.
	reading bool
	starts  int
	// last is the position of the keeper's set at the last check.
	last Position
}

// delivery is a read or a message in flight.
type delivery struct {
	at    time.Time
	apply func(now time.Time)
}

// model is a store, gateways and the messages in flight between them.
type model struct {
	random   *rand.Rand
	store    *modelStore
	gateways []*modelGateway
	pending  []delivery
}

func (m *model) send(now time.Time, apply func(now time.Time)) {
	m.pending = append(m.pending, delivery{now.Add(time.Duration(m.random.Int63n(int64(modelDelay)))), apply})
}

// deliver applies what has arrived, in the order of arrival.
func (m *model) deliver(now time.Time) {
	slices.SortStableFunc(m.pending, func(a, b delivery) int { return a.at.Compare(b.at) })
	for len(m.pending) > 0 && !m.pending[0].at.After(now) {
		first := m.pending[0]
		m.pending = m.pending[1:]
		first.apply(now)
	}
}

// read lets a gateway read the store. The answer is that of the store now or when it
// arrives.
func (m *model) read(now time.Time, g *modelGateway) {
	if g.reading {
		return
	}
	g.reading = true
	starts, whole, from := g.starts, !g.known || g.readAll || g.era != m.store.era(), g.next
	position := Position{Era: m.store.era(), Next: m.store.next()}
	m.send(now, func(now time.Time) {
		if g.starts != starts {
			return
		}
		g.reading = false
		if position.Era < g.era {
			return
		}
		if whole {
			g.replace(now, position, m.store.zones(position))
			return
		}
		_, complete := g.keeper.Apply(now, from, position, m.store.logs[position.Era][from:position.Next])
		g.readAll = g.readAll || !complete
		g.next = max(g.next, position.Next)
	})
}

func (g *modelGateway) replace(now time.Time, position Position, zones []currantwood.ZoneID) {
	if g.known && position.Era > g.era {
		g.keeper.EraRisen(now)
	}
	g.keeper.Replace(now, position, zones)
	g.era, g.next, g.known, g.readAll = position.Era, position.Next, true, false
}

// tell lets a gateway send its set to another one.
func (m *model) tell(now time.Time, from, to *modelGateway) {
	if set, known := from.keeper.Current(now); known {
		m.send(now, func(now time.Time) { to.keeper.Learn(now, set) })
	}
}

// step lets one thing happen.
func (m *model) step(now time.Time) {
	g := m.gateways[m.random.Intn(modelGateways)]
	switch m.random.Intn(20) {
	case 0, 1, 2:
		m.store.write(modelZones[m.random.Intn(len(modelZones))], m.random.Intn(2) == 0)
	case 3:
		if m.random.Intn(4) == 0 {
			m.store.rewind(m.random)
		}
	case 4:
		if m.random.Intn(3) == 0 {
			*g = modelGateway{keeper: New(), starts: g.starts + 1}
		}
	case 5, 6:
		// The configuration is taken from another gateway.
		if g.known && g.era == m.store.era() {
			g.next = max(g.next, currantwood.Offset(m.random.Intn(int(m.store.next())+1)))
		}
	case 7, 8, 9, 10, 11, 12:
		m.read(now, g)
	default:
		m.tell(now, g, m.gateways[m.random.Intn(modelGateways)])
	}
	m.deliver(now)
	g.keeper.Expire(now)
}

// check checks that each gateway knows exactly the orders at its position, and that the
// position doesn't go back. What it keeps beyond the orders ends in time.
func (m *model) check(now time.Time) error {
	for i, g := range m.gateways {
		set, known := g.keeper.Current(now)
		if !known {
			continue
		}
		if want := m.store.zones(set.Position); !slices.Equal(set.Zones, want) && len(set.Zones)+len(want) > 0 {
			return fmt.Errorf("gateway %d at %+v: %v, the store had %v", i, set.Position, set.Zones, want)
		}
		if set.Position.before(g.last) {
			return fmt.Errorf("gateway %d went back from %+v to %+v", i, g.last, set.Position)
		}
		g.last = set.Position
		if set.KeptFor > restoreTime {
			return fmt.Errorf("gateway %d keeps %v for %v", i, set.Kept, set.KeptFor)
		}
	}
	return nil
}

// TestModel guards against orders that are lost, undone or made up by reads and messages
// that are late, lost or out of order, by gateways that start, by a configuration that is
// taken from a peer and by a store that comes back from older copies.
func TestModel(t *testing.T) {
	for seed := range int64(modelSeeds) {
		g := NewWithT(t)
		m := &model{random: rand.New(rand.NewSource(seed)), store: &modelStore{logs: [][]Order{nil}}}
		for range modelGateways {
			m.gateways = append(m.gateways, &modelGateway{keeper: New()})
		}
		now := start
		for range modelSteps {
			now = now.Add(modelStep)
			m.step(now)
			g.Expect(m.check(now)).To(Succeed(), "seed %d at %v", seed, now.Sub(start))
		}
		now = now.Add(modelDelay)
		m.deliver(now)
		// One gateway reads, the others hear of it.
		position := Position{Era: m.store.era(), Next: m.store.next()}
		m.gateways[0].replace(now, position, m.store.zones(position))
		now = now.Add(2 * restoreTime)
		for _, other := range m.gateways {
			set, _ := m.gateways[0].keeper.Current(now)
			other.keeper.Learn(now, set)
		}
		now = now.Add(2 * restoreTime)
		for _, gateway := range m.gateways {
			gateway.keeper.Expire(now)
			set, known := gateway.keeper.Current(now)
			g.Expect(known).To(BeTrue())
			g.Expect(set.Position).To(Equal(position), "seed %d", seed)
			g.Expect(set.Kept).To(BeEmpty(), "seed %d", seed)
			for _, zone := range modelZones {
				g.Expect(gateway.keeper.IsEvacuated(now, zone)).To(Equal(slices.Contains(m.store.zones(position), zone)), "seed %d", seed)
			}
		}
	}
}
