package noticekeeper

import (
	"flag"
	"fmt"
	"math/rand"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
)

// firstSeed and seeds choose the days of the model; by hand: go test ./noticekeeper -args
// -model.seeds 5000.
var (
	firstSeed = flag.Int64("model.first", 1, "first seed of the model of notices")
	seedCount = flag.Int("model.seeds", 200, "number of seeds of the model of notices")
)

const (
	modelDay      = 40 * time.Second
	modelStep     = 10 * time.Millisecond
	modelUpstream = currantwood.UpstreamID("u")
	// modelDrain is the drain time, modelSettles how long after a pause began requests
	// may still arrive, and modelAllowed how many after that.
	modelDrain   = time.Second
	modelSettles = 500 * time.Millisecond
	modelAllowed = 2
)

// modelUpstreamState is what the upstream of the model does.
type modelUpstreamState struct {
	incarnation int64
	leaving     bool
	pausedUntil time.Time
}

// modelGateway is a gateway of the model.
type modelGateway struct {
	keeper *Keeper
	// record is the incarnation that the directory has shown it.
	record int64
	// leavingAt is when an incarnation first told it that it leaves, and paused when and
	// until when the last pause was asked for.
	leavingAt map[int64]time.Time
	pausedAt  map[int64]time.Time
	pausedTo  map[int64]time.Time
	// late counts the requests that arrived within that pause.
	late map[int64]int
	// cutUntil is when messages to and from other gateways arrive again, frozenUntil when
	// it runs again.
	cutUntil, frozenUntil time.Time
}

// modelDayState is a day on which gateways send to one upstream that gives notice.
type modelDayState struct {
	random   *rand.Rand
	now      time.Time
	upstream modelUpstreamState
	gateways []*modelGateway
	pending  []modelMessage
	broken   []string
	// served counts requests that an incarnation without notice got.
	served int
}

type modelMessage struct {
	at      time.Time
	deliver func()
}

func newModelGateway(record int64) *modelGateway {
	return &modelGateway{keeper: newKeeper(), record: record, leavingAt: map[int64]time.Time{}, pausedAt: map[int64]time.Time{}, pausedTo: map[int64]time.Time{}, late: map[int64]int{}}
}

func (m *modelDayState) after(most time.Duration, deliver func()) {
	m.pending = append(m.pending, modelMessage{m.now.Add(time.Duration(m.random.Int63n(int64(most)))), deliver})
}

func (m *modelDayState) step() {
	m.now = m.now.Add(modelStep)
	due := m.pending
	m.pending = nil
	for _, p := range due {
		if p.at.After(m.now) {
			m.pending = append(m.pending, p)
			continue
		}
		p.deliver()
	}
	m.trouble()
	for i, g := range m.gateways {
		if m.now.Before(g.frozenUntil) {
			continue
		}
		if m.random.Float64() < 0.2 {
			m.send(g)
		}
		if m.random.Float64() < 0.1 {
			m.tell(i)
		}
		g.keeper.EndedPauses(m.now)
	}
}

// trouble changes the upstream or brings trouble to a gateway.
func (m *modelDayState) trouble() {
	u := &m.upstream
	g := m.gateways[m.random.Intn(len(m.gateways))]
	switch m.random.Intn(1200) {
	case 0:
		u.leaving = true
	case 1:
		u.pausedUntil = m.now.Add(time.Duration(m.random.Int63n(int64(8 * time.Second))))
	case 2:
		*u = modelUpstreamState{incarnation: u.incarnation + 1}
		for _, g := range m.gateways {
			incarnation := u.incarnation
			m.after(time.Second, func() { g.record = max(g.record, incarnation) })
		}
	case 3:
		*g = *newModelGateway(g.record)
	case 4:
		g.cutUntil = m.now.Add(time.Duration(m.random.Int63n(int64(5 * time.Second))))
	case 5:
		g.frozenUntil = m.now.Add(time.Duration(m.random.Int63n(int64(3 * time.Second))))
	}
}

