package spreader_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/spreader"
	"github.com/currantwood/currantwood/wire"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

const (
	sameRegionDelay  = 500 * time.Microsecond
	crossRegionDelay = 12 * time.Millisecond
	// convergenceLimit is the required bound on the time from publication until
	// every process has the head.
	convergenceLimit = 8 * time.Second
)

var start = time.Unix(1_000_000, 0)

// delivery is a frame in flight.
type delivery struct {
	at       time.Time
	seq      int
	from, to int
	frame    *wire.Frame
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	return d[i].at.Before(d[j].at) || (d[i].at.Equal(d[j].at) && d[i].seq < d[j].seq)
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

// mesh simulates spreaders that are connected by links with delays.
type mesh struct {
	now   time.Time
	nodes []*spreader.Spreader
	// regions and lastSeen are indexed by node; lastSeen is the revision at the
	// last check.
	regions  []currantwood.RegionID
	lastSeen []currantwood.Revision
	// linked[i] holds the peers of node i.
	linked []map[int]bool
	// stalled holds directions of links, as (from, to), in which every frame is
	// dropped while the link stays up.
	stalled  map[[2]int]bool
	inFlight deliveries
	seq      int
	random   *rand.Rand
	// remoteBytes counts the bytes sent between regions.
	remoteBytes int
}

func newMesh(seed uint64, regions, perRegion int) *mesh {
	m := &mesh{now: start, stalled: make(map[[2]int]bool), random: rand.New(rand.NewPCG(seed, 1))}
	for i := range regions * perRegion {
		m.regions = append(m.regions, currantwood.RegionID(fmt.Sprint("region-", i%regions)))
		m.nodes = append(m.nodes, nil)
		m.lastSeen = append(m.lastSeen, 0)
		m.linked = append(m.linked, make(map[int]bool))
		m.replace(i)
	}
	return m
}

// replace restarts a node as a process without a head or links.
func (m *mesh) replace(i int) {
	for peer := range len(m.nodes) {
		m.unlink(i, peer)
	}
	m.nodes[i] = spreader.New(spreader.Options{Region: m.regions[i], Random: m.random})
	m.lastSeen[i] = 0
}

func (m *mesh) link(a, b int) {
	if a == b || m.linked[a][b] {
		return
	}
	m.linked[a][b], m.linked[b][a] = true, true
	m.send(a, m.nodes[a].PeerUp(m.now, spreader.Peer{ID: fmt.Sprint(b), Region: m.regions[b]}))
	m.send(b, m.nodes[b].PeerUp(m.now, spreader.Peer{ID: fmt.Sprint(a), Region: m.regions[a]}))
}

func (m *mesh) unlink(a, b int) {
	if !m.linked[a][b] {
		return
	}
	delete(m.linked[a], b)
	delete(m.linked[b], a)
	m.send(a, m.nodes[a].PeerDown(m.now, fmt.Sprint(b)))
	m.send(b, m.nodes[b].PeerDown(m.now, fmt.Sprint(a)))
}

func (m *mesh) send(from int, sends []spreader.OutgoingFrame) {
	for _, s := range sends {
		var to int
		_, _ = fmt.Sscan(s.PeerID, &to)
		delay := sameRegionDelay
		if m.regions[from] != m.regions[to] {
			delay = crossRegionDelay
			m.remoteBytes += proto.Size(s.Frame)
		}
		m.seq++
		heap.Push(&m.inFlight, delivery{at: m.now.Add(delay), seq: m.seq, from: from, to: to, frame: s.Frame})
	}
}

// runUntil advances the mesh until done returns true or the limit has passed,
// and returns the simulated time taken.
func (m *mesh) runUntil(limit time.Duration, done func() bool) time.Duration {
	began := m.now
	tick := m.now
	for m.now.Sub(began) < limit && !done() {
		if len(m.inFlight) > 0 && m.inFlight[0].at.Before(tick) {
			m.deliver(heap.Pop(&m.inFlight).(delivery))
			continue
		}
		m.now = tick
		for i, node := range m.nodes {
			m.send(i, node.Tick(m.now))
		}
		tick = tick.Add(spreader.TickInterval)
	}
	return m.now.Sub(began)
}

func (m *mesh) deliver(d delivery) {
	m.now = d.at
	if !m.linked[d.to][d.from] || m.stalled[[2]int{d.from, d.to}] {
		return
	}
	m.send(d.to, m.nodes[d.to].Handle(m.now, fmt.Sprint(d.from), d.frame))
}

func (m *mesh) publish(at int, revision currantwood.Revision) {
	m.send(at, m.nodes[at].Adopt(m.now, anchorOf(revision, textOf(revision))))
}

// textOf returns a text of 100 lines and one more, whose content and position
// depend on the revision.
func textOf(revision currantwood.Revision) string {
	var b strings.Builder
	for i := range 100 {
		if i == int(revision)%100 {
			fmt.Fprintln(&b, "changed by", revision)
		}
		fmt.Fprintln(&b, "line", i)
	}
	return b.String()
}

// allAt returns a function that reports whether every node is at the given
// revision.
func (m *mesh) allAt(revision currantwood.Revision) func() bool {
	return func() bool {
		for _, node := range m.nodes {
			if node.Snapshot().Head.Revision != revision {
				return false
			}
		}
		return true
	}
}

var _ = Describe("Spreader", func() {
	It("delivers a head to every process of three regions, including one that joins late", func() {
		m := newMesh(1, 3, 20)
		for a := range m.nodes {
			for b := range a {
				m.link(a, b)
			}
		}
		m.publish(0, 1)
		took := m.runUntil(convergenceLimit, m.allAt(1))
		Expect(took).To(BeNumerically("<", convergenceLimit))
		bytes := m.remoteBytes
		m.publish(1, 2)
		Expect(m.runUntil(convergenceLimit, m.allAt(2))).To(BeNumerically("<", convergenceLimit))
		Expect(m.nodes[59].Snapshot().Head.Text).To(Equal(textOf(2)))
		Expect(m.remoteBytes-bytes).To(BeNumerically("<", bytes/2), "the second head is sent as a diff")
		GinkgoWriter.Printf("60 processes, first text in %s, %d bytes across regions\n", took, bytes)

		m.replace(7)
		m.link(7, 8)
		Expect(m.runUntil(convergenceLimit, m.allAt(2))).To(BeNumerically("<", convergenceLimit))
	})

	It("fetches from another peer if a link stalls, and the full text if a diff does not apply", func() {
		m := newMesh(2, 1, 3)
		m.link(0, 2)
		m.link(1, 2)
		m.publish(0, 1)
		m.publish(1, 1)
		Expect(m.runUntil(convergenceLimit, m.allAt(1))).To(BeNumerically("<", convergenceLimit))
		m.stalled[[2]int{2, 0}] = true
		m.publish(0, 2)
		m.publish(1, 2)
		Expect(m.runUntil(convergenceLimit, m.allAt(2))).To(BeNumerically("<", convergenceLimit))

		node := spreader.New(spreader.Options{Random: m.random})
		node.PeerUp(start, spreader.Peer{ID: "x"})
		wrongBase := &wire.Frame{Body: &wire.Frame_HeadText{HeadText: &wire.HeadText{Revision: 3, Text: "=0 1\n", DiffBase: 2}}}
		offer := &wire.Frame{Body: &wire.Frame_HeadOffer{HeadOffer: &wire.HeadOffer{Revision: 3}}}
		Expect(node.Handle(start, "x", offer)).To(HaveLen(1))
		again := node.Handle(start, "x", wrongBase)
		Expect(again).To(HaveLen(1))
		Expect(again[0].Frame.GetHeadFetch().GetHave()).To(BeZero())
		Expect(node.Snapshot().Head.Revision).To(BeZero())
		altered := &wire.Frame{Body: &wire.Frame_HeadText{HeadText: &wire.HeadText{Revision: 3, Text: "x", TextHash: 1}}}
		Expect(node.Handle(start, "x", altered)).To(BeEmpty(), "no fetch from a peer right after two unusable texts")
		Expect(node.Snapshot().Head.Revision).To(BeZero())
	})

	It("never returns to a lower revision, and reaches every node once the faults end", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			m := newMesh(rapid.Uint64().Draw(t, "seed"), 3, 3)
			highest := currantwood.Revision(0)
			node := rapid.IntRange(0, len(m.nodes)-1)
			t.Repeat(map[string]func(*rapid.T){
				"": func(t *rapid.T) { m.checkHeads(t) },
				"publish or read the log late": func(t *rapid.T) {
					revision := currantwood.Revision(rapid.Uint64Range(1, uint64(highest)+1).Draw(t, "revision"))
					highest = max(highest, revision)
					m.publish(node.Draw(t, "at"), revision)
				},
				"link":    func(t *rapid.T) { m.link(node.Draw(t, "a"), node.Draw(t, "b")) },
				"cut":     func(t *rapid.T) { m.unlink(node.Draw(t, "a"), node.Draw(t, "b")) },
				"stall":   func(t *rapid.T) { m.stalled[[2]int{node.Draw(t, "from"), node.Draw(t, "to")}] = true },
				"replace": func(t *rapid.T) { m.replace(node.Draw(t, "at")) },
				"run": func(t *rapid.T) {
					m.runUntil(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms"))*time.Millisecond, func() bool { return false })
				},
			})
			m.stalled = make(map[[2]int]bool)
			m.publish(0, highest+1)
			for i := range m.nodes {
				m.link(i, (i+1)%len(m.nodes))
			}
			if took := m.runUntil(convergenceLimit, m.allAt(highest+1)); took >= convergenceLimit {
				t.Fatalf("not every node has the head after %s", took)
			}
			m.checkHeads(t)
		})
	})
})

func (m *mesh) checkHeads(t *rapid.T) {
	for i, node := range m.nodes {
		head := node.Snapshot().Head
		if head.Revision < m.lastSeen[i] {
			t.Fatalf("node %d went back from revision %d to %d", i, m.lastSeen[i], head.Revision)
		}
		m.lastSeen[i] = head.Revision
		if head.Revision > 0 && head.Text != textOf(head.Revision) {
			t.Fatalf("node %d has the wrong text for revision %d", i, head.Revision)
		}
	}
}