// send sends a request if the gateway may.
func (m *modelDayState) send(g *modelGateway) {
	record := g.record
	if !g.keeper.Check(m.now, Target{ID: modelUpstream, Incarnation: record}, currantwood.AnyRegion()).Admitted() {
		return
	}
	g.keeper.Sent(m.now, modelUpstream)
	sent := m.now
	m.after(60*time.Millisecond, func() { m.arrive(g, record, sent) })
}

// arrive takes a request at the upstream and sends its response, which may take long.
func (m *modelDayState) arrive(g *modelGateway, record int64, sent time.Time) {
	u := m.upstream
	if at, told := g.leavingAt[u.incarnation]; told && record == u.incarnation && sent.Sub(at) > modelDrain {
		m.broken = append(m.broken, fmt.Sprintf("sent %v after the leaving", sent.Sub(at)))
	}
	if at, told := g.pausedAt[u.incarnation]; told && record == u.incarnation && m.now.Sub(at) > modelSettles && m.now.Before(g.pausedTo[u.incarnation]) {
		if g.late[u.incarnation]++; g.late[u.incarnation] > modelAllowed {
			m.broken = append(m.broken, fmt.Sprintf("arrived %v after the pause began", m.now.Sub(at)))
		}
	}
	response := currantwood.UpstreamResponse{Leaving: u.leaving}
	paused := u.pausedUntil.After(m.now)
	if paused {
		response.Pause = u.pausedUntil.Sub(m.now)
	}
	if !paused && !u.leaving {
		m.served++
	}
	duration := 80 * time.Millisecond
	if !paused && m.random.Intn(10) == 0 {
		duration = 3 * time.Second
	}
	m.after(duration, func() {
		if record != u.incarnation {
			// The upstream has started again, and its record hasn't been read.
			return
		}
		if g.keeper.Observe(m.now, modelUpstream, record, response); response.Leaving && g.leavingAt[u.incarnation].IsZero() {
			g.leavingAt[u.incarnation] = m.now
		}
		if end := m.now.Add(response.Pause); paused && end.After(g.pausedTo[u.incarnation]) {
			if g.pausedTo[u.incarnation].Before(m.now) {
				g.pausedAt[u.incarnation], g.late[u.incarnation] = m.now, 0
			}
			g.pausedTo[u.incarnation] = end
		}
	})
}

// tell sends what a gateway has heard to the first one, which tells all others.
func (m *modelDayState) tell(i int) {
	g := m.gateways[i]
	to, notices := m.gateways[:1], g.keeper.Heard(m.now)
	if i == 0 {
		to, notices = m.gateways[1:], g.keeper.Known(m.now, m.random.Intn(2) == 0)
	}
	if m.now.Before(g.cutUntil) || m.random.Intn(10) == 0 {
		return
	}
	sent := m.now
	for _, other := range to {
		m.after(40*time.Millisecond, func() {
			if m.now.Before(other.cutUntil) || m.now.Before(other.frozenUntil) {
				return
			}
			for id, n := range notices {
				if !n.PausedUntil.IsZero() {
					// The time that is left is sent.
					n.PausedUntil = m.now.Add(n.PausedUntil.Sub(sent))
				}
				other.keeper.Learn(m.now, id, n)
			}
		})
	}
}

var _ = Describe("Notices over days of random orders", func() {
	It("keep requests from upstreams that leave or pause, and not from others", func() {
		for seed := *firstSeed; seed < *firstSeed+int64(*seedCount); seed++ {
			m := &modelDayState{random: rand.New(rand.NewSource(seed)), now: start, upstream: modelUpstreamState{incarnation: 1}}
			for range 1 + m.random.Intn(6) {
				m.gateways = append(m.gateways, newModelGateway(1))
			}
			for m.now.Before(start.Add(modelDay)) {
				m.step()
			}
			Expect(m.broken).To(BeEmpty(), "seed %d", seed)
			Expect(m.served).To(BeNumerically(">", 0), "seed %d", seed)
			// The end of a pause is told with the delay of messages, and not more.
			m.upstream = modelUpstreamState{incarnation: m.upstream.incarnation + 1}
			for _, g := range m.gateways {
				Expect(g.keeper.Check(m.now, Target{ID: modelUpstream, Incarnation: m.upstream.incarnation}, currantwood.AnyRegion()).Admitted()).To(BeTrue(), "seed %d", seed)
			}
		}
	})
})
